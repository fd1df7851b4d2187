// Package queue decides in which order waiting requests are placed and which
// of them is shed when the queue is full.
//
// Tiers are strict. Inside a tier client accounts get weighted shares of the
// estimated tokens, and inside an account the earliest deadline goes first.
package queue

import (
	"cmp"
	"time"

	"kingcupcourse/internal/core"
)

// Item is one waiting request.
type Item struct {
	// ID names the item; it is unique in the queue.
	ID      string
	Request core.Request
	// Weight is the account's share among the accounts of the tier.
	Weight float64
	// Tokens is the estimated cost, at least 1.
	Tokens int
	// SlotTime is how long the request is expected to hold one slot.
	SlotTime time.Duration
	// LatestStart is the time after which the request cannot finish before
	// its deadline any more. Zero if it is not known.
	LatestStart time.Time

	// sequence is the order of arrival.
	sequence uint64
	// virtualStart is the account's virtual time when the item was popped.
	virtualStart float64
}

// cost is the virtual time that the item takes from its account.
func (i *Item) cost() float64 { return float64(i.Tokens) / i.Weight }

// compareItems orders the items of one account: earliest deadline, then arrival.
func compareItems(a, b *Item) int {
	return cmp.Or(a.Request.Deadline.Compare(b.Request.Deadline), cmp.Compare(a.sequence, b.sequence))
}
