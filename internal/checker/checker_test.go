package checker_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/checker"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func weights(s, share float64) checker.Weights {
	return checker.Weights{
		At: at(s), Host: "h1", Service: "catalog", Fraction: 0.1, Every: 10 * time.Second,
		Shares: map[string]float64{"bkk": share, "cnx": 1 - share},
	}
}

// calm feeds a run in which every promise is kept with nothing to spare.
func calm(c *checker.Checker) {
	c.Started(at(0), "h1")
	c.Started(at(0), "h2")
	c.Accepted(at(1), 1, "aa")
	c.InForce(checker.InForce{At: at(2), Host: "h1", Version: 1, Chain: "aa"})
	c.InForce(checker.InForce{At: at(13), Host: "h2", Version: 1, Chain: "aa"})
	for i := range 30 {
		c.Weights(weights(float64(i), 0.9-float64(i)*0.01))
	}
	c.Flight(checker.Flight{At: at(3), Kind: "upstream", Name: "u1", Count: 9, Limit: 9})
	c.Window(checker.Window{At: at(3), Length: time.Second, From: "bkk", To: "cnx", Bytes: 500, Rate: 500})
	c.Sent(checker.Sent{At: at(4), ID: "r1", Service: "catalog"})
	c.Ran(checker.Ran{At: at(4), Upstream: "u1", ID: "r1"})
	c.Ran(checker.Ran{At: at(4), Upstream: "u2", ID: "r1"})
	c.Answered(checker.Answered{At: at(4), ID: "r1", Status: 200, Outcome: "ran", Echo: "r1", Digest: "d", Want: "d"})
	c.Sent(checker.Sent{At: at(5), ID: "r2", Service: "desk", Key: "k", Once: true})
	c.Answered(checker.Answered{At: at(5), ID: "r2", Status: 503, Outcome: "not-run", Echo: "r2"})
	c.Sent(checker.Sent{At: at(6), ID: "r3", Service: "desk", Key: "k", Once: true})
	c.Ran(checker.Ran{At: at(6), Upstream: "u3", ID: "r3", Key: "k"})
	c.Answered(checker.Answered{At: at(6), ID: "r3", Status: 200, Outcome: "ran", Echo: "r3", Digest: "part", Want: "d", Broken: true})
	c.Draining(at(7), "u1")
	c.Sent(checker.Sent{At: at(7), ID: "r4", Service: "catalog"})
	c.Ran(checker.Ran{At: at(10), Upstream: "u1", ID: "r4"})
	c.Answered(checker.Answered{At: at(11), ID: "r4", Broken: true})
	c.CutOff(at(12), "h1", true)
	c.CutOff(at(12), "h2", false, "r9")
}

// Guards against a checker that reports what is allowed.
func TestCalm(t *testing.T) {
	c := checker.New(checker.DefaultBounds)
	calm(c)
	c.Finish(at(40))
	assert.Equal(t, len(c.Breaches()), 0, "%v", c.Breaches())
}

type plant struct {
	promise  checker.Promise
	evidence string
	plant    func(*checker.Checker)
}

var plantedTraffic = map[string]plant{
	"shift at once":                  {checker.Cap, "catalog", func(c *checker.Checker) { c.Weights(weights(30, 0.5)) }},
	"shift between two far readings": {checker.Cap, "h1", func(c *checker.Checker) { c.Weights(weights(49, 0.4)) }},
	"shift there and back": {checker.Cap, "h1", func(c *checker.Checker) {
		c.Weights(weights(50, 0.66))
		c.Weights(weights(70, 0.72))
		c.Weights(weights(72, 0.78))
		c.Weights(weights(73, 0.73))
	}},
	"upstream overloaded": {checker.Overload, "u1", func(c *checker.Checker) {
		c.Flight(checker.Flight{At: at(14), Kind: "upstream", Name: "u1", Count: 10, Limit: 9})
	}},
	"region overloaded": {checker.Overload, "region bkk", func(c *checker.Checker) {
		c.Flight(checker.Flight{At: at(14), Kind: "region", Name: "bkk", Count: 82, Limit: 81})
	}},
	"link overloaded": {checker.Overload, "bkk/cnx", func(c *checker.Checker) {
		c.Window(checker.Window{At: at(14), Length: 100 * time.Millisecond, From: "bkk", To: "cnx", Bytes: 51, Rate: 500})
	}},
	"crossed answer": {checker.Complete, "other", func(c *checker.Checker) {
		c.Sent(checker.Sent{At: at(14), ID: "p"})
		c.Answered(checker.Answered{At: at(14), ID: "p", Status: 200, Echo: "other"})
	}},
	"short answer": {checker.Complete, "half", func(c *checker.Checker) {
		c.Sent(checker.Sent{At: at(14), ID: "p"})
		c.Answered(checker.Answered{At: at(14), ID: "p", Status: 200, Echo: "p", Digest: "half", Want: "whole"})
	}},
	"second answer": {checker.Complete, "r1", func(c *checker.Checker) {
		c.Answered(checker.Answered{At: at(14), ID: "r1", Status: 200, Echo: "r1"})
	}},
	"no answer": {checker.Complete, "never answered", func(c *checker.Checker) {
		c.Sent(checker.Sent{At: at(14), ID: "p"})
	}},
	"id used twice": {checker.Complete, "r1", func(c *checker.Checker) {
		c.Sent(checker.Sent{At: at(14), ID: "r1"})
	}},
}

