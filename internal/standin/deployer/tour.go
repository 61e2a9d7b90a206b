package deployer

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"dandeliontrack.example/dandeliontrack/internal/checker"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

// Step is one row of a tour.
type Step struct {
	Name     string
	Promised string
	Seen     string
	Kept     bool
}

// Tour runs a fixed sequence of steps against a deployment that was just
// started, and calls row after each. A step that returns false, or during which
// the checker found a breach, has broken what was promised.
func (d *Deployer) Tour(ctx context.Context, row func(Step)) {
	steps := []struct {
		name, promised string
		run            func(context.Context) (string, bool)
	}{
		{"look-ups", "P3: 60 look-ups answered whole by all hosts", d.tourLookups},
		{"download", "P3: one download complete, digest correct", d.tourDownload},
		{"deposit", "P5: 4 requests with one key run once, same answer", d.tourDeposit},
		{"publication", "P8: in force on all hosts within 12 s", d.tourPublication},
		{"shift", "P1: traffic moves, no faster than its cap", d.tourShift},
		{"drain", "P6, P7: no new work after 3 s, downloads finish", d.tourDrain},
		{"store outage", "P4: look-ups served, keyed deposit refused, not run", d.tourOutage},
	}
	seen := len(d.Breaches())
	for _, s := range steps {
		text, kept := s.run(ctx)
		if s.name == steps[len(steps)-1].name {
			d.Check(func(c *checker.Checker) { c.Finish(time.Now()) })
		}
		breaches := d.Breaches()
		if n := len(breaches) - seen; n > 0 {
			kept = false
			text += fmt.Sprintf("; %d breaches, the first: %v", n, breaches[seen])
		}
		seen = len(breaches)
		row(Step{Name: s.name, Promised: s.promised, Seen: text, Kept: kept})
	}
}

// service returns the deployment's service of a class.
func (d *Deployer) service(class planner.Class) *planner.Service {
	for _, s := range d.plan.Services() {
		if s.Class() == class {
			return s
		}
	}
	return nil
}

// lookups sends n requests of the class lookup, spread over all hosts, width at
// a time.
func (d *Deployer) lookups(ctx context.Context, n, width int) []Answer {
	answers := make([]Answer, n)
	var wg sync.WaitGroup
	for w := range width {
		wg.Go(func() {
			for i := w; i < n; i += width {
				answers[i] = d.Call(ctx, d.hosts[i%len(d.hosts)], Request{
					Method: http.MethodGet, Service: d.service(planner.Idempotent).Name(), Path: "/item/" + strconv.Itoa(i),
				})
			}
		})
	}
	wg.Wait()
	return answers
}

func whole(answers []Answer) int {
	n := 0
	for _, a := range answers {
		if a.Whole() {
			n++
		}
	}
	return n
}

// firstBad returns " (first: ...)" for the first answer that is not whole.
func firstBad(answers []Answer) string {
	for _, a := range answers {
		if !a.Whole() {
			return fmt.Sprintf(" (first: %s after %v)", describe(a), a.Elapsed.Round(time.Millisecond))
		}
	}
	return ""
}

func (d *Deployer) tourLookups(ctx context.Context) (string, bool) {
	named := 0
	for _, h := range d.hosts {
		if l, err := d.Lookup(ctx, h, d.service(planner.Idempotent).Name(), ""); err == nil && len(l.Hosts) > 0 {
			named++
		}
	}
	answers := d.lookups(ctx, 60, 6)
	times := make([]time.Duration, len(answers))
	for i, a := range answers {
		times[i] = a.Elapsed
	}
	slices.Sort(times)
	n := whole(answers)
	return fmt.Sprintf("%d of 60 whole%s, median %v; %d of %d hosts name hosts", n, firstBad(answers), times[len(times)/2].Round(time.Millisecond), named, len(d.hosts)), n == 60 && named == len(d.hosts)
}

func (d *Deployer) tourDownload(ctx context.Context) (string, bool) {
	a := d.Call(ctx, d.hosts[0], Request{Method: http.MethodGet, Service: d.service(planner.Download).Name(), Path: "/file"})
	return fmt.Sprintf("%s, %d bytes in %v", describe(a), a.Bytes, a.Elapsed.Round(time.Millisecond)), a.Whole() && a.Bytes > 0
}

