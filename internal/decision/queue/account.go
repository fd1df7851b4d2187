package queue

import (
	"slices"
	"time"
)

// account holds the waiting items of one client account in one tier.
type account struct {
	name   string
	weight float64
	// virtual is the virtual time up to which the account has been served:
	// tokens divided by weight.
	virtual float64
	// items are ordered by compare.
	items  []*Item
	tokens int
	work   time.Duration
}

func (a *account) insert(item *Item) {
	at, _ := slices.BinarySearchFunc(a.items, item, compare)
	a.items = slices.Insert(a.items, at, item)
	a.tokens += item.Tokens
	a.work += item.Work
}

func (a *account) remove(item *Item) {
	at, found := slices.BinarySearchFunc(a.items, item, compare)
	if !found {
		return
	}
	a.items = slices.Delete(a.items, at, at+1)
	a.tokens -= item.Tokens
	a.work -= item.Work
}

// backlog is the account's waiting tokens by its weight.
func (a *account) backlog() float64 { return float64(a.tokens) / a.weight }

func (a *account) newest() *Item {
	return slices.MaxFunc(a.items, func(x, y *Item) int {
		if x.sequence < y.sequence {
			return -1
		}
		return 1
	})
}

// workBefore is the work of the account's items that go before the item.
func (a *account) workBefore(item *Item) time.Duration {
	at, _ := slices.BinarySearchFunc(a.items, item, compare)
	if at == len(a.items) {
		return a.work
	}
	var work time.Duration
	for _, before := range a.items[:at] {
		work += before.Work
	}
	return work
}
