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
	// queryRing is how many queries wait for one duty at most.
	queryRing = 64
)

// query asks the process at an address for its status.
type query struct {
	address string
	ring.Reply[statusAnswer]
}

// statusAnswer is a process's status, or why there is none.
type statusAnswer struct {
	address string
	status  *message.Status
	err     error
}

// queriers are duties that ask processes, each with a ring of its own.
type queriers struct {
	client  *http.Client
	inboxes []*ring.Ring[query]
}

func newQueriers(transport *http.Transport) *queriers {
	return &queriers{client: &http.Client{Transport: transport}}
}

// add returns one more duty that answers queries.
func (a *queriers) add() supervisor.Duty {
	inbox := ring.New[query]("ctl_query", queryRing)
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
		q.Send(statusAnswer{q.address, status, err})
		return nil
	})
}

// all asks the processes at all addresses and returns their answers in the
// same order.
func (a *queriers) all(ctx context.Context, addresses []string) ([]statusAnswer, error) {
	var queries []query
	var answers []statusAnswer
	for i, address := range addresses {
		q := query{address, ring.NewReply[statusAnswer]()}
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
