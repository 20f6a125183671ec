package httpapi

import (
	"encoding/json"
	"net/http"
)

// WriteJSON writes a response with the status and the value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
