package meter_test

import (
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/meter"
)

// Guards against a page of metrics that grows with the number of accounts, and against refusals
// that it omits.
func TestRefusalsByAccountAreBounded(t *testing.T) {
	m := meter.New()
	want := 0
	for i := range 100 {
		for range i + 1 {
			m.CountRefusalOf(meter.Refusal{Reason: "closed", Urgency: i % 2, Account: fmt.Sprint(i)})
			want++
		}
	}
	m.CountRefusalOf(meter.Refusal{Reason: "overloaded"})
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest("GET", "/debug/vars", nil))
	var got struct {
		Urgencies map[string]int64            `json:"urgency_refusals"`
		Accounts  map[string]map[string]int64 `json:"account_refusals"`
	}
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
	assert.Equal(t, got.Urgencies["overloaded/0"], int64(1))
	assert.Equal(t, got.Urgencies["closed/0"]+got.Urgencies["closed/1"], int64(want))
	assert.Equal(t, len(got.Accounts), 11)
	assert.Equal(t, got.Accounts["account 99"]["closed"], int64(100))
	sum := int64(0)
	for _, counts := range got.Accounts {
		sum += counts["closed"]
	}
	assert.Equal(t, sum, int64(want))
}
