package measurer

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"
)

// arrival is a request and its intended time after the beginning of the load.
type arrival struct {
	at     time.Duration
	number int
	load   Load
}

// arrivals returns all requests of an experiment in the order of their times.
// They depend on the experiment and its seed only, so that both systems and all
// repeats get the same load.
func arrivals(e *Experiment) []arrival {
	var all []arrival
	begin := time.Duration(0)
	for i, p := range e.Phases {
		end := begin + time.Duration(p.For)
		for j, l := range p.Loads {
			rng := rand.New(rand.NewPCG(e.Seed, uint64(i)<<32|uint64(j)))
			for at := begin; len(all) < 2*MaxArrivals; {
				at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
				if at >= end {
					break
				}
				all = append(all, arrival{at: at, load: l})
			}
		}
		begin = end
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range all {
		all[i].number = i
	}
	return all
}

// maxOpen bounds the requests that are open at once. A request that waits for
// room still counts from its intended time.
const maxOpen = 2000

// offer calls send for each arrival at its time, without waiting for earlier
// ones, and done with the time from the intended arrival to the end of send.
func offer[T any](ctx context.Context, all []arrival, send func(arrival) T, done func(arrival, T, time.Duration)) {
	var wg sync.WaitGroup
	room := make(chan struct{}, maxOpen)
	start := time.Now()
	for _, a := range all {
		intended := start.Add(a.at)
		timer := time.NewTimer(time.Until(intended))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			break
		}
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			answer := send(a)
			done(a, answer, time.Since(intended))
		})
	}
	wg.Wait()
}

func hostNumbers(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = strconv.Itoa(i + 1)
	}
	return names
}
