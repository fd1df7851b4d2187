package ledger

import "encoding/json"

// entry is a booking. A transfer has From and To, an entry has Account.
type entry struct {
	Account string  `json:"account,omitempty"`
	From    string  `json:"from,omitempty"`
	To      string  `json:"to,omitempty"`
	Amount  float64 `json:"amount"`
}

// kept is a booking as it is read again.
type kept struct {
	RequestID string          `json:"request_id"`
	Runs      int             `json:"runs"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// book is the state of a ledger: it does not notice repeated bookings, so
// that a test can.
type book struct {
	entries  map[string]kept
	balances map[string]float64
}

func newBook() book {
	return book{entries: map[string]kept{}, balances: map[string]float64{}}
}

// run books once more and returns how often this id was booked. A body that
// is not a booking changes no balance.
func (b *book) run(id string, body []byte) kept {
	k := b.entries[id]
	k.RequestID = id
	k.Runs++
	if json.Valid(body) {
		k.Body = body
	}
	b.entries[id] = k
	var e entry
	if json.Unmarshal(body, &e) == nil {
		b.add(e.Account, e.Amount)
		b.add(e.From, -e.Amount)
		b.add(e.To, e.Amount)
	}
	return kept{RequestID: id, Runs: k.Runs}
}

func (b *book) add(account string, amount float64) {
	if account != "" {
		b.balances[account] += amount
	}
}
