package measurer

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/standin/deployer"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const correct = `{"name":"x","deployment":"campos","seed":7,"phases":[{"for":"10s","loads":[{"service":"listings-web","rate":50}]}],"faults":[{"at":"1s","kind":"store-down"}]}`

// Guards against experiments that run with a misspelt field, without a bound, or
// with a fault that has no effect.
func TestParse(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"correct":            {"", "", ""},
		"unknown field":      {`"seed"`, `"sed"`, `"sed"`},
		"unknown deployment": {"campos", "lima", "deployment"},
		"too many hosts":     {`"seed"`, `"hosts":13,"seed"`, "hosts"},
		"too many repeats":   {`"seed"`, `"repeats":6,"seed"`, "repeats"},
		"too long":           {`"10s"`, `"61s"`, `"for"`},
		"overflowing times":  {`"phases":[`, `"phases":[{"for":"2562047h","loads":[]},`, `"for"`},
		"too many requests":  {`"rate":50`, `"rate":7000`, "requests"},
		"no rate":            {`"rate":50`, `"rate":0`, "rate"},
		"negative speed":     {`"rate":50`, `"rate":50,"speed":-1`, "speed"},
		"unknown service":    {"listings-web", "catalog", "service"},
		"key on a lookup":    {`"rate":50`, `"rate":50,"keyed":true`, "keyed"},
		"late fault":         {`"1s"`, `"11s"`, `"at"`},
		"unknown fault":      {"store-down", "flood", "flood"},
		"unknown region":     {`"store-down"`, `"region-lost","name":"bkk"`, "bkk"},
		"unknown host":       {`"store-down"`, `"host-lost","name":"9"`, `"9"`},
	} {
		t.Run(name, func(t *testing.T) {
			e, err := Parse([]byte(strings.Replace(correct, c.old, c.new, 1)))
			if c.want == "" {
				assert.NilError(t, err)
				assert.Equal(t, e.Repeats, 1)
				return
			}
			assert.ErrorContains(t, err, c.want)
			assert.Equal(t, classifier.Of(err), classifier.Invalid)
		})
	}
}

// Guards against examples that no longer fit the deployments or the bound of 20 s.
func TestExamples(t *testing.T) {
	for _, d := range deployer.Deployments() {
		for _, x := range []string{"calm", "peak", "region-lost", "store-down", "drain", "cold-shift", "silent", "host-lost"} {
			t.Run(d+" "+x, func(t *testing.T) {
				e, err := Read(fmt.Sprintf("../../../examples/measure/%s-%s.json", d, x))
				assert.NilError(t, err)
				assert.Assert(t, e.Time() <= 20*time.Second)
			})
		}
	}
}

// Guards against a load that differs between the systems or between repeats.
func TestArrivals(t *testing.T) {
	e, err := Parse([]byte(correct))
	assert.NilError(t, err)
	first, second := arrivals(e), arrivals(e)
	e.Seed++
	other := arrivals(e)
	assert.Assert(t, len(first) > 400 && len(first) < 600, "%d", len(first))
	same := 0
	for i, a := range first {
		assert.Equal(t, a, second[i])
		assert.Assert(t, a.at >= 0 && a.at < e.Time() && (i == 0 || a.at >= first[i-1].at))
		if i < len(other) && other[i].at == a.at {
			same++
		}
	}
	assert.Equal(t, same, 0)
}

// Guards against a stall that hides the requests which arrive during it: they
// wait for room and still count from their intended times.
func TestOfferCountsFromIntended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := make([]arrival, maxOpen+1)
		for i := range all {
			all[i] = arrival{number: i}
		}
		r := newRecorder()
		offer(t.Context(), all, func(arrival) deployer.Answer {
			time.Sleep(time.Second)
			return deployer.Answer{Status: 200, Want: "d", Digest: "d"}
		}, r.record)
		s := r.times[""]
		assert.Equal(t, s.TotalCount(), int64(maxOpen+1))
		assert.Assert(t, s.ValueAtQuantile(50) < 1_010_000)
		assert.Assert(t, s.Max() >= 2_000_000, "%d µs", s.Max())
	})
}

// Guards against arrivals that wait for the answers of earlier ones.
func TestOfferIsOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := []arrival{{}, {at: time.Second, number: 1}, {at: 2 * time.Second, number: 2}}
		begin := time.Now()
		offer(t.Context(), all, func(arrival) time.Duration {
			sent := time.Since(begin)
			time.Sleep(time.Minute)
			return sent
		}, func(a arrival, sent, took time.Duration) {
			assert.Equal(t, sent, a.at)
			assert.Equal(t, took, time.Minute)
		})
	})
}

// Guards against a run that lasts as long as the timeout of a download, 40 min,
// because the caller's host is cut off.
func TestWaitIsBounded(t *testing.T) {
	assert.Equal(t, wait(2*time.Second), 3*time.Second)
	assert.Equal(t, wait(40*time.Minute), callTime)
}
