package measurer

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"syscall"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/standin/worker"
)

// detectTime is how long callers go on using the hosts of a lost region: the
// lifetime of a look-up.
const detectTime = lifetime

// refusedDial reports whether nobody listens at a host's address.
func refusedDial(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// faults sets the faults at their times until ctx ends.
func (r *run) faults(ctx context.Context) {
	start := time.Now()
	faults := slices.Clone(r.experiment.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return int(a.At - b.At) })
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(time.Duration(f.At)))):
		}
		if err := r.fault(ctx, f); err != nil {
			r.recorder.problem(f.Kind + " " + f.Name + ": " + err.Error())
		}
	}
}

func (r *run) fault(ctx context.Context, f Fault) error {
	d := r.deployer
	switch f.Kind {
	case StoreDown, StoreUp:
		d.Platform().SetDown(f.Kind == StoreDown)
	case RegionLost, RegionBack:
		r.region(ctx, f.Name, f.Kind == RegionLost)
	case Drain:
		d.Drain(f.Name)
		go r.watchDrain(ctx, d.Worker(f.Name), time.Now())
	case Silence:
		d.Network().Silence(f.Name, f.To)
	case Cold:
		for _, u := range r.plan.Service(f.Name).UpstreamsIn(r.plan.Region(f.To).Index()) {
			d.Worker(u.Name()).Restart()
		}
	case HostLost:
		return r.loseHost(ctx, f.Name)
	case Note:
		return r.publish(ctx, f.Name)
	}
	return nil
}

// region cuts a region off or joins it again. Callers use its hosts for the
// lifetime of a look-up.
func (r *run) region(ctx context.Context, name string, lost bool) {
	for _, other := range r.plan.Regions() {
		if lost {
			r.deployer.Network().Cut(name, other.Name())
		} else {
			r.deployer.Network().Heal(name, other.Name())
		}
	}
	go func() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(detectTime):
		}
		for i, h := range r.deployer.Hosts() {
			if h.Region() == name {
				r.gone[i].Store(lost)
			}
		}
	}()
}

// loseHost ends a host of either system without notice.
func (r *run) loseHost(ctx context.Context, number string) error {
	i, err := strconv.Atoi(number)
	if err != nil {
		return err
	}
	if r.system == Naive {
		r.baselines[i-1].stop()
		r.live.Add(-1)
		return nil
	}
	return r.deployer.Hosts()[i-1].Kill(ctx)
}

func (r *run) publish(ctx context.Context, name string) error {
	n, err := r.deployer.Note(name)
	if err != nil {
		return err
	}
	n.Base = r.deployer.Version()
	next, err := r.plan.Apply(n)
	if err != nil {
		return err
	}
	for _, b := range r.baselines {
		b.install(next)
	}
	_, err = r.deployer.Publish(ctx, r.deployer.Hosts()[0], n)
	return err
}

const (
	drainPoll = 10 * time.Millisecond
	linkPoll  = time.Second
)

// watchDrain notes the last time at which a draining upstream had work.
func (r *run) watchDrain(ctx context.Context, w *worker.Worker, since time.Time) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		if w.Busy() > 0 {
			r.recorder.drain(time.Since(since))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sampleLinks notes the largest use of the links in any second.
func (r *run) sampleLinks(ctx context.Context) {
	ticker := time.NewTicker(linkPoll)
	defer ticker.Stop()
	before, since := r.deployer.Network().Bytes(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, sent := time.Now(), r.deployer.Network().Bytes()
		for _, l := range r.plan.Links() {
			p := pair(l.From().Name(), l.To().Name())
			r.recorder.link(float64(sent[p]-before[p]) / now.Sub(since).Seconds() / float64(l.Rate()))
		}
		before, since = sent, now
	}
}
