package conductor

import (
	"math"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// maxReportedQuotas bounds the client accounts in metrics and logs.
const maxReportedQuotas = 10

func accountsOf(t *matcher.Table) []*authenticator.Account {
	if accounts := t.Accounts(); accounts != nil {
		return accounts.Accounts()
	}
	return nil
}

// quotaUse returns the percentages of quotas that requests of this host use, by account.
func (c *Conductor) quotaUse() map[string]int64 {
	out := make(map[string]int64)
	for _, u := range c.limiter.Report(maxReportedQuotas, time.Now()) {
		out[u.Account] = int64(math.Round(u.Own * 100))
	}
	return out
}

// logQuotas logs the accounts whose requests began to be refused because of their quota, and
// those of which none was refused for a while.
func (c *Conductor) logQuotas(now time.Time) {
	limited := make(map[string]bool)
	for _, u := range c.limiter.Report(maxReportedQuotas, now) {
		if !u.Limited {
			continue
		}
		limited[u.Account] = true
		if !c.limitedAccounts[u.Account] {
			c.log.Event(logger.QuotaReached).Str("account", u.Account).Bool("limited", true).
				Float64("own", u.Own).Float64("fleet", u.Fleet).Float64("part", u.Part).Send()
		}
	}
	for name := range c.limitedAccounts {
		if !limited[name] {
			c.log.Event(logger.QuotaReached).Str("account", name).Bool("limited", false).Send()
		}
	}
	c.limitedAccounts = limited
}
