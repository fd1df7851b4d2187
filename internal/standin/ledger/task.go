package ledger

import (
	"net/http"
	"strings"
)

// wrongBalanceOffset is added to a balance to make it wrong.
const wrongBalanceOffset = 1000

// taskKind is the kind of a request.
type taskKind int

const (
	taskEcho taskKind = iota
	taskPostEntry
	taskReadBalance
	taskReadEntry
)

// task is one request, independent of its encoding.
type task struct {
	kind taskKind
	// id is the request id of an entry to post, or the account or entry to
	// read.
	id    string
	body  []byte
	wrong bool
	// generation is the number of crashes before the request arrived.
	generation int
	echo       echoBody
}

// result is the response to a task.
type result struct {
	status int
	body   any
}

// balanceBody is the body of the response with a balance.
type balanceBody struct {
	Account string  `json:"account"`
	Balance float64 `json:"balance"`
}

// postedBody is the body of the response to a posted entry.
type postedBody struct {
	RequestID string `json:"request_id"`
	Runs      int    `json:"runs"`
}

// echoBody is the body of the response to any other request.
type echoBody struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Bytes  int    `json:"bytes"`
}

// errorBody is the body of the response for an entry that does not exist.
type errorBody struct {
	Error string `json:"error"`
}

// newTask classifies a request.
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

// execute carries out a task. It is called at the end of the service time.
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

// postEntry posts an entry. A wrong response names another request id, but the
// entry is posted all the same.
func (d *duty) postEntry(t task) result {
	posted := d.accounts.post(t.id, t.body)
	d.countRun(t.id)
	response := postedBody{RequestID: posted.RequestID, Runs: posted.Runs}
	if t.wrong {
		response = postedBody{RequestID: "wrong"}
	}
	return result{status: http.StatusCreated, body: response}
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
