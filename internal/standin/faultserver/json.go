package faultserver

import (
	"encoding/json"
	"net/http"
)

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// WriteJSON writes a response with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	// Encoding fails only if the caller has gone.
	_ = encoder.Encode(body)
}

// WriteError writes an error response with a status and a reason.
func WriteError(w http.ResponseWriter, status int, reason string) {
	WriteJSON(w, status, errorBody{Error: reason})
}
