package ledger

import "encoding/json"

// entry is the body of a posting. A transfer has From and To, a simple entry has
// Account.
type entry struct {
	Account string  `json:"account,omitempty"`
	From    string  `json:"from,omitempty"`
	To      string  `json:"to,omitempty"`
	Amount  float64 `json:"amount"`
}

// storedEntry is a posted entry as it can be read back.
type storedEntry struct {
	RequestID string          `json:"request_id"`
	Runs      int             `json:"runs"`
	Body      json.RawMessage `json:"body,omitempty"`
}

// accounts is the state of a ledger. It does not deduplicate entries, so that a
// test can detect repeated execution.
type accounts struct {
	entries  map[string]storedEntry
	balances map[string]float64
}

func newAccounts() accounts {
	return accounts{entries: map[string]storedEntry{}, balances: map[string]float64{}}
}

// post posts an entry, again if it was posted before, and returns how often its
// id was posted. A body that is not an entry changes no balance.
func (a *accounts) post(id string, body []byte) storedEntry {
	stored := a.entries[id]
	stored.RequestID = id
	stored.Runs++
	if json.Valid(body) {
		stored.Body = body
	}
	a.entries[id] = stored
	var e entry
	if json.Unmarshal(body, &e) == nil {
		a.addToBalance(e.Account, e.Amount)
		a.addToBalance(e.From, -e.Amount)
		a.addToBalance(e.To, e.Amount)
	}
	return storedEntry{RequestID: id, Runs: stored.Runs}
}

func (a *accounts) addToBalance(account string, amount float64) {
	if account != "" {
		a.balances[account] += amount
	}
}
