package queue

import "time"

// tier shares one tier between its client accounts by start-time fair
// queueing.
type tier struct {
	accounts []*account
	// virtual is the virtual start time of the item placed last. An account
	// that was idle starts here, so that it cannot save up its share.
	virtual float64
	count   int
	tokens  int
	work    time.Duration
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
		a.virtual = max(a.virtual, t.virtual)
	}
	a.insert(item)
	t.count++
	t.tokens += item.Tokens
	t.work += item.Work
}

func (t *tier) remove(item *Item) {
	t.account(item.Request.Account).remove(item)
	t.count--
	t.tokens -= item.Tokens
	t.work -= item.Work
}

// next is the account that has been served least.
func (t *tier) next() *account {
	var least *account
	for _, a := range t.accounts {
		if len(a.items) > 0 && (least == nil || a.virtual < least.virtual) {
			least = a
		}
	}
	return least
}

// largest is the account with the largest backlog by weight.
func (t *tier) largest() *account {
	var most *account
	for _, a := range t.accounts {
		if len(a.items) > 0 && (most == nil || a.backlog() > most.backlog()) {
			most = a
		}
	}
	return most
}

// workBefore is the work of the tier that is placed before the item. While
// the item's account works off what goes before it, every other account gets
// its weighted share and no more.
func (t *tier) workBefore(item *Item) time.Duration {
	var own time.Duration
	if a := t.account(item.Request.Account); a != nil {
		own = a.workBefore(item)
	}
	total := own
	for _, a := range t.accounts {
		if a.name == item.Request.Account {
			continue
		}
		share := time.Duration(float64(own+item.Work) * a.weight / item.Weight)
		total += min(a.work, share)
	}
	return total
}
