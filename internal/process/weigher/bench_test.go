package weigher

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/process/shifter"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

// Bytes of the message with all effective weights, and the time to make and to
// merge one.
func BenchmarkVector(b *testing.B) {
	for _, size := range [][2]int{{3, 3}, {3, 58}, {24, 58}} {
		n, shares := &noter.Note{ID: "first"}, make(map[string]int)
		for r := range size[1] {
			name := fmt.Sprintf("region-%02d", r)
			n.Added.Regions = append(n.Added.Regions, noter.Region{Name: name, Zones: []string{name + "-a"}, Slots: 1})
			shares[name] = 1
			for to := range size[1] {
				if to != r {
					n.Added.Links = append(n.Added.Links, noter.Link{From: name, To: fmt.Sprintf("region-%02d", to), Rate: 1e8})
				}
			}
		}
		for s := range size[0] {
			service := fmt.Sprintf("service-%02d", s)
			n.Added.Services = append(n.Added.Services, noter.Service{
				Name: service, Class: "lookup", Shares: shares, Cap: noter.Cap{Fraction: 0.1, Every: 1e9}, Timeout: 1e9,
			})
			for name := range shares {
				n.Added.Upstreams = append(n.Added.Upstreams, noter.Upstream{
					Name: service + name, Service: service, Region: name, Zone: name + "-a",
					Address: fmt.Sprintf("10.0.%d.1%s:80", s, name[len("region-"):]), Slots: 6, Connections: 330,
				})
			}
		}
		plan, err := new(planner.Plan).Apply(n)
		assert.NilError(b, err)
		now := time.Unix(1, 0)
		s := shifter.New(now)
		s.Install(plan, now)
		w := New(s, gauger.New(now), nil, nil, nil)
		e := w.envelope()
		e.From = "peer"
		b.Run(fmt.Sprintf("services=%d/regions=%d", size[0], size[1]), func(b *testing.B) {
			for b.Loop() {
				w.envelope()
				_, err := w.Handle(e, now)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(proto.Size(e)), "message-B")
		})
	}
}
