package meter

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
)

const (
	// maxListedAccounts is the number of accounts whose refusals are shown one by one.
	maxListedAccounts = 10
	// maxCountedAccounts bounds the accounts whose refusals are counted one by one.
	maxCountedAccounts = 1 << 14
)

// Refusal describes a refused request.
type Refusal struct {
	Reason  string
	Urgency int
	Account string // "" without one
}

// refusalCounts counts refusals by urgency and account. The zero value is ready to use.
type refusalCounts struct {
	mu        sync.Mutex
	byUrgency map[urgencyRefusal]int64
	byAccount map[string]map[string]int64 // by account and reason
	rest      map[string]int64            // by reason, of accounts beyond maxCountedAccounts
}

type urgencyRefusal struct {
	reason  string
	urgency int
}

func (c *refusalCounts) count(r Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byUrgency == nil {
		c.byUrgency = make(map[urgencyRefusal]int64)
		c.byAccount = make(map[string]map[string]int64)
		c.rest = make(map[string]int64)
	}
	c.byUrgency[urgencyRefusal{r.Reason, r.Urgency}]++
	if r.Account == "" {
		return
	}
	counts := c.byAccount[r.Account]
	if counts == nil {
		if len(c.byAccount) >= maxCountedAccounts {
			c.rest[r.Reason]++
			return
		}
		counts = make(map[string]int64, 1)
		c.byAccount[r.Account] = counts
	}
	counts[r.Reason]++
}

// urgencies returns the refusals by reason and urgency.
func (c *refusalCounts) urgencies() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64, len(c.byUrgency))
	for r, n := range c.byUrgency {
		out[r.reason+"/"+strconv.Itoa(r.urgency)] = n
	}
	return out
}

// topAccounts returns the refusals by reason of the accounts with the most, and those of all
// others as "rest".
func (c *refusalCounts) topAccounts() map[string]map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := slices.SortedFunc(maps.Keys(c.byAccount), func(a, b string) int {
		return cmp.Or(cmp.Compare(total(c.byAccount[b]), total(c.byAccount[a])), cmp.Compare(a, b))
	})
	out := make(map[string]map[string]int64)
	rest := maps.Clone(c.rest)
	for i, name := range names {
		if i < maxListedAccounts {
			out["account "+name] = maps.Clone(c.byAccount[name])
			continue
		}
		for reason, n := range c.byAccount[name] {
			rest[reason] += n
		}
	}
	if len(rest) > 0 {
		out["rest"] = rest
	}
	return out
}

func total(counts map[string]int64) (n int64) {
	for _, k := range counts {
		n += k
	}
	return n
}