func describe(a Answer) string {
	switch {
	case a.Err != nil:
		return "failed: " + a.Err.Error()
	case a.Whole():
		return "complete"
	default:
		return strings.Join(strings.Fields(fmt.Sprintf("status %d %s %s", a.Status, a.Kind, a.Outcome)), " ")
	}
}

// runs returns how often requests ran at all upstreams. An upstream counts a
// request by its key if the host passes the key on, otherwise by its id.
func (d *Deployer) runs(ids ...string) int {
	n := 0
	for _, w := range d.workers {
		for _, id := range ids {
			n += w.Runs(id)
		}
	}
	return n
}

func (d *Deployer) deposit(ctx context.Context, h *Host, key string) Answer {
	return d.Call(ctx, h, Request{
		Method: http.MethodPost, Service: d.service(planner.AtMostOnce).Name(), Path: "/deposit",
		Key: key, Body: []byte(`{"amount":100}`), Timeout: 4 * time.Second,
	})
}

func (d *Deployer) tourDeposit(ctx context.Context) (string, bool) {
	key := uuid.NewString()
	first := d.deposit(ctx, d.hosts[0], key)
	same, ids := 0, []string{key, first.ID}
	for i := range 3 {
		a := d.deposit(ctx, d.hosts[i%len(d.hosts)], key)
		if a.Whole() && a.Digest == first.Digest {
			same++
		}
		ids = append(ids, a.ID)
	}
	runs := d.runs(ids...)
	return fmt.Sprintf("first %s; ran %d times, %d of 3 repeats got the first answer", describe(first), runs, same), first.Whole() && runs == 1 && same == 3
}

func (d *Deployer) tourPublication(ctx context.Context) (string, bool) {
	n := &noter.Note{ID: "tour-customer", Base: d.Version(), Added: noter.Items{ClientAccounts: []noter.ClientAccount{{Name: "tour", Hold: "refuse"}}}}
	start := time.Now()
	p, err := d.Publish(ctx, d.hosts[0], n)
	if err != nil {
		return "refused: " + err.Error(), false
	}
	bound := d.options.Bounds.Spread
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if err := d.WaitVersion(ctx, uint64(p.Version)); err != nil {
		return fmt.Sprintf("version %d is not everywhere after %v: %v", p.Version, bound, err), false
	}
	return fmt.Sprintf("version %d on %d hosts after %v", p.Version, len(d.hosts), time.Since(start).Round(time.Millisecond)), true
}

// The shift is watched for shiftTime, with shiftProbes requests at a time.
const (
	shiftTime   = 5 * time.Second
	shiftProbes = 40
)

// tourShift publishes the shift of the examples and compares the share of the
// region that loses traffic with the cap, by the requests that arrive there.
func (d *Deployer) tourShift(ctx context.Context) (string, bool) {
	n, err := d.Note("shift")
	if err != nil {
		return err.Error(), false
	}
	n.Base = d.Version()
	s := d.service(planner.Idempotent)
	next := n.Changed.Services[0]
	total := 0
	for _, w := range next.Shares {
		total += w
	}
	region, drop := 0, 0.0
	for i, r := range d.plan.Regions() {
		if by := s.Shares()[i] - float64(next.Shares[r.Name()])/float64(total); by > drop {
			region, drop = i, by
		}
	}
	name := d.plan.Regions()[region].Name()
	// The shift may begin before the publication is answered.
	start := time.Now()
	if _, err := d.Publish(ctx, d.hosts[0], n); err != nil {
		return "refused: " + err.Error(), false
	}
	at, of := 0, 0
	for begin := time.Now(); time.Since(begin) < shiftTime && ctx.Err() == nil; {
		for _, a := range d.lookups(ctx, shiftProbes, 8) {
			if w := d.plan.Upstream(a.Upstream); w != nil {
				of++
				if w.Region().Index() == region {
					at++
				}
			}
		}
	}
	if of == 0 {
		return "no request was served", false
	}
	before, now := s.Shares()[region], float64(at)/float64(of)
	moved, reported := d.moved(ctx, s.Name(), name)
	// Until now the cap lets this much move, and one step of Shifter is under
	// way. Four standard deviations of the count are chance.
	took := time.Since(start)
	allowed := next.Cap.Fraction * float64(took+shiftStep) / float64(next.Cap.Every)
	chance := 4 * math.Sqrt(before*(1-before)/float64(of))
	text := fmt.Sprintf("%s had %.3f, then %.3f of %d requests in %v (at most %.3f may move); ", name, before, now, of, took.Round(time.Millisecond), allowed)
	if !reported {
		return text + "not every host reports weights", false
	}
	return text + fmt.Sprintf("hosts moved %.3f", moved), before-now <= allowed+chance && moved > 0 && moved <= allowed
}

