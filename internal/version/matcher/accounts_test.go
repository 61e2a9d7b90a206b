package matcher_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// Guards against a class of requests that run more than once although they must not.
func TestClassesOfRequests(t *testing.T) {
	type properties struct {
		name              string
		repeatable, large bool
	}
	for class, want := range map[matcher.Class]properties{
		matcher.Idempotent: {"lookup", true, false},
		matcher.AtMostOnce: {"once", false, false},
		matcher.Download:   {"download", true, true},
		matcher.Upload:     {"upload", false, true},
	} {
		t.Run(want.name, func(t *testing.T) {
			assert.Equal(t, properties{class.String(), class.Repeatable(), class.Large()}, want)
		})
	}
}

// Guards against accounts that get into a table of which requests in progress read, against a
// route of an unknown class that nobody is told of, and against uploads that set the latency
// target of their service.
func TestAccountsAndClassesOfTable(t *testing.T) {
	backends := []matcher.Backend{{Service: "s", Weight: 1}}
	table, err := matcher.New(1, []matcher.Route{
		{Name: "known", Host: "h", Prefix: "/", Timeout: time.Second, LatencyTarget: time.Second, AttemptLimit: 1, Backends: backends},
		{Name: "upload", Host: "h", Prefix: "/u/", Class: matcher.Upload, Timeout: time.Second, LatencyTarget: time.Millisecond, AttemptLimit: 1, Backends: backends},
		{Name: "unknown", Host: "i", Prefix: "/", Class: matcher.AtMostOnce, UnknownClass: "odd", Timeout: time.Second, AttemptLimit: 1, Backends: backends},
	}, []matcher.Service{{Name: "s"}}, matcher.Limits{})
	assert.NilError(t, err)
	assert.Equal(t, table.LatencyTarget("s"), time.Second)
	unknown := table.UnknownClasses()
	assert.Equal(t, len(unknown), 1)
	assert.Equal(t, unknown[0].Name, "unknown")
	accounts, err := authenticator.New([]authenticator.Account{{Name: "a", Keys: []string{"k"}}})
	assert.NilError(t, err)
	with := table.WithAccounts(accounts)
	assert.Assert(t, table.Accounts() == nil)
	assert.Assert(t, with.Accounts() == accounts)
	assert.Equal(t, with.Match("h", "/x"), table.Match("h", "/x"))
}
