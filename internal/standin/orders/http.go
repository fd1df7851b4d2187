package orders

import (
	"encoding/json"
	"errors"
	"net/http"

	"kingcupcourse/internal/standin/faultserver"
)

// maxBodyBytes limits the body of an order.
const maxBodyBytes = 64 << 10

// Result is the outcome of an order.
type Result struct {
	// Fence is the highest fencing number accepted.
	Fence int64
	Err   error
}

// fenceBody is the body of the response to an order.
type fenceBody struct {
	Fence int64 `json:"fence"`
}

// Handler serves POST /v1/orders. apply passes the order to the duty of the
// endpoint and waits for the result.
func Handler(apply func(r *http.Request, o Order) (Result, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o Order
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
			faultserver.WriteError(w, http.StatusBadRequest, err.Error())
			return
		}
		result, err := apply(r, o)
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
		case errors.Is(result.Err, ErrStaleFence):
			faultserver.WriteJSON(w, http.StatusConflict, fenceBody{Fence: result.Fence})
		case result.Err != nil:
			faultserver.WriteError(w, http.StatusBadRequest, result.Err.Error())
		default:
			faultserver.WriteJSON(w, http.StatusOK, fenceBody{Fence: result.Fence})
		}
	}
}
