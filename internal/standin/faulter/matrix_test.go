//go:build !race

package faulter

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/checker"
)

// bubble runs the trial in a bubble. Two collections afterwards empty the pools
// of libraries (yamux, http2), whose timers and channels belong to the bubble.
func (t *trial) bubble(test *testing.T) {
	test.Helper()
	synctest.Test(test, func(*testing.T) {
		t.run()
		time.Sleep(time.Minute)
	})
	runtime.GC()
	runtime.GC()
	test.Logf("answers: %v", t.answered)
}

func (t *trial) check(test *testing.T) {
	test.Helper()
	t.bubble(test)
	assert.Check(test, len(t.missed) == 0, "steps never reached: %v", t.missed)
	for _, b := range t.breaches {
		test.Errorf("%s at %s", b, b.At.Format("04:05.000"))
	}
}

// cells returns what the fleet causes of a fault. Open faults stay in the run of
// the whole matrix.
func cells(f Fault, open bool) (plan []injection) {
	for _, s := range Steps() {
		cell := Table(f, s)
		if cell.Red != "" && open {
			plan = append(plan, injection{faults: []Fault{f}, step: s})
		}
		for _, test := range cell.Tests {
			if test == whole {
				plan = append(plan, injection{faults: []Fault{f}, step: s})
			}
		}
	}
	return plan
}

// Guards against a promise that breaks when a fault of the table begins at a
// step of the table.
func TestEveryFaultAtEveryStep(t *testing.T) {
	all := os.Getenv("MATRIX") == "all"
	rng := rand.New(rand.NewPCG(1, 1))
	var some []injection
	for _, f := range Faults() {
		plan := cells(f, all)
		if all {
			t.Run(f.String(), func(t *testing.T) { (&trial{plan: plan}).check(t) })
		}
		if f != LeaseExpires {
			some = append(some, plan[rng.IntN(len(plan))])
		}
	}
	if !all {
		rng.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
		(&trial{plan: some[:15]}).check(t)
	}
}

// Guards against a promise that breaks when two faults begin at once, or the
// same fault twice.
func TestPairs(t *testing.T) {
	const most = 10
	fleets := 1
	if os.Getenv("MATRIX") == "all" {
		fleets = 20
	}
	for seed := range fleets {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(uint64(seed), 2))
			c := new(trial)
			for len(c.plan) < most {
				a, b := Fault(rng.IntN(int(faultCount))), Fault(rng.IntN(int(faultCount)))
				if a == LeaseExpires || b == LeaseExpires {
					continue
				}
				in := injection{faults: []Fault{a, b}, step: Step(rng.IntN(int(stepCount)))}
				if rng.IntN(3) == 0 {
					in.faults, in.again = in.faults[:1], true
				}
				c.plan = append(c.plan, in)
			}
			c.check(t)
		})
	}
}

// Guards against a fleet and a checker that cannot fail: with a mechanism off,
// the promise that it keeps must break.
func TestMechanismsOff(t *testing.T) {
	for off, want := range map[string]checker.Promise{
		offDrain: checker.Graceful, offClaims: checker.Once, offSigns: checker.Leaving, offCap: checker.Cap, offLedger: checker.Overload,
	} {
		t.Run(off, func(t *testing.T) {
			c := &trial{off: off, plan: []injection{{step: Drain}, {step: Stop}, {step: Shift}}}
			c.bubble(t)
			found := make(map[checker.Promise]int)
			for _, b := range c.breaches {
				found[b.Promise]++
			}
			assert.Assert(t, found[want] > 0, "%s: %v", want, found)
		})
	}
}
