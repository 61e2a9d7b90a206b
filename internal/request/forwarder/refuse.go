package forwarder

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

type refusal struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	Request string `json:"request"`
}

// WriteError answers a request with the kind of the error.
func WriteError(w http.ResponseWriter, id string, err error) { refuse(w, id, err, time.Second) }

func refuse(w http.ResponseWriter, id string, err error, delay time.Duration) {
	kind := classifier.Of(err)
	head := w.Header()
	head.Set("Content-Type", "application/json")
	head.Set("Request-Id", id)
	head.Set("Outcome", kind.Outcome().String())
	if kind.HasRetryAfter() {
		head.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(delay.Seconds())))))
	}
	w.WriteHeader(kind.Status())
	// An error here means that the caller is gone.
	_ = json.NewEncoder(w).Encode(refusal{kind.String(), err.Error(), kind.Outcome().String(), id})
}
