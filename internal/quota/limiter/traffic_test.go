package limiter_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/quota/limiter"
	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
)

func TestTraffic(t *testing.T) {
	build := func(name string, now time.Time) method { return limiter.New(name, settings, now) }
	for _, hosts := range []int{77, 295} {
		var quotas []*authenticator.Account
		for i := range 81 {
			p := 20.0
			if i < 5 {
				p = 300
			} else if i < 21 {
				p = 60
			} else if i > 70 {
				p = 5
			}
			if os.Getenv("ONLY") != "" && fmt.Sprint(p) != os.Getenv("ONLY") {
				p = 1e6
			}
			quotas = append(quotas, &authenticator.Account{Name: fmt.Sprintf("account-%d", i), Quota: authenticator.Quota{PerSecond: p, Burst: p}})
		}
		f := newFleet(1, hosts, quotas, build)
		for range 400 {
			f.tick()
		}
		usual := spread(hosts, 12, 0.6)
		refused, total := 0, 0
		for at := time.Duration(0); at < 40*time.Second; at += step {
			if at == 15*time.Second {
				for _, n := range f.nodes {
					n.bytes = 0
				}
			}
			f.tick()
			for _, q := range quotas {
				if q.Quota.PerSecond > 1e5 {
					continue
				}
				for n := f.poisson(0.6 * q.Quota.PerSecond * step.Seconds()); n > 0; n-- {
					x := f.rand.Float64() * 0.6
					i := 0
					for ; x > usual[i] && i < hosts-1; i++ {
						x -= usual[i]
					}
					total++
					if !f.nodes[i].Allow(q.Name, f.now) {
						refused++
					}
				}
			}
		}
		bytes, most := 0, 0
		for _, n := range f.nodes {
			bytes += n.bytes
			most = max(most, n.bytes)
		}
		t.Logf("%d hosts: %d B/s/host, most %d, refused %d of %d", hosts, bytes/25/hosts, most/25, refused, total)
	}
}
