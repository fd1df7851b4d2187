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
	// askTimeout bounds how long a process may take to tell its status.
	askTimeout = 2 * time.Second
	// askRing is how many questions wait at most.
	askRing = 64
)

// question asks the process at an address for its status.
type question struct {
	address string
	ring.Reply[statusAnswer]
}

// statusAnswer is a process's status, or why there is none.
type statusAnswer struct {
	address string
	status  *message.Status
	err     error
}

// askers are duties that share one ring of questions.
type askers struct {
	client *http.Client
	inbox  *ring.Ring[question]
}

func newAskers(transport *http.Transport) *askers {
	return &askers{client: &http.Client{Transport: transport}, inbox: ring.New[question]("ctl_ask", askRing)}
}

// duty returns one more duty that answers questions.
func (a *askers) duty() supervisor.Duty { return &asker{a} }

// asker is one of the duties.
type asker struct{ *askers }

// Serve implements supervisor.Duty.
func (a *asker) Serve(ctx context.Context) error {
	return ring.Loop(ctx, a.inbox, func(q question) error {
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		status := new(message.Status)
		err := codec.Call(callCtx, a.client, q.address, message.PathStatus, message.StatusRequest{}, status)
		q.Send(statusAnswer{q.address, status, err})
		return nil
	})
}

// all asks the processes at all addresses and returns their answers in the
// same order.
func (a *askers) all(ctx context.Context, addresses []string) ([]statusAnswer, error) {
	var questions []question
	var answers []statusAnswer
	for _, address := range addresses {
		q := question{address, ring.NewReply[statusAnswer]()}
		if err := a.inbox.Put(ctx, q); err != nil {
			return nil, err
		}
		questions = append(questions, q)
	}
	for _, q := range questions {
		answer, err := q.Wait(ctx)
		if err != nil {
			return nil, err
		}
		answers = append(answers, answer)
	}
	return answers, nil
}
