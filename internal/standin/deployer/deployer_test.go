package deployer_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/checker"
	"dandeliontrack.example/dandeliontrack/internal/standin/deployer"
	"dandeliontrack.example/dandeliontrack/internal/standin/worker"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

func start(t *testing.T, o deployer.Options) *deployer.Deployer {
	d, err := deployer.New(o)
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		defer cancel()
		assert.Check(t, d.Stop(ctx))
	})
	assert.NilError(t, d.Start(ctx))
	return d
}

// Guards against deployments that take each other's ports, that differ from
// their description, or whose calls don't reach the checker.
func TestTwoDeployments(t *testing.T) {
	for name, c := range map[string]struct{ hosts, upstreams int }{"sakdiphong": {8, 38}, "campos": {12, 44}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The time until a version is in force is measured by benchmarks; here
			// the hosts share the machine with all other tests.
			bounds := checker.Bounds{Leave: checker.DefaultBounds.Leave, Spread: time.Hour}
			d := start(t, deployer.Options{Deployment: name, Hosts: c.hosts, Lifetime: 100 * time.Millisecond, Bounds: bounds})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			assert.NilError(t, d.WaitVersion(ctx, 1))
			assert.Equal(t, len(d.Hosts()), c.hosts)
			assert.Equal(t, len(d.Plan().Upstreams()), c.upstreams)
			for i, s := range d.Plan().Services() {
				method := http.MethodGet
				if s.Class().String() == "once" {
					method = http.MethodPost
				}
				a := served(t, d, i, deployer.Request{Method: method, Service: s.Name(), Path: "/x", Key: "key-" + s.Name()})
				assert.Assert(t, a.Whole(), "%+v", a)
				assert.Assert(t, a.Elapsed >= 6*time.Millisecond, "two ways between client and host: %v", a.Elapsed)
				assert.Equal(t, d.Worker(a.Upstream).Runs("key-"+s.Name())+d.Worker(a.Upstream).Runs(a.ID), 1)
			}
			d.Check(func(c *checker.Checker) { c.Finish(time.Now()) })
			assert.Equal(t, len(d.Breaches()), 0, "%v", d.Breaches())
		})
	}
}

// served sends the request as callers do: to the next host while one refuses it
// as not run, which a host does while it holds no slot of the service.
func served(t *testing.T, d *deployer.Deployer, first int, r deployer.Request) deployer.Answer {
	var a deployer.Answer
	for i := range 2 * len(d.Hosts()) {
		a = d.Call(t.Context(), d.Hosts()[(first+i)%len(d.Hosts())], r)
		if a.Outcome != classifier.NotRun.String() {
			break
		}
	}
	return a
}

// Guards against a deployment whose checker sees nothing of what runs at the
// upstreams: requests that pass by the hosts break promises 2, 5 and 6.
func TestCheckerSeesUpstreams(t *testing.T) {
	bounds := checker.Bounds{Leave: time.Nanosecond, Spread: checker.DefaultBounds.Spread}
	d := start(t, deployer.Options{Deployment: "campos", Hosts: 1, Immediate: true, Lifetime: 100 * time.Millisecond, Bounds: bounds})
	post := func(u *planner.Upstream, key string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+u.Address()+"/x", http.NoBody)
		assert.Check(t, err)
		req.Header.Set("Request-Id", key+u.Name())
		req.Header.Set("Idempotency-Key", key)
		resp, err := http.DefaultClient.Do(req)
		if assert.Check(t, err) {
			assert.Check(t, resp.Body.Close())
		}
	}
	ups := d.Plan().Service("deposits-desk").Upstreams()
	post(ups[0], "k")
	post(ups[1], "k")
	d.Drain(ups[2].Name())
	post(ups[2], "late")
	d.Worker(ups[3].Name()).SetFaults(worker.Faults{Late: noter.Duration(300 * time.Millisecond)})
	var wg sync.WaitGroup
	for i := range ups[3].Slots() + 1 {
		wg.Go(func() { post(ups[3], strconv.Itoa(i)) })
	}
	wg.Wait()
	var got []checker.Promise
	for _, b := range d.Breaches() {
		got = append(got, b.Promise)
	}
	assert.DeepEqual(t, got, []checker.Promise{checker.Once, checker.Leaving, checker.Overload})
}

// Guards against a host that can't start again on its address.
func TestRestartHost(t *testing.T) {
	d := start(t, deployer.Options{Deployment: "sakdiphong", Hosts: 2, Immediate: true, Lifetime: 100 * time.Millisecond})
	h := d.Hosts()[1]
	assert.NilError(t, h.Stop(t.Context()))
	a := d.Call(t.Context(), h, deployer.Request{Method: http.MethodGet, Service: "catalog", Path: "/x"})
	assert.Assert(t, a.Err != nil)
	assert.NilError(t, h.Start(t.Context()))
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	assert.NilError(t, d.WaitVersion(ctx, 1))
}

// Guards against options that are taken although nothing can run with them.
func TestOptions(t *testing.T) {
	for name, o := range map[string]deployer.Options{
		"unknown deployment": {Deployment: "nowhere"},
		"too many hosts":     {Deployment: "campos", Hosts: 13},
		"negative hosts":     {Deployment: "campos", Hosts: -1},
	} {
		_, err := deployer.New(o)
		assert.Equal(t, classifier.Of(err), classifier.BadRequest, name)
	}
}

// Guards against a stop of a host that cuts off a download in flight (P7).
func TestStopFinishesDownload(t *testing.T) {
	d := start(t, deployer.Options{Deployment: "campos", Hosts: 2, Immediate: true, Lifetime: 100 * time.Millisecond})
	answers := make(chan deployer.Answer, 1)
	go func() {
		answers <- d.Call(t.Context(), d.Hosts()[1], deployer.Request{Method: http.MethodGet, Service: "plans-archive", Path: "/x?size=1048576&rate=1048576"})
	}()
	busy := func() (n int) {
		for _, u := range d.Plan().Service("plans-archive").Upstreams() {
			n += d.Worker(u.Name()).Busy()
		}
		return n
	}
	for deadline := time.Now().Add(10 * time.Second); busy() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "no download began")
	}
	assert.NilError(t, d.Hosts()[1].Stop(t.Context()))
	a := <-answers
	assert.Assert(t, a.Whole(), "%+v", a)
	assert.Equal(t, len(d.Breaches()), 0, "%v", d.Breaches())
}
