package queue

import (
	"slices"
	"time"
)

// account holds the waiting items of one client account in one tier.
type account struct {
	name   string
	weight float64
	// virtualTime is the virtual time up to which the account has been served:
	// tokens divided by weight.
	virtualTime float64
	// items are ordered by compareItems.
	items    []*Item
	tokens   int
	slotTime time.Duration
}

func (a *account) insert(item *Item) {
	at, _ := slices.BinarySearchFunc(a.items, item, compareItems)
	a.items = slices.Insert(a.items, at, item)
	a.tokens += item.Tokens
	a.slotTime += item.SlotTime
}

func (a *account) remove(item *Item) {
	at, found := slices.BinarySearchFunc(a.items, item, compareItems)
	if !found {
		return
	}
	a.items = slices.Delete(a.items, at, at+1)
	a.tokens -= item.Tokens
	a.slotTime -= item.SlotTime
}

// weightedBacklog returns the account's waiting tokens divided by its weight.
func (a *account) weightedBacklog() float64 { return float64(a.tokens) / a.weight }

func (a *account) newest() *Item {
	return slices.MaxFunc(a.items, func(x, y *Item) int {
		if x.sequence < y.sequence {
			return -1
		}
		return 1
	})
}

// slotTimeAhead returns the slot time of the account's items before the item.
func (a *account) slotTimeAhead(item *Item) time.Duration {
	at, _ := slices.BinarySearchFunc(a.items, item, compareItems)
	if at == len(a.items) {
		return a.slotTime
	}
	var total time.Duration
	for _, before := range a.items[:at] {
		total += before.SlotTime
	}
	return total
}
