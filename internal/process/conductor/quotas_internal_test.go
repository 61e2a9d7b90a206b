package conductor

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/surveyor"
	"dandeliontrack.example/dandeliontrack/internal/quota/limiter"
	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
)

// Guards against syncs that leave out the use of quotas, and against a quota that is reached
// without a line in the log and a value in the metrics.
func TestUseOfQuotasPassesBetweenHosts(t *testing.T) {
	accounts := []*authenticator.Account{{Name: "acme", Quota: authenticator.Quota{PerSecond: 100, Burst: 100}}}
	a, log := newRowConductor()
	b, _ := newRowConductor()
	now := time.Now()
	for name, c := range map[string]*Conductor{"a": a, "b": b} {
		c.surveyor = surveyor.New(name, "a", now)
		c.limiter = limiter.New(name, limiter.Settings{Excess: 0.1, Slack: 20}, now)
		c.limiter.SetQuotas(accounts, now)
		c.limiter.SetFleet(1, 1, now)
	}
	for range 1000 {
		a.limiter.Allow("acme", now)
	}
	a.logQuotas(now)
	assert.Equal(t, strings.Count(log.String(), `"event":404`), 1, log)
	assert.Assert(t, a.quotaUse()["acme"] >= 50, "%v", a.quotaUse())

	now = now.Add(time.Second)
	a.limiter.Allow("acme", now)
	usage := a.limiter.Usage(now)
	assert.Equal(t, len(usage), 1)
	response := b.syncResponse(&framer.Sync{Usage: usage})
	assert.Equal(t, len(response.Usage), 1, "b passes on what it learned")
	a.logQuotas(now.Add(time.Minute))
	assert.Equal(t, strings.Count(log.String(), `"limited":false`), 1, log)
}
