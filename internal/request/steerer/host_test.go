package steerer_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// Guards against 404 for requests whose callers spell the name of the host in another way than
// the operator, in the Host field or in the target.
func TestHostIsServedInAnySpelling(t *testing.T) {
	g := newTestHost(t, func(*upstream, *upstream) {})
	var routes []matcher.Route
	for _, host := range []string{"Shop.Example", "[2001:DB8::1]", "bücher.example"} {
		routes = append(routes, matcher.Route{
			Name: host, Host: host, Prefix: "/look/", Timeout: time.Minute, LatencyTarget: 30 * time.Second, AttemptLimit: 1,
			Backends: []matcher.Backend{{Service: "s", Weight: 1}},
		})
	}
	var err error
	g.table, err = matcher.New(2, routes, []matcher.Service{{Name: "s"}}, matcher.Limits{})
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		target, host string
		want         int
	}{
		"as written":      {"/look/1", "Shop.Example", http.StatusOK},
		"lower case":      {"/look/1", "shop.example", http.StatusOK},
		"final dot, port": {"/look/1", "shop.example.:8080", http.StatusOK},
		"encoded":         {"/look/1", "sho%70.example", http.StatusOK},
		"empty port":      {"/look/1", "SHOP.EXAMPLE:", http.StatusOK},
		"absolute target": {"http://SHOP.example.:80/look/1", "other.example", http.StatusOK},
		"address":         {"/look/1", "[2001:db8:0::1]:8080", http.StatusOK},
		"address target":  {"http://[2001:db8::1]/look/1", "other.example", http.StatusOK},
		"international":   {"/look/1", "xn--bcher-kva.example", http.StatusOK},
		"encoded letters": {"/look/1", "B%C3%BCcher.example", http.StatusOK},
		"other host":      {"/look/1", "shop.example.org", http.StatusNotFound},
		"malformed":       {"/look/1", "user@shop.example", http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			conn := g.dial()
			_, err := io.WriteString(conn, "GET "+c.target+" HTTP/1.1\r\nHost: "+c.host+"\r\nId: 1\r\nObject: "+object+"\r\n\r\n")
			assert.NilError(t, err)
			r, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			assert.Equal(t, r.StatusCode, c.want)
		})
	}
}
