package matcher_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

func newTable(hosts ...string) (*matcher.Table, error) {
	var routes []matcher.Route
	for i, host := range hosts {
		routes = append(routes, matcher.Route{
			Name: string(rune('a' + i)), Host: host, Prefix: "/x/", Timeout: time.Second, AttemptLimit: 1,
			Backends: []matcher.Backend{{Service: "s", Weight: 1}},
		})
	}
	return matcher.New(1, routes, []matcher.Service{{Name: "s"}}, matcher.Limits{})
}

// Guards against requests without a route because the operator and the caller spell the name of
// the host in two ways.
func TestRouteIsFoundInAnySpelling(t *testing.T) {
	for name, spellings := range map[string][]string{
		"capitals":      {"Shop.Example", "shop.example", "SHOP.EXAMPLE"},
		"dot, port":     {"shop.example.", "shop.example", "shop.example:8080", "shop.example.:"},
		"port":          {"shop.example:80", "shop.example"},
		"encoding":      {"shop%2Eexample", "shop.example"},
		"address":       {"[2001:DB8:0::1]", "[2001:db8::1]", "[2001:db8::1]:80"},
		"international": {"bücher.example", "xn--bcher-kva.example", "b%C3%BCcher.example"},
	} {
		t.Run(name, func(t *testing.T) {
			for _, inRoute := range spellings {
				table, err := newTable(inRoute, "other.example")
				assert.NilError(t, err)
				for _, inRequest := range spellings {
					r := table.Match(inRequest, "/x/1")
					assert.Assert(t, r != nil && r.Name == "a", "route for %s, request for %s", inRoute, inRequest)
				}
				assert.Assert(t, table.Match("example", "/x/1") == nil)
				assert.Assert(t, table.Match("a b", "/x/1") == nil)
			}
		})
	}
}

// Guards against two routes for the same requests, of which one never gets any, and against
// errors that don't say which routes they are.
func TestHostsOfRoutesAreChecked(t *testing.T) {
	for name, c := range map[string]struct{ hosts, want []string }{
		"same spelling":  {[]string{"shop.example", "shop.example"}, []string{`route "b"`, `route "a"`, `"/x/"`}},
		"other spelling": {[]string{"Shop.Example", "other", "shop.example."}, []string{`route "c"`, `host "shop.example."`, `route "a"`, `host "Shop.Example"`}},
		"other port":     {[]string{"shop.example:80", "shop.example:81"}, []string{`route "b"`, `route "a"`}},
		"malformed":      {[]string{"ok", "shop example"}, []string{`route "b"`, `host "shop example"`}},
		"empty":          {[]string{""}, []string{`route "a"`, "host is empty"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newTable(c.hosts...)
			assert.Equal(t, classifier.Of(err), classifier.Invalid)
			for _, part := range c.want {
				assert.Assert(t, strings.Contains(err.Error(), part), "%v lacks %s", err, part)
			}
		})
	}
}

// Guards against priorities of accounts or routes that the admission of requests doesn't know.
func TestUrgencies(t *testing.T) {
	routes := []matcher.Route{
		{Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Second, AttemptLimit: 1, Priority: 3, Backends: []matcher.Backend{{Service: "s", Weight: 1}, {Service: "u", Weight: 1}}},
		{Name: "b", Host: "h", Prefix: "/b/", Timeout: time.Second, AttemptLimit: 1, Priority: 1, Backends: []matcher.Backend{{Service: "s", Weight: 1}}},
	}
	table, err := matcher.New(1, routes, []matcher.Service{{Name: "s"}, {Name: "u"}}, matcher.Limits{})
	assert.NilError(t, err)
	assert.DeepEqual(t, table.Urgencies(), map[string][]int{"s": {1, 3}, "u": {3}})
	accounts, err := authenticator.New([]authenticator.Account{{Name: "x", Urgency: 2, HasUrgency: true}, {Name: "y"}, {Name: "z", Urgency: 3, HasUrgency: true}})
	assert.NilError(t, err)
	assert.DeepEqual(t, table.WithAccounts(accounts).Urgencies(), map[string][]int{"s": {1, 2, 3}, "u": {2, 3}})
}

func BenchmarkMatch(b *testing.B) {
	table, err := newTable("shop.example")
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		table.Match("shop.example", "/x/1")
	}
}
