package queue

import "time"

// tier shares one tier between its client accounts by start-time fair queueing.
type tier struct {
	accounts []*account
	// virtualTime is the virtual start time of the item placed last. An account
	// that was idle continues from here, so that it cannot accumulate a share
	// while it is idle.
	virtualTime float64
	count       int
	tokens      int
	slotTime    time.Duration
}

func (t *tier) account(name string) *account {
	for _, a := range t.accounts {
		if a.name == name {
			return a
		}
	}
	return nil
}

func (t *tier) insert(item *Item) {
	a := t.account(item.Request.Account)
	if a == nil {
		a = &account{name: item.Request.Account}
		t.accounts = append(t.accounts, a)
	}
	a.weight = item.Weight
	if len(a.items) == 0 {
		a.virtualTime = max(a.virtualTime, t.virtualTime)
	}
	a.insert(item)
	t.count++
	t.tokens += item.Tokens
	t.slotTime += item.SlotTime
}

func (t *tier) remove(item *Item) {
	t.account(item.Request.Account).remove(item)
	t.count--
	t.tokens -= item.Tokens
	t.slotTime -= item.SlotTime
}

// leastServed returns the account with waiting items that has been served least.
func (t *tier) leastServed() *account {
	var least *account
	for _, a := range t.accounts {
		if len(a.items) > 0 && (least == nil || a.virtualTime < least.virtualTime) {
			least = a
		}
	}
	return least
}

// largestBacklog returns the account with the largest weighted backlog.
func (t *tier) largestBacklog() *account {
	var most *account
	for _, a := range t.accounts {
		if len(a.items) > 0 && (most == nil || a.weightedBacklog() > most.weightedBacklog()) {
			most = a
		}
	}
	return most
}

// slotTimeAhead returns the slot time of the tier's items that are placed before
// the item. While the item's account works through what is ahead of it, every
// other account gets its weighted share and no more.
func (t *tier) slotTimeAhead(item *Item) time.Duration {
	var own time.Duration
	if a := t.account(item.Request.Account); a != nil {
		own = a.slotTimeAhead(item)
	}
	total := own
	for _, a := range t.accounts {
		if a.name == item.Request.Account {
			continue
		}
		share := time.Duration(float64(own+item.SlotTime) * a.weight / item.Weight)
		total += min(a.slotTime, share)
	}
	return total
}
