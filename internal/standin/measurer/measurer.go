package measurer

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/checker"
	"dandeliontrack.example/dandeliontrack/internal/standin/deployer"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	startTime = 30 * time.Second
	stopTime  = 10 * time.Second
	// settleTime lets the upstreams, whose cold start takes 2 s in the
	// examples, and the measurements of the hosts settle before the load.
	settleTime = 4 * time.Second
	lifetime   = time.Second
	// patience is how long a caller waits beyond the service's timeout, callTime
	// the longest that it waits at all. A download has a timeout of 40 min, and a
	// caller whose host is cut off would wait for it.
	patience = time.Second
	callTime = 15 * time.Second
)

// System is what serves the load.
type System string

// The systems that are compared.
const (
	Product System = "product"
	Naive   System = "naive"
)

// Measurer runs one experiment.
type Measurer struct {
	experiment *Experiment
	progress   func(string)
}

// New returns a Measurer that tells progress what it does; nil tells nobody.
func New(e *Experiment, progress func(string)) *Measurer {
	if progress == nil {
		progress = func(string) {}
	}
	return &Measurer{experiment: e, progress: progress}
}

// Run runs all repeats of both systems, one after the other, each against a
// fresh deployment.
func (m *Measurer) Run(ctx context.Context) (*Report, error) {
	runs := make(map[System][]*Result)
	for i := range m.experiment.Repeats {
		for _, s := range []System{Product, Naive} {
			m.progress(fmt.Sprintf("%s, %s: run %d of %d", m.experiment.Name, s, i+1, m.experiment.Repeats))
			r, err := m.once(ctx, s)
			if err != nil {
				return nil, err
			}
			runs[s] = append(runs[s], r)
		}
	}
	return &Report{
		Experiment: m.experiment.Name, Deployment: m.experiment.Deployment, Repeats: m.experiment.Repeats,
		Product: median(runs[Product]), Naive: median(runs[Naive]),
	}, nil
}

// run is one run of one system.
type run struct {
	experiment *Experiment
	system     System
	deployer   *deployer.Deployer
	plan       *planner.Plan
	baselines  []*baseline
	live       atomic.Int64
	gone       []atomic.Bool // hosts that callers don't use
	recorder   *recorder
}

func (m *Measurer) once(ctx context.Context, s System) (*Result, error) {
	e := m.experiment
	d, err := deployer.New(deployer.Options{Deployment: e.Deployment, Hosts: e.Hosts, Lifetime: lifetime})
	if err != nil {
		return nil, err
	}
	r := &run{experiment: e, system: s, deployer: d, plan: d.Plan(), gone: make([]atomic.Bool, e.Hosts), recorder: newRecorder()}
	defer r.stop(ctx)
	starting, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := d.Start(starting); err != nil {
		return nil, err
	}
	r.plan = d.Plan()
	if err := r.startBaselines(); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, classifier.Stopping.Wrap(ctx.Err(), "experiment")
	case <-time.After(settleTime):
	}
	r.load(ctx)
	if ctx.Err() != nil {
		return nil, classifier.Stopping.Wrap(ctx.Err(), "experiment")
	}
	d.Check(func(c *checker.Checker) { c.Finish(time.Now()) })
	return r.result(), nil
}

func (r *run) startBaselines() error {
	if r.system != Naive {
		return nil
	}
	r.live.Store(int64(len(r.deployer.Hosts())))
	for _, h := range r.deployer.Hosts() {
		b, err := newBaseline(r.deployer, h, &r.live)
		if err != nil {
			return classifier.Internal.Wrap(err, "baseline")
		}
		r.baselines = append(r.baselines, b)
	}
	return nil
}

// stop ends the deployment also after ctx has ended.
func (r *run) stop(ctx context.Context) {
	for _, b := range r.baselines {
		b.stop()
	}
	for _, p := range r.plan.Regions() {
		for _, o := range r.plan.Regions() {
			r.deployer.Network().Heal(p.Name(), o.Name())
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	// What doesn't stop in time is left to the end of the process.
	_ = r.deployer.Stop(ctx)
}

// load offers the requests and sets the faults, and returns once all requests
// have ended.
func (r *run) load(ctx context.Context) {
	life, cancel := context.WithCancel(ctx)
	defer cancel()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		r.faults(life)
	}()
	go r.sampleLinks(life)
	offer(ctx, arrivals(r.experiment), func(a arrival) deployer.Answer { return r.send(ctx, a) }, r.recorder.record)
	cancel()
	<-finished
}

// wait returns how long a caller waits for a service with this timeout.
func wait(timeout time.Duration) time.Duration { return min(timeout+patience, callTime) }

// send sends a request to the next host in turn, and to the following ones if
// no connection can be opened.
func (r *run) send(ctx context.Context, a arrival) deployer.Answer {
	s := r.plan.Service(a.load.Service)
	ctx, cancel := context.WithTimeout(ctx, wait(s.Timeout()))
	defer cancel()
	q := deployer.Request{Method: http.MethodGet, Service: s.Name(), Path: "/item/" + strconv.Itoa(a.number)}
	values := make(url.Values)
	if a.load.Size > 0 {
		values.Set("size", strconv.FormatInt(a.load.Size, 10))
	}
	if a.load.Speed > 0 {
		values.Set("rate", strconv.FormatInt(a.load.Speed, 10))
	}
	q.Path += "?" + values.Encode()
	if s.Class() == planner.AtMostOnce {
		q.Method, q.Body = http.MethodPost, []byte(`{"amount":100}`)
	}
	if a.load.Keyed {
		q.Key = fmt.Sprintf("%s-%d-%d", r.experiment.Name, r.experiment.Seed, a.number)
	}
	var answer deployer.Answer
	hosts := r.deployer.Hosts()
	for try := range hosts {
		i := (a.number + try) % len(hosts)
		if r.gone[i].Load() {
			continue
		}
		answer = r.deployer.CallAt(ctx, r.address(i), hosts[i].Zone(), q)
		if !refusedDial(answer.Err) {
			break
		}
	}
	return answer
}

func (r *run) address(i int) string {
	if r.system == Naive {
		return r.baselines[i].address
	}
	return r.deployer.Hosts()[i].Caller()
}
