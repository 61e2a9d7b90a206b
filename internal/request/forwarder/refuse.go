package forwarder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

type errorBody struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
}

// WriteError writes an error response with the status and the outcome of the kind of
// err. id is the Request-Id.
func WriteError(w http.ResponseWriter, id string, err error) { writeError(w, id, err, time.Second) }

func writeError(w http.ResponseWriter, id string, err error, delay time.Duration) {
	kind := classifier.Of(err)
	head := w.Header()
	head.Set("Content-Type", "application/json")
	head.Set("Request-Id", id)
	head.Set("Outcome", kind.Outcome().String())
	if kind.HasRetryAfter() {
		head.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(delay.Seconds())))))
	}
	w.WriteHeader(kind.Status())
	// An error here means that the caller disconnected.
	_ = json.NewEncoder(w).Encode(errorBody{kind.String(), err.Error(), kind.Outcome().String(), id})
}
