package caller_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/standin/responder"
	"dandeliontrack.example/dandeliontrack/pkg/caller"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// host starts a host that returns the given hosts from lookups and serves requests with
// the handler. It returns the address of the host.
func host(t *testing.T, hosts func() []string, version *int, handler http.HandlerFunc) string {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/lookup/catalog", func(w http.ResponseWriter, _ *http.Request) {
		var entries []string
		for _, h := range hosts() {
			entries = append(entries, fmt.Sprintf(`{"name":"n","address":%q,"zone":"z"}`, h))
		}
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"service":"catalog","lifetime":0,"version":%d,"hosts":[%s]}`, *version, strings.Join(entries, ","))
	})
	mux.HandleFunc("/s/catalog/", handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func refuse(outcome string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Outcome", outcome)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against a retry of a request that may have run, and against a request that fails
// although another host would serve it.
func TestRetryOnNextHostOnlyIfNotRun(t *testing.T) {
	served := 0
	tests := map[string]struct {
		first  func(t *testing.T) string
		status int
		served int
	}{
		"dead":         {func(*testing.T) string { return "127.0.0.1:1" }, 200, 1},
		"not run":      {func(t *testing.T) string { return host(t, nil, nil, refuse("not-run")) }, 200, 1},
		"may have run": {func(t *testing.T) string { return host(t, nil, nil, refuse("may-have-run")) }, 503, 0},
		"ran":          {func(t *testing.T) string { return host(t, nil, nil, refuse("ran")) }, 503, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			served = 0
			version := 1
			var list []string
			good := host(t, func() []string { return list }, &version, func(w http.ResponseWriter, r *http.Request) {
				served++
				_, _ = io.Copy(w, r.Body)
			})
			list = []string{test.first(t), good}
			req, err := http.NewRequest("POST", "/order?x=1", strings.NewReader("body"))
			assert.NilError(t, err)
			resp, err := caller.New([]string{"127.0.0.1:1", good}, nil).Do("catalog", req)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.StatusCode, test.status)
			assert.Equal(t, served, test.served)
			if test.served == 1 {
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, string(body), "body")
			}
		})
	}
}

// Guards against callers that return to the hosts of an older configuration, and against
// callers that fail immediately when lookups fail although an earlier result is usable.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	version, list := 5, []string{"127.0.0.1:2"}
	seed := host(t, func() []string { return list }, &version, refuse("not-run"))
	c := caller.New([]string{seed}, nil)
	for _, v := range []int{5, 4, 6} {
		version, list[0] = v, fmt.Sprint("127.0.0.1:", v)
		hosts, err := c.Hosts(t.Context(), "catalog")
		assert.NilError(t, err)
		assert.DeepEqual(t, hosts, []string{fmt.Sprint("127.0.0.1:", max(v, 5))})
	}
	_, err := caller.New(nil, nil).Hosts(t.Context(), "catalog")
	assert.ErrorContains(t, err, "no entry host")
}

func ExampleCaller() {
	c := caller.New([]string{"127.0.0.1:1"}, nil)
	req, _ := http.NewRequest("GET", "/price/42", nil)
	_, err := c.Do("catalog", req)
	fmt.Println(err != nil)
	// Output: true
}

// Guards against an invalid response of a host that the caller gets, against a request that is
// sent again after one, and against a lookup that ends at a host with invalid responses.
func TestInvalidResponseIsAnError(t *testing.T) {
	responses := responder.Invalid("", "body")
	delete(responses, "space in a trailer name") // the caller reads the body
	responses["status 600, not run"] = "HTTP/1.1 600 OK\r\nOutcome: not-run\r\nContent-Length: 0\r\n\r\n"
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			r := responder.New(t, response)
			version := 1
			good := host(t, func() []string { return []string{r.Address} }, &version, http.NotFound)
			c := caller.New([]string{r.Address, good}, nil)
			hosts, err := c.Hosts(t.Context(), "catalog")
			assert.NilError(t, err)
			assert.DeepEqual(t, hosts, []string{r.Address})
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/price/42", nil)
			assert.NilError(t, err)
			resp, err := c.Do("catalog", req)
			if err == nil {
				_ = resp.Body.Close()
			}
			assert.Equal(t, classifier.Of(err), classifier.Failed, "%v", err)
			assert.ErrorContains(t, err, "catalog")
			assert.Equal(t, r.Requests("/s/"), 1)
		})
	}
}

// Guards against a part of a response that the caller takes for the whole, and against a request
// that is sent again after it, if a host resets the connection while it receives the request.
func TestPartOfResponseIsNotComplete(t *testing.T) {
	const tries = 20 // the kernel reports a reset either to the writer or to the reader
	for name, transport := range map[string]http.RoundTripper{"default transport": nil, "transport of the caller": new(http.Transport)} {
		for how, end := range map[string]func(*net.TCPConn){"reset": responder.Reset, "closed, request unread": func(*net.TCPConn) {}, "ended, request read": responder.ReadOn} {
			t.Run(name+", "+how, func(t *testing.T) {
				r := responder.NewEarly(t, "HTTP/1.1 200 OK\r\n\r\npart", end)
				version := 1
				c := caller.New([]string{host(t, func() []string { return []string{r.Address} }, &version, http.NotFound)}, transport)
				for range tries {
					body, err := upload(t, c)
					if how == "ended, request read" {
						assert.NilError(t, err)
						assert.Equal(t, body, "part")
					} else {
						assert.ErrorContains(t, err, "")
					}
				}
				assert.Equal(t, r.Requests("/s/"), tries)
			})
		}
	}
}

// upload sends a request with a long body. It returns the body of the response and the error of
// the request or of reading that body.
func upload(t *testing.T, c *caller.Caller) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/order", bytes.NewReader(make([]byte, 32<<20)))
	assert.NilError(t, err)
	resp, err := c.Do("catalog", req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}
