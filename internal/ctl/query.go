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
	// queryTimeout bounds how long a process may take to tell its status.
	queryTimeout = 2 * time.Second
	// queryCapacity is how many queries wait for one duty at most.
	queryCapacity = 64
)

// query asks the process at an address for its status.
type query struct {
	address string
	ring.Reply[statusReply]
}

// statusReply is a process's status, or why there is none.
type statusReply struct {
	address string
	status  *message.Status
	err     error
}

// querierPool are duties that ask processes, each with a ring of its own.
type querierPool struct {
	client  *http.Client
	inboxes []*ring.Ring[query]
}

func newQueriers(transport *http.Transport) *querierPool {
	return &querierPool{client: &http.Client{Transport: transport}}
}

// newDuty returns one more duty that answers queries.
func (a *querierPool) newDuty() supervisor.Duty {
	inbox := ring.New[query]("ctl_query", queryCapacity)
	a.inboxes = append(a.inboxes, inbox)
	return &querier{client: a.client, inbox: inbox}
}

// querier is one of the duties.
type querier struct {
	client *http.Client
	inbox  *ring.Ring[query]
}

// Serve implements supervisor.Duty.
func (a *querier) Serve(ctx context.Context) error {
	return ring.Loop(ctx, a.inbox, func(q query) error {
		callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		status := new(message.Status)
		err := codec.Call(callCtx, a.client, q.address, message.PathStatus, message.StatusRequest{}, status)
		q.Send(statusReply{q.address, status, err})
		return nil
	})
}

// queryAll asks the processes at queryAll addresses and returns their answers in the
// same order.
func (a *querierPool) queryAll(ctx context.Context, addresses []string) ([]statusReply, error) {
	var queries []query
	var answers []statusReply
	for i, address := range addresses {
		q := query{address, ring.NewReply[statusReply]()}
		if err := a.inboxes[i%len(a.inboxes)].Put(ctx, q); err != nil {
			return nil, err
		}
		queries = append(queries, q)
	}
	for _, q := range queries {
		answer, err := q.Wait(ctx)
		if err != nil {
			return nil, err
		}
		answers = append(answers, answer)
	}
	return answers, nil
}
