// Package queue decides in which order waiting requests are placed, and which of
// them are shed when the queue is full.
//
// Tiers have strict priority. Within a tier, client accounts get weighted shares
// of the estimated tokens; within an account, the earliest deadline is first.
package queue

import (
	"cmp"
	"time"

	"kingcupcourse/internal/core"
)

// Item is one waiting request.
type Item struct {
	// ID is unique in the queue.
	ID      string
	Request core.Request
	// Weight determines the account's share among the accounts of the tier.
	Weight float64
	// Tokens is the estimated cost, at least 1.
	Tokens int
	// SlotTime is how long the request is expected to occupy one slot.
	SlotTime time.Duration
	// LatestStart is the time after which the request can no longer finish
	// before its deadline, zero if it is not known.
	LatestStart time.Time

	// sequence is the order of arrival.
	sequence uint64
	// virtualStart is the account's virtual time when the item was popped.
	virtualStart float64
}

// cost returns the virtual time that the item takes from its account.
func (i *Item) cost() float64 { return float64(i.Tokens) / i.Weight }

// compareItems orders the items of one account by deadline, then by arrival.
func compareItems(a, b *Item) int {
	return cmp.Or(a.Request.Deadline.Compare(b.Request.Deadline), cmp.Compare(a.sequence, b.sequence))
}
