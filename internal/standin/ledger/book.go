package ledger

import "encoding/json"

// entry is a booking. A transfer has From and To, an entry has Account.
type entry struct {
	Account string  `json:"account,omitempty"`
	From    string  `json:"from,omitempty"`
	To      string  `json:"to,omitempty"`
	Amount  float64 `json:"amount"`
}

// storedEntry is a booking as it is read again.
type storedEntry struct {
	RequestID string          `json:"request_id"`
	Runs      int             `json:"runs"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// accounts is the state of a ledger: it does not notice repeated bookings, so
// that a test can.
type accounts struct {
	entries  map[string]storedEntry
	balances map[string]float64
}

func newAccounts() accounts {
	return accounts{entries: map[string]storedEntry{}, balances: map[string]float64{}}
}

// post books once more and returns how often this id was booked. A body that
// is not a booking changes no balance.
func (b *accounts) post(id string, body []byte) storedEntry {
	k := b.entries[id]
	k.RequestID = id
	k.Runs++
	if json.Valid(body) {
		k.Body = body
	}
	b.entries[id] = k
	var e entry
	if json.Unmarshal(body, &e) == nil {
		b.addToBalance(e.Account, e.Amount)
		b.addToBalance(e.From, -e.Amount)
		b.addToBalance(e.To, e.Amount)
	}
	return storedEntry{RequestID: id, Runs: k.Runs}
}

func (b *accounts) addToBalance(account string, amount float64) {
	if account != "" {
		b.balances[account] += amount
	}
}
