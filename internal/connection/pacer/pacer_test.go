package pacer

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

func load(t testing.TB) *planner.Plan {
	t.Helper()
	f, err := os.Open("../../../examples/sakdiphong/first.json")
	assert.NilError(t, err)
	n, err := noter.Read(f)
	assert.NilError(t, errors.Join(err, f.Close()))
	p, err := new(planner.Plan).Apply(n)
	assert.NilError(t, err)
	return p
}

func install(p *Pacer, plan *planner.Plan, s allotter.Set, until time.Time) {
	p.Install(plan, allotter.Rights{Regions: map[string]allotter.Right{plan.Links()[0].From().Name(): {Shares: s, Until: until}}})
}

// endless gives as many bytes as are asked for, but at most Chunk.
type endless struct{ t *testing.T }

func (e endless) Read(b []byte) (int, error) {
	assert.Check(e.t, len(b) <= Chunk)
	return len(b), nil
}

// pull reads with each class until the time is over and returns the bytes.
func pull(t *testing.T, p *Pacer, link *planner.Link, d time.Duration, classes ...planner.Class) []float64 {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	sums := make([]float64, len(classes))
	for i, c := range classes {
		go func() {
			n, err := io.Copy(struct{ io.Writer }{io.Discard}, p.Reader(ctx, link, c, endless{t}))
			assert.Check(t, errors.Is(err, context.DeadlineExceeded))
			sums[i] = float64(n)
		}()
	}
	<-ctx.Done()
	synctest.Wait()
	return sums
}

// Guards against a link driven faster than this host's share of it, by one class
// or several, and against a share that stays idle while one class could use it.
func TestRate(t *testing.T) {
	plan := load(t)
	link := plan.Links()[0]
	shares := allotter.Of(3, 4)
	rate := float64(allotter.Link(link.Rate()).In(shares))
	const seconds = 10
	cases := map[string]struct {
		classes []planner.Class
		parts   []float64
	}{
		"download alone": {[]planner.Class{planner.Download}, []float64{1}},
		"look-ups alone": {[]planner.Class{planner.Idempotent}, []float64{1}},
		"both":           {[]planner.Class{planner.Idempotent, planner.Download}, []float64{0.2, 0.8}},
		"many downloads": {[]planner.Class{planner.AtMostOnce, planner.Download, planner.Download, planner.Download}, []float64{0.2, 0.8 / 3, 0.8 / 3, 0.8 / 3}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := new(Pacer)
				install(p, plan, shares, time.Now().Add(time.Hour))
				sum := 0.0
				for i, n := range pull(t, p, link, seconds*time.Second, c.classes...) {
					sum += n
					assert.Check(t, n > 0.9*c.parts[i]*rate*seconds, "class %v got %v of %v", c.classes[i], n, rate*seconds)
				}
				assert.Assert(t, sum <= rate*(seconds+burst.Seconds()))
				f := p.Figure(link)
				assert.Equal(t, f.Held, int64(rate))
				assert.Assert(t, float64(f.Used) > 0.9*rate && float64(f.Used) < 1.1*rate)
			})
		})
	}
}

// Guards against bytes on a right that has ended, on units lent to another host,
// and on a share given up.
func TestRateChanges(t *testing.T) {
	plan := load(t)
	link := plan.Links()[0]
	synctest.Test(t, func(t *testing.T) {
		p := new(Pacer)
		start := time.Now()
		install(p, plan, allotter.Of(0, 1), start.Add(5*time.Second))
		rate := float64(p.Figure(link).Held)
		n := pull(t, p, link, 20*time.Second, planner.Download)[0]
		assert.Assert(t, n > 4.9*rate && n < 5.1*rate)
		assert.Equal(t, p.Figure(link).Held, int64(0))
		assert.Equal(t, p.Idle(link.Name()), int64(0))

		install(p, plan, allotter.Of(0), time.Now().Add(time.Hour))
		time.Sleep(2 * time.Second)
		assert.Assert(t, p.Lend(link.Name(), int64(rate/4)))
		assert.Assert(t, !p.Lend(link.Name(), int64(rate/4)))
		assert.Equal(t, p.Used(link.From().Name(), allotter.Of(0)), allotter.Set(0))
		assert.Equal(t, p.Used(link.From().Name(), 0), allotter.All)
		n = pull(t, p, link, 4*time.Second, planner.Download)[0]
		assert.Assert(t, n > 0.9*rate && n < 1.05*rate, "%v of %v", n, rate)
		p.Regain(link.Name(), 0)
		assert.Equal(t, p.Figure(link).Lent, int64(0))
	})
}

// Guards against downloads that are admitted together and then starve each
// other or the look-ups.
func TestReserve(t *testing.T) {
	plan := load(t)
	link := plan.Links()[0]
	p := new(Pacer)
	_, ok := p.Reserve(link, 1)
	assert.Assert(t, !ok, "no rate yet")
	install(p, plan, allotter.Of(0), time.Now().Add(time.Hour))
	half := p.Figure(link).Held * 4 / 10
	release, ok := p.Reserve(link, half)
	assert.Assert(t, ok)
	_, ok = p.Reserve(link, half)
	assert.Assert(t, ok)
	_, ok = p.Reserve(link, half/10)
	assert.Assert(t, !ok)
	release()
	release() // gives nothing back twice
	_, ok = p.Reserve(link, half)
	assert.Assert(t, ok)
	_, ok = p.Reserve(link, half)
	assert.Assert(t, !ok)
	_, ok = p.Reserve(nil, 1<<40)
	assert.Assert(t, ok)
	r := strings.NewReader("x")
	assert.Assert(t, p.Reader(context.Background(), nil, planner.Download, r) == io.Reader(r))
}

// Guards against more writes to the store than this host's shares give, after a
// pause as well, and against writes on a right that has ended.
func TestWrites(t *testing.T) {
	p, now := new(Pacer), time.Unix(0, 0)
	assert.Assert(t, !p.AllowWrites(now, 1))
	right := allotter.Right{Shares: allotter.Of(0, 1), Until: now.Add(20 * time.Second)}
	p.Install(load(t), allotter.Rights{Store: right, Writes: 300})
	assert.Equal(t, p.Writes(now).Held, int64(25+1))
	n := 0
	for d := time.Duration(0); d < 40*time.Second; d += time.Millisecond {
		if at := now.Add(d); (d < 5*time.Second || d > 10*time.Second) && p.AllowWrites(at, 1) {
			n++
		}
	}
	assert.Assert(t, n >= 15*26 && n <= 15*26+2+1, "%d", n)
	assert.Assert(t, p.LendWrites(now, 13) && !p.LendWrites(now, 1))
	assert.Equal(t, p.Writes(now).Held, int64(13))
	assert.Equal(t, p.UsedWrites(0), allotter.All)
}