// shiftStep is the length of one step of a shift (design 4.4).
const shiftStep = 250 * time.Millisecond

// moved returns the most that a host has moved away from a region, and whether
// all hosts report weights.
func (d *Deployer) moved(ctx context.Context, service, region string) (most float64, reported bool) {
	before := d.plan.Service(service).Shares()[d.plan.Region(region).Index()]
	found := 0
	for _, h := range d.hosts {
		status, err := h.Status(ctx)
		if err != nil {
			continue
		}
		for _, s := range status.Shifts {
			for _, w := range s.Weights {
				if s.Service == service && w.Region == region {
					found++
					most = max(most, before-w.Effective)
				}
			}
		}
	}
	return most, found == len(d.hosts)
}

// drainTime is how long new work is offered after the drain began.
const drainTime = 6 * time.Second

// tourDrain drains an upstream that serves a download and offers new downloads.
func (d *Deployer) tourDrain(ctx context.Context) (string, bool) {
	service := d.service(planner.Download).Name()
	var wg sync.WaitGroup
	long := make([]Answer, 4)
	for i := range long {
		// 4 MiB at 0.5 MiB/s outlast the drain by 2 s.
		wg.Go(func() {
			long[i] = d.Call(ctx, d.hosts[i%len(d.hosts)], Request{Method: http.MethodGet, Service: service, Path: "/long?size=4194304&rate=524288"})
		})
	}
	name := ""
	for range 100 {
		for _, u := range d.service(planner.Download).Upstreams() {
			if d.workers[u.Name()].Busy() > 0 {
				name = u.Name()
			}
		}
		if name != "" {
			break
		}
		time.Sleep(poll)
	}
	if name == "" {
		wg.Wait()
		return "no download began: " + describe(long[0]), false
	}
	// All four downloads begin within the longest delay, so the one that is
	// drained is in flight.
	time.Sleep(time.Second)
	d.Drain(name)
	var offered atomic.Int64
	start := time.Now()
	for _, h := range d.hosts {
		wg.Go(func() {
			for time.Since(start) < drainTime && ctx.Err() == nil {
				d.Call(ctx, h, Request{Method: http.MethodGet, Service: service, Path: "/short?size=1024"})
				offered.Add(1)
			}
		})
	}
	wg.Wait()
	c := d.workers[name].Counts()
	d.Return(name)
	n := whole(long)
	return fmt.Sprintf("%s: %d of %d new ones came after the sign, the last at %v; %d of %d long ones complete%s", name, c.Late, offered.Load(), time.Duration(c.Lag).Round(time.Millisecond), n, len(long), firstBad(long)),
		time.Duration(c.Lag) <= d.options.Bounds.Leave && n == len(long)
}

func (d *Deployer) tourOutage(ctx context.Context) (string, bool) {
	d.platform.SetDown(true)
	defer d.platform.SetDown(false)
	answers := d.lookups(ctx, 20, 4)
	n := whole(answers)
	key := uuid.NewString()
	a := d.deposit(ctx, d.hosts[0], key)
	// A dispatch after the refusal would be as wrong as one before it.
	time.Sleep(time.Second)
	runs := d.runs(key, a.ID)
	return fmt.Sprintf("%d of 20 look-ups whole%s; deposit: %s, ran %d times", n, firstBad(answers), describe(a), runs),
		n == 20 && a.Outcome == "not-run" && a.Kind == "store_down" && runs == 0
}
