package platformer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against a store that forgets a write whose answer it lost, and against
// a conditional write that succeeds on a changed row.
func TestConditionalAndLostWrites(t *testing.T) {
	p := new(platformer.Platformer)
	server := httptest.NewServer(p)
	defer server.Close()
	a := adapter.New(server.URL, server.URL, server.URL, 10*time.Second, nil)
	p.LoseAnswers(1)
	_, err := a.Put(t.Context(), "k", "", []byte("1"))
	assert.Equal(t, classifier.Of(err), classifier.StoreDown)
	row, err := a.Get(t.Context(), "k")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "1")
	_, err = a.Put(t.Context(), "k", "", []byte("2"))
	assert.Equal(t, classifier.Of(err), classifier.Conflict)
	_, err = a.Put(t.Context(), "k", row.Revision, []byte("2"))
	assert.NilError(t, err)
	assert.Equal(t, classifier.Of(a.Delete(t.Context(), "k", row.Revision)), classifier.Conflict)
	p.SetDown(true)
	_, err = a.Get(t.Context(), "k")
	assert.Equal(t, classifier.Of(err), classifier.StoreDown)
	assert.Equal(t, p.Writes(), uint64(2))
}

// Guards against a list of hosts that is current although a lag is set, and
// against faults by HTTP that have no effect.
func TestHostsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := new(platformer.Platformer)
		do := func(method, path, body string) string {
			rec := httptest.NewRecorder()
			p.ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
			assert.Equal(t, rec.Code, http.StatusOK)
			return rec.Body.String()
		}
		do(http.MethodPut, "/faults", `{"lag":"10s"}`)
		p.SetHosts([]adapter.HostEntry{{Name: "one"}})
		time.Sleep(20 * time.Second)
		p.SetHosts([]adapter.HostEntry{{Name: "two"}})
		time.Sleep(9 * time.Second)
		assert.Assert(t, strings.Contains(do(http.MethodGet, "/hosts", ""), "one"))
		time.Sleep(2 * time.Second)
		assert.Assert(t, strings.Contains(do(http.MethodGet, "/hosts", ""), "two"))
	})
}
