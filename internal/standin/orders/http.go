package orders

import (
	"encoding/json"
	"errors"
	"net/http"

	"kingcupcourse/internal/standin/faultserver"
)

// maxBodyBytes bounds the body of an order.
const maxBodyBytes = 64 << 10

// Result is the answer to an order.
type Result struct {
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
func Handler(give func(r *http.Request, o Order) (Result, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o Order
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
			faultserver.WriteError(w, http.StatusBadRequest, err.Error())
			return
		}
		answer, err := give(r, o)
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
		case errors.Is(answer.Err, ErrStaleFence):
			faultserver.WriteJSON(w, http.StatusConflict, fenceBody{Fence: answer.Fence})
		case answer.Err != nil:
			faultserver.WriteError(w, http.StatusBadRequest, answer.Err.Error())
		default:
			faultserver.WriteJSON(w, http.StatusOK, fenceBody{Fence: answer.Fence})
		}
	}
}
