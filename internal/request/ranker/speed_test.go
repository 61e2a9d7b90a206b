//go:build !race

package ranker_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
)

// sharedMachines returns the slowness of upstreams that share machines with other programs:
// it fluctuates within fractions of a second, and is higher for some seconds now and then, at
// different times for different upstreams.
func sharedMachines(seed uint64, upstreams int, length time.Duration) [][]float64 {
	rng := rand.New(rand.NewPCG(seed, 5))
	out := make([][]float64, upstreams)
	for u := range out {
		noise, level, left := 0.0, 1.0, 0
		for range int(length / slownessStep) {
			if left--; left < 0 && rng.Float64() < slownessStep.Seconds()/8 {
				left, level = int(rng.ExpFloat64()*2/slownessStep.Seconds()), 1.5+2*rng.Float64()
			}
			if left < 0 {
				level = 1
			}
			noise = 0.8*noise + 0.15*rng.NormFloat64()
			out[u] = append(out[u], level*math.Exp(noise))
		}
	}
	return out
}

// withoutObject makes a chooser ignore the object of a request.
func withoutObject(c chooser) chooser {
	return func(h *host, now time.Time, _ uint64) ranker.Choice { return c(h, now, 0) }
}

// chooseLeastLoaded chooses the upstream with the lowest estimated load, a random one of several.
func chooseLeastLoaded(h *host, now time.Time, _ uint64) ranker.Choice {
	all := h.registrar.Group("prices").Upstreams()
	first := h.rng.IntN(len(all))
	best, least := all[first], math.Inf(1)
	for i := range all {
		u := all[(first+i)%len(all)]
		if load := u.EstimatedLoad(now); load < least {
			best, least = u, load
		}
	}
	return ranker.Choice{Upstream: best, Slowness: 1}
}

// chooseKnowingAll chooses by the actual queues, caches and speeds.
func chooseKnowingAll(h *host, now time.Time, object uint64) ranker.Choice {
	w, l := h.fleet, &h.workload
	var best *registrar.Upstream
	least := math.Inf(1)
	for _, candidate := range h.registrar.Group("prices").Upstreams() {
		u := w.index[candidate.ID()]
		s, work := w.servers[u], l.cold
		if slices.ContainsFunc(s.cached, func(o uint64) bool { return o*0x9e3779b97f4a7c15 == object }) {
			work = l.warm
		}
		waiting := max(0, s.running+len(s.queue)+1-l.slots)
		cost := (work.Seconds() + float64(waiting)/float64(l.slots)*l.warm.Seconds()) * w.slownessAt(u, now)
		if cost < least {
			best, least = candidate, cost
		}
	}
	return ranker.Choice{Upstream: best, Slowness: 1}
}

// Guards against a choice that is worse for knowing the speed of upstreams: one that trusts
// old reports, or sends all requests of all hosts to the upstream that looked fast.
func TestChoiceWithStaleSpeed(t *testing.T) {
	const ms = time.Millisecond
	// Requests of a service in its region: of one of 8 hosts, and in the deployments with 32 and
	// 77 hosts. The work is 0.6 of the slots, without the slowness.
	loads := map[int]workload{
		8:  {hosts: 8, upstreams: 14, slots: 9, objects: 111, cacheSize: 60, perSecond: 700, cold: 250 * ms, warm: 100 * ms},
		32: {hosts: 32, upstreams: 40, slots: 9, objects: 320, cacheSize: 60, perSecond: 700, cold: 600 * ms, warm: 300 * ms},
		77: {hosts: 77, upstreams: 38, slots: 3, objects: 300, cacheSize: 60, perSecond: 450, cold: 300 * ms, warm: 150 * ms},
	}
	others := []struct {
		name   string
		choose chooser
	}{{"knowing all", chooseKnowingAll}, {"two choices", chooseByTwoChoices}, {"least loaded", chooseLeastLoaded}}
	for hosts, l := range loads {
		for _, affinity := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d hosts, affinity %v", hosts, affinity), func(t *testing.T) {
				t.Parallel()
				l, choose := l, chooseWithRanker
				l.target, l.deadline, l.length = 10*time.Second, 30*time.Second, 20*time.Second
				l.slowness = sharedMachines(uint64(hosts), l.upstreams, l.length)
				if !affinity {
					l.cold, choose = l.warm, withoutObject(choose)
				}
				var means, tails, meansBefore, tailsBefore float64
				for _, l.reportAge = range []time.Duration{0, 100 * ms, 250 * ms, 500 * ms, time.Second} {
					previous := l
					previous.threeFigures = true
					mean, tail := measure(l, choose)
					meanBefore, tailBefore := measure(previous, choose)
					line := fmt.Sprintf("speed %.0f/%.0f, previous %.0f/%.0f", mean, tail, meanBefore, tailBefore)
					for _, c := range others {
						m, p := measure(previous, c.choose)
						line += fmt.Sprintf(", %s %.0f/%.0f", c.name, m, p)
					}
					t.Logf("report age %v, mean/99th percentile in ms: %s", l.reportAge, line)
					means, tails, meansBefore, tailsBefore = means+mean, tails+tail, meansBefore+meanBefore, tailsBefore+tailBefore
				}
				assert.Check(t, means <= meansBefore && tails <= tailsBefore)
			})
		}
	}
}

// measure returns the mean and the 99th percentile of the response times, in milliseconds.
func measure(l workload, choose chooser) (mean, tail float64) {
	times := runSimulation(l, choose).times
	slices.Sort(times)
	for _, d := range times {
		mean += d.Seconds() * 1000 / float64(len(times))
	}
	return mean, times[len(times)*99/100].Seconds() * 1000
}
