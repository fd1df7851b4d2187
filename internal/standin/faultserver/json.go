package faultserver

import (
	"encoding/json"
	"net/http"
)

// errorBody is the body of an answer that is not a success.
type errorBody struct {
	Error string `json:"error"`
}

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	// An error here means that the caller is gone.
	_ = encoder.Encode(body)
}

// WriteError answers with a status and a JSON body that says why.
func WriteError(w http.ResponseWriter, status int, reason string) {
	WriteJSON(w, status, errorBody{Error: reason})
}
