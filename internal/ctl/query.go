package ctl

import (
	"context"
	"net/http"
	"time"

	"kingcupcourse/internal/codec"
	"kingcupcourse/internal/message"
	"kingcupcourse/internal/ring"
	"kingcupcourse/internal/supervisor"
)

const (
	// queryTimeout is the time limit for the status call to one process.
	queryTimeout = 2 * time.Second
	// queryCapacity is the largest number of queries waiting for one duty.
	queryCapacity = 64
)

// query is a request for the status of the process at an address.
type query struct {
	address string
	ring.Reply[statusReply]
}

// statusReply is the status of a process, or the error of the call.
type statusReply struct {
	address string
	status  *message.Status
	err     error
}

// querierPool holds the duties that query processes, each with its own ring.
type querierPool struct {
	client  *http.Client
	inboxes []*ring.Ring[query]
}

func newQuerierPool(transport http.RoundTripper) *querierPool {
	return &querierPool{client: &http.Client{Transport: transport}}
}

// newDuty adds a duty to the pool and returns it.
func (p *querierPool) newDuty() supervisor.Duty {
	inbox := ring.New[query]("ctl_query", queryCapacity)
	p.inboxes = append(p.inboxes, inbox)
	return &querier{client: p.client, inbox: inbox}
}

// querier is the duty that runs queries one after another.
type querier struct {
	client *http.Client
	inbox  *ring.Ring[query]
}

// Serve implements supervisor.Duty.
func (d *querier) Serve(ctx context.Context) error {
	return ring.Loop(ctx, d.inbox, func(q query) error {
		callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		status := new(message.Status)
		err := codec.Call(callCtx, d.client, q.address, message.PathStatus, message.StatusRequest{}, status)
		q.Send(statusReply{q.address, status, err})
		return nil
	})
}

// queryAll queries the processes at all addresses and returns their replies in
// the same order.
func (p *querierPool) queryAll(ctx context.Context, addresses []string) ([]statusReply, error) {
	var queries []query
	var replies []statusReply
	for i, address := range addresses {
		q := query{address, ring.NewReply[statusReply]()}
		if err := p.inboxes[i%len(p.inboxes)].Put(ctx, q); err != nil {
			return nil, err
		}
		queries = append(queries, q)
	}
	for _, q := range queries {
		reply, err := q.Wait(ctx)
		if err != nil {
			return nil, err
		}
		replies = append(replies, reply)
	}
	return replies, nil
}
