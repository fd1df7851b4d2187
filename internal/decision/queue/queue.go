package queue

import (
	"time"

	"kingcupcourse/internal/core"
)

// Limits bound the waiting requests. Zero means no limit.
type Limits struct {
	Requests int
	Tokens   int
}

// Queue holds the waiting requests of one pool shard. It is not safe for
// concurrent use.
type Queue struct {
	limits Limits
	// tiers is indexed by core.Tier.
	tiers    []*tier
	items    map[string]*Item
	tokens   int
	sequence uint64
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, items: map[string]*Item{}}
}

// SetLimits changes the limits. It does not shed items that already wait.
func (q *Queue) SetLimits(limits Limits) { q.limits = limits }

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.items) }

// Tokens returns the estimated tokens of the waiting requests.
func (q *Queue) Tokens() int { return q.tokens }

// Depth returns how many requests of one tier wait.
func (q *Queue) Depth(t core.Tier) int {
	if int(t) >= len(q.tiers) {
		return 0
	}
	return q.tiers[t].count
}

// LowestTier returns the number of the least important tier seen so far.
func (q *Queue) LowestTier() core.Tier { return core.Tier(max(0, len(q.tiers)-1)) }

// Get returns the waiting item with the id, or nil.
func (q *Queue) Get(id string) *Item { return q.items[id] }

// Add adds an item. If the queue is full, it sheds other items, which it
// returns; see makeRoom. If there is no room for the item itself, it returns
// false and sheds nothing.
func (q *Queue) Add(item *Item) (shed []*Item, ok bool) {
	item.Tokens = max(1, item.Tokens)
	if item.Weight <= 0 {
		item.Weight = 1
	}
	if shed, ok = q.makeRoom(item); !ok {
		return nil, false
	}
	q.sequence++
	item.sequence = q.sequence
	q.insert(item)
	return shed, true
}

// Pop removes the item of all tiers that is to be placed next; see PopTier.
func (q *Queue) Pop() *Item {
	for number := range q.tiers {
		if item := q.PopTier(core.Tier(number)); item != nil {
			return item
		}
	}
	return nil
}

// PopTier removes the item of one tier that is to be placed next and charges
// its account, or returns nil if none waits. Each popped item must be passed to
// Commit, Requeue or Refund.
func (q *Queue) PopTier(number core.Tier) *Item {
	if int(number) >= len(q.tiers) {
		return nil
	}
	a := q.tiers[number].leastServed()
	if a == nil {
		return nil
	}
	item := a.items[0]
	q.remove(item)
	item.virtualStart = a.virtualTime
	a.virtualTime += item.cost()
	return item
}

// Refund refunds the account of a popped item that is neither placed nor waits
// any longer.
func (q *Queue) Refund(item *Item) {
	q.tier(item.Request.Tier).account(item.Request.Account).virtualTime -= item.cost()
}

// Commit confirms that a popped item was placed.
func (q *Queue) Commit(item *Item) {
	t := q.tier(item.Request.Tier)
	t.virtualTime = max(t.virtualTime, item.virtualStart)
}

// Requeue puts a popped item back at its position and refunds its account.
func (q *Queue) Requeue(item *Item) {
	q.Refund(item)
	q.insert(item)
}

// Remove removes an item, for example because its caller has disconnected. It
// returns nil if the item does not wait.
func (q *Queue) Remove(id string) *Item {
	item := q.items[id]
	if item != nil {
		q.remove(item)
	}
	return item
}

// Expire removes and returns the items that can no longer finish before their
// deadline.
func (q *Queue) Expire(now time.Time) []*Item {
	var expired []*Item
	for _, item := range q.items {
		late := !item.LatestStart.IsZero() && item.LatestStart.Before(now)
		if late || !item.Request.Deadline.After(now) {
			expired = append(expired, item)
		}
	}
	for _, item := range expired {
		q.remove(item)
	}
	return expired
}

// ForEach calls visit for every waiting item, in no particular order.
func (q *Queue) ForEach(visit func(*Item)) {
	for _, item := range q.items {
		visit(item)
	}
}

// SlotTimeAhead returns the expected slot time of the waiting requests that
// would be placed before the item: those of more important tiers, and in the
// item's own tier those that fair queueing serves first. Less important tiers
// never count.
func (q *Queue) SlotTimeAhead(item *Item) time.Duration {
	var total time.Duration
	for number, t := range q.tiers {
		switch {
		case core.Tier(number) < item.Request.Tier:
			total += t.slotTime
		case core.Tier(number) == item.Request.Tier:
			total += t.slotTimeAhead(item)
		}
	}
	return total
}

// TotalSlotTime returns the expected slot time of all waiting requests.
func (q *Queue) TotalSlotTime() time.Duration {
	var total time.Duration
	for _, t := range q.tiers {
		total += t.slotTime
	}
	return total
}

func (q *Queue) tier(number core.Tier) *tier {
	for int(number) >= len(q.tiers) {
		q.tiers = append(q.tiers, &tier{})
	}
	return q.tiers[number]
}

func (q *Queue) insert(item *Item) {
	q.tier(item.Request.Tier).insert(item)
	q.items[item.ID] = item
	q.tokens += item.Tokens
}

func (q *Queue) remove(item *Item) {
	q.tier(item.Request.Tier).remove(item)
	delete(q.items, item.ID)
	q.tokens -= item.Tokens
}
