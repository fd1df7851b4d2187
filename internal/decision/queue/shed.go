package queue

import "kingcupcourse/internal/core"

// makeRoom sheds items until the new item fits. Victims come from the least
// important tier first, and only from tiers below the item's own; within a tier
// the account with the largest weighted backlog loses its newest item. If that
// is not enough, the account of the item's own tier with the largest weighted
// backlog loses its newest items, as long as it still holds at least as much as
// the item's account would. If there is still no room, the shed items are put
// back and the new item is refused.
func (q *Queue) makeRoom(item *Item) (shed []*Item, ok bool) {
	for !q.fits(item) {
		victim := q.victim(item)
		if victim == nil {
			for _, kept := range shed {
				q.insert(kept)
			}
			return nil, false
		}
		q.remove(victim)
		shed = append(shed, victim)
	}
	return shed, true
}

func (q *Queue) fits(item *Item) bool {
	if q.limits.Requests > 0 && len(q.items)+1 > q.limits.Requests {
		return false
	}
	return q.limits.Tokens <= 0 || q.tokens+item.Tokens <= q.limits.Tokens
}

func (q *Queue) victim(item *Item) *Item {
	for number := len(q.tiers) - 1; core.Tier(number) > item.Request.Tier; number-- {
		if a := q.tiers[number].largestBacklog(); a != nil {
			return a.newest()
		}
	}
	return q.overShareVictim(item)
}

// overShareVictim returns the newest item of the account with the largest
// weighted backlog in the item's own tier. It returns nil if that is the item's
// own account, or if the account would then hold less than the item's account
// with the new item.
func (q *Queue) overShareVictim(item *Item) *Item {
	t := q.tier(item.Request.Tier)
	most := t.largestBacklog()
	if most == nil || most.name == item.Request.Account {
		return nil
	}
	own := item.cost()
	if a := t.account(item.Request.Account); a != nil {
		own += a.weightedBacklog()
	}
	newest := most.newest()
	if most.weightedBacklog()-newest.cost() < own {
		return nil
	}
	return newest
}

// HasLessImportant reports whether an item of a less important tier waits.
func (q *Queue) HasLessImportant(t core.Tier) bool {
	for number := int(t) + 1; number < len(q.tiers); number++ {
		if q.tiers[number].count > 0 {
			return true
		}
	}
	return false
}
