package queue

import "kingcupcourse/internal/core"

// makeRoom sheds until the arriving item fits. Victims come from the least
// important tier first, and only from tiers below the item's; in a tier the
// account with the largest weighted backlog loses its newest item. If that
// is not enough, an account of the item's own tier that holds more than the
// item's account would loses its newest items. If there is still no room,
// everything is put back and the item is refused.
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

// overShareVictim is the newest item of the account in the item's own tier that
// would still hold more than the item's account after the exchange.
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

// HasLessImportant tells whether an item less important than the tier waits.
func (q *Queue) HasLessImportant(t core.Tier) bool {
	for number := int(t) + 1; number < len(q.tiers); number++ {
		if q.tiers[number].count > 0 {
			return true
		}
	}
	return false
}
