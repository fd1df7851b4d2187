package ledger

import (
	"net/http"
	"strings"
)

// wrongBalanceOffset is what a wrong balance is off by.
const wrongBalanceOffset = 1000

// taskKind is what a request asks for.
type taskKind int

const (
	taskOther taskKind = iota
	taskPostEntry
	taskReadBalance
	taskReadEntry
)

// task is one request, apart from its encoding.
type task struct {
	kind taskKind
	// id is the request id of a booking, or what is to be read.
	id    string
	body  []byte
	wrong bool
	// generation is how many crashes were before the request came.
	generation int
	echo       echoBody
}

// result is what a task has as its answer.
type result struct {
	status int
	body   any
}

// balanceBody is the body of a balance.
type balanceBody struct {
	Account string  `json:"account"`
	Balance float64 `json:"balance"`
}

// postedBody is the body of the answer to a booking.
type postedBody struct {
	RequestID string `json:"request_id"`
	Runs      int    `json:"runs"`
}

// echoBody is the body of the answer to any other request.
type echoBody struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Bytes  int    `json:"bytes"`
}

// errorBody is the body of an answer that there is nothing to read.
type errorBody struct {
	Error string `json:"error"`
}

// newTask tells what a request asks for.
func newTask(method, path, requestID string, body []byte) task {
	t := task{id: requestID, body: body, echo: echoBody{Method: method, Path: path, Bytes: len(body)}}
	switch {
	case method == http.MethodPost && (path == "/v1/entries" || path == "/v1/transfers"):
		t.kind = taskPostEntry
	case method == http.MethodGet && strings.HasPrefix(path, "/v1/balances/"):
		t.kind, t.id = taskReadBalance, strings.TrimPrefix(path, "/v1/balances/")
	case method == http.MethodGet && strings.HasPrefix(path, "/v1/entries/"):
		t.kind, t.id = taskReadEntry, strings.TrimPrefix(path, "/v1/entries/")
	}
	return t
}

// execute does what was asked, at the end of its service time.
func (d *duty) execute(t task) taskReply {
	return taskReply{result: d.handleTask(t), version: d.status.Version}
}

func (d *duty) handleTask(t task) result {
	switch t.kind {
	case taskPostEntry:
		return d.postEntry(t)
	case taskReadBalance:
		balance := d.accounts.balances[t.id]
		if t.wrong {
			balance += wrongBalanceOffset
		}
		return result{status: http.StatusOK, body: balanceBody{Account: t.id, Balance: balance}}
	case taskReadEntry:
		return d.readEntry(t)
	}
	if t.wrong {
		t.echo.Path = "/wrong"
	}
	return result{status: http.StatusOK, body: t.echo}
}

// postEntry books; a wrong answer tells of another booking, but the
// booking asked for was run.
func (d *duty) postEntry(t task) result {
	booked := d.accounts.post(t.id, t.body)
	d.countRun(t.id)
	answer := postedBody{RequestID: booked.RequestID, Runs: booked.Runs}
	if t.wrong {
		answer = postedBody{RequestID: "wrong"}
	}
	return result{status: http.StatusCreated, body: answer}
}

func (d *duty) readEntry(t task) result {
	found, ok := d.accounts.entries[t.id]
	if !ok {
		return result{status: http.StatusNotFound, body: errorBody{Error: "ledger: no such entry"}}
	}
	if t.wrong {
		found.Runs = 0
		found.Body = nil
	}
	return result{status: http.StatusOK, body: found}
}
