package orders

import (
	"encoding/json"
	"errors"
	"net/http"

	"kingcupcourse/internal/standin/front"
)

// maxBodyBytes bounds the body of an order.
const maxBodyBytes = 64 << 10

// Answer is the answer to an order.
type Answer struct {
	// Fence is the highest fencing number obeyed.
	Fence int64
	Err   error
}

// fenceBody is the body of the answer to an order.
type fenceBody struct {
	Fence int64 `json:"fence"`
}

// Handler serves POST /v1/orders. give hands the order to the duty and
// waits for its answer.
func Handler(give func(r *http.Request, o Order) (Answer, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o Order
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
			front.WriteError(w, http.StatusBadRequest, err.Error())
			return
		}
		answer, err := give(r, o)
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
		case errors.Is(answer.Err, ErrOutdated):
			front.WriteJSON(w, http.StatusConflict, fenceBody{Fence: answer.Fence})
		case answer.Err != nil:
			front.WriteError(w, http.StatusBadRequest, answer.Err.Error())
		default:
			front.WriteJSON(w, http.StatusOK, fenceBody{Fence: answer.Fence})
		}
	}
}