var plantedRuns = map[string]plant{
	"ran before the refusal": {checker.NotRun, "u3", func(c *checker.Checker) {
		c.Sent(checker.Sent{At: at(14), ID: "p"})
		c.Ran(checker.Ran{At: at(14), Upstream: "u3", ID: "p"})
		c.Answered(checker.Answered{At: at(14), ID: "p", Status: 503, Outcome: "not-run", Echo: "p"})
	}},
	"ran after the refusal": {checker.NotRun, "u3", func(c *checker.Checker) {
		c.Sent(checker.Sent{At: at(14), ID: "p"})
		c.Answered(checker.Answered{At: at(14), ID: "p", Status: 503, Outcome: "not-run", Echo: "p"})
		c.Ran(checker.Ran{At: at(15), Upstream: "u3", ID: "p"})
	}},
	"key ran twice": {checker.Once, "desk//k", func(c *checker.Checker) {
		c.Sent(checker.Sent{At: at(14), ID: "p", Service: "desk", Key: "k", Once: true})
		c.Ran(checker.Ran{At: at(14), Upstream: "u4", ID: "p", Key: "k"})
		c.Answered(checker.Answered{At: at(14), ID: "p", Status: 200, Echo: "p"})
	}},
	"request without a key ran twice": {checker.Once, "u4", func(c *checker.Checker) {
		c.Sent(checker.Sent{At: at(14), ID: "p", Service: "desk", Once: true})
		c.Ran(checker.Ran{At: at(14), Upstream: "u3", ID: "p"})
		c.Ran(checker.Ran{At: at(14), Upstream: "u4", ID: "p"})
		c.Answered(checker.Answered{At: at(14), ID: "p", Status: 200, Echo: "p"})
	}},
	"work after leaving": {checker.Leaving, "u1", func(c *checker.Checker) {
		c.Ran(checker.Ran{At: at(10.1), Upstream: "u1", ID: "r1"})
	}},
	"cut off": {checker.Graceful, "r8", func(c *checker.Checker) { c.CutOff(at(14), "h1", true, "r8") }},
	"version falls": {checker.Effective, "fell", func(c *checker.Checker) {
		c.InForce(checker.InForce{At: at(14), Host: "h1", Version: 0})
	}},
	"fork": {checker.Effective, "bb", func(c *checker.Checker) {
		c.InForce(checker.InForce{At: at(14), Host: "h1", Version: 1, Chain: "bb"})
	}},
	"two acceptances": {checker.Effective, "bb", func(c *checker.Checker) { c.Accepted(at(14), 1, "bb") }},
	"late version": {checker.Effective, "h2", func(c *checker.Checker) {
		c.Accepted(at(14), 2, "cc")
		c.InForce(checker.InForce{At: at(15), Host: "h1", Version: 2, Chain: "cc"})
		c.InForce(checker.InForce{At: at(26.1), Host: "h2", Version: 2, Chain: "cc"})
	}},
	"new host without a version": {checker.Effective, "h3", func(c *checker.Checker) { c.Started(at(14), "h3") }},
}

// Guards against a checker that misses a breach: each is planted once in a run
// that is calm otherwise, and has to be reported once, with its evidence.
func TestPlanted(t *testing.T) {
	for _, table := range []map[string]plant{plantedTraffic, plantedRuns} {
		for name, c := range table {
			t.Run(name, func(t *testing.T) { checkPlanted(t, c) })
		}
	}
}

func checkPlanted(t *testing.T, c plant) {
	k := checker.New(checker.DefaultBounds)
	calm(k)
	c.plant(k)
	k.Finish(at(100))
	got := k.Breaches()
	assert.Equal(t, len(got), 1, "%v", got)
	assert.Equal(t, got[0].Promise, c.promise)
	assert.Assert(t, strings.Contains(got[0].Evidence, c.evidence), got[0].Evidence)
}
