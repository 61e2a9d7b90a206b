package authenticator_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against invalid accounts that take effect, and against errors that don't name the
// account and the field, or that quote a key.
func TestInvalidAccountsAreRejected(t *testing.T) {
	const secret = "secret-key"
	type account = authenticator.Account
	rate := func(perSecond, burst float64) []account {
		return []account{{Name: "a", Keys: []string{secret}, Quota: authenticator.Quota{PerSecond: perSecond, Burst: burst}}}
	}
	for name, c := range map[string]struct {
		accounts []account
		want     []string // parts of the error
	}{
		"no name":          {[]account{{Name: "a"}, {Keys: []string{secret}}}, []string{"account 1", "name"}},
		"same name":        {[]account{{Name: "a"}, {Name: "a", Keys: []string{secret}}}, []string{`"a"`, "name"}},
		"empty key":        {[]account{{Name: "a", Keys: []string{secret, ""}}}, []string{`"a"`, "key 1"}},
		"shared key":       {[]account{{Name: "a", Keys: []string{secret}}, {Name: "b", Keys: []string{"x", secret}}}, []string{`"a"`, `"b"`, "key 1"}},
		"negative rate":    {rate(-0.5, 0), []string{`"a"`, "rate", "-0.5"}},
		"rate not finite":  {rate(math.Inf(1), 0), []string{`"a"`, "rate", "+Inf"}},
		"rate no number":   {rate(math.NaN(), 0), []string{`"a"`, "rate", "NaN"}},
		"negative burst":   {rate(1, -2), []string{`"a"`, "burst", "-2"}},
		"burst not finite": {rate(1, math.Inf(-1)), []string{`"a"`, "burst", "-Inf"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := authenticator.New(c.accounts)
			assert.Equal(t, classifier.Of(err), classifier.Invalid)
			for _, part := range c.want {
				assert.Assert(t, strings.Contains(err.Error(), part), "%v lacks %s", err, part)
			}
			assert.Assert(t, !strings.Contains(err.Error(), secret), "%v", err)
		})
	}
}

// Guards against a key that is found although no account has it, against one that isn't found
// because of its length, and against keys that are kept and could get into a log.
func TestOnlyConfiguredKeysAreFound(t *testing.T) {
	long := strings.Repeat("k", 256)
	a, err := authenticator.New([]authenticator.Account{
		{Name: "a", Keys: []string{"one", "two", "two", long, long + "k"}}, {Name: "none"}, {Name: "b", Keys: []string{"One"}},
	})
	assert.NilError(t, err)
	for key, want := range map[string]string{
		"one": "a", "two": "a", long: "a", long + "k": "a", "One": "b",
		"": "", "on": "", "one ": "", "one\x00": "", "ONE": "", long[1:]: "", long + "l": "", long + "kk": "",
	} {
		got := ""
		if account := a.Find(key); account != nil {
			got = account.Name
		}
		assert.Equal(t, got, want, "key %q", key)
	}
	for _, account := range a.Accounts() {
		assert.Assert(t, account.Keys == nil, account.Name)
	}
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%+v", a), "two"))
}

const benchmarkAccounts = 10_000

func newLarge(tb testing.TB) *authenticator.Authenticator {
	tb.Helper()
	accounts := make([]authenticator.Account, benchmarkAccounts)
	for i := range accounts {
		accounts[i] = authenticator.Account{Name: fmt.Sprint(i), Keys: []string{fmt.Sprintf("key-%032d", i)}}
	}
	a, err := authenticator.New(accounts)
	assert.NilError(tb, err)
	return a
}

// Guards against work of the collector for each request.
func TestFindDoesNotAllocate(t *testing.T) {
	a, keys := newLarge(t), []string{fmt.Sprintf("key-%032d", benchmarkAccounts/2), "unknown", strings.Repeat("k", 256)}
	for _, key := range keys {
		assert.Equal(t, testing.AllocsPerRun(100, func() { a.Find(key) }), 0.0, key)
	}
}

func BenchmarkFind(b *testing.B) {
	a := newLarge(b)
	for name, key := range map[string]string{"known": fmt.Sprintf("key-%032d", 7), "unknown": "key", "long": strings.Repeat("k", 256)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				a.Find(key)
			}
		})
	}
}
