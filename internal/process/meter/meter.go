// Package meter counts what a host does and keeps latency histograms for each
// service, class and client account. Counters are expvar variables; docs/metrics.md
// lists them, and a test compares the two.
package meter

import (
	"encoding/json"
	"expvar"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Counter names a counter.
type Counter string

// The counters. Each counts events since the process started.
const (
	Requests                Counter = "requests"
	Refusals                Counter = "refusals"
	Retries                 Counter = "retries"
	Hedges                  Counter = "hedges"
	Resumes                 Counter = "resumes"
	Replays                 Counter = "replays"
	ResponseMismatches      Counter = "crossings"
	UnresponsiveConnections Counter = "silences"
	Dials                   Counter = "dials"
	Installs                Counter = "installs"
	StoreReads              Counter = "store_reads"
	StoreWrites             Counter = "store_writes"
	StoreErrors             Counter = "store_errors"
	Loans                   Counter = "loans"
	PeerMessages            Counter = "peer_messages"
	PeerBytes               Counter = "peer_bytes"
	UpstreamBytes           Counter = "upstream_bytes"
	AbortedAnswers          Counter = "aborted_answers"
	BodyBytes               Counter = "body_bytes"
	Panics                  Counter = "panics"
)

var meanings = map[Counter]string{
	Requests:                "requests from callers",
	Refusals:                "requests answered with an error kind of ours, by kind",
	Retries:                 "second and later attempts after one that did not run or is repeatable",
	Hedges:                  "second attempts sent while the first one was running",
	Resumes:                 "downloads continued at another upstream",
	Replays:                 "stored outcomes given again to a repeat of an idempotency key",
	ResponseMismatches:      "answers dropped because they belong to another request",
	UnresponsiveConnections: "connections closed because they had gone silent",
	Dials:                   "connections opened to upstreams",
	Installs:                "configuration versions put in force",
	StoreReads:              "reads sent to the platform's store",
	StoreWrites:             "writes sent to the platform's store",
	StoreErrors:             "store operations that failed",
	Loans:                   "loans of limit units taken from peers",
	PeerMessages:            "messages sent to peers",
	PeerBytes:               "bytes sent to peers",
	UpstreamBytes:           "body bytes read from upstreams",
	AbortedAnswers:          "answers broken off because they could not be completed",
	BodyBytes:               "bytes of requests and answers that are held now",
	Panics:                  "panics recovered; the work failed and the process went on",
}

// Counters returns all counters by name.
func Counters() []Counter {
	all := make([]Counter, 0, len(meanings))
	for c := range meanings {
		all = append(all, c)
	}
	slices.Sort(all)
	return all
}

// Meaning returns the entry of the catalogue.
func (c Counter) Meaning() string { return meanings[c] }

const (
	shards = 8
	// maxLatency is the largest latency that is told apart, in microseconds.
	maxLatency = int64(time.Hour / time.Microsecond)
	digits     = 2
)

// Series names one histogram.
type Series struct {
	Service       string
	Class         string
	ClientAccount string
}

// Meter holds the counters and histograms of one host.
type Meter struct {
	vars   *expvar.Map
	kinds  *expvar.Map
	counts map[Counter]*expvar.Int
	shards [shards]shard
	drains drains
}

type shard struct {
	mu     sync.Mutex
	series map[Series]*hdrhistogram.Histogram
}

type drains struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// New returns a Meter that is not published globally, so that a process can
// hold several hosts.
func New() *Meter {
	m := &Meter{vars: new(expvar.Map).Init(), kinds: new(expvar.Map).Init(), counts: make(map[Counter]*expvar.Int)}
	for c := range meanings {
		if c == Refusals {
			continue
		}
		m.counts[c] = new(expvar.Int)
		m.vars.Set(string(c), m.counts[c])
	}
	m.vars.Set(string(Refusals), m.kinds)
	for i := range m.shards {
		m.shards[i].series = make(map[Series]*hdrhistogram.Histogram)
	}
	m.drains.h = newHistogram()
	m.vars.Set("latency", expvar.Func(func() any { return m.latencies() }))
	m.vars.Set("drain", expvar.Func(func() any { return m.drainSummary() }))
	return m
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, digits) }

// Add adds to a counter. Refusals are counted by Refuse.
func (m *Meter) Add(c Counter, delta int64) {
	if v := m.counts[c]; v != nil {
		v.Add(delta)
	}
}

// SetFunc makes a counter show what f returns, for what is counted elsewhere.
func (m *Meter) SetFunc(c Counter, f func() int64) {
	m.vars.Set(string(c), expvar.Func(func() any { return f() }))
}

// CountRefusal counts a refusal of the kind with this name.
func (m *Meter) CountRefusal(kind string) { m.kinds.Add(kind, 1) }

// ObserveLatency records the latency of a request, up to the end of its answer.
func (m *Meter) ObserveLatency(s Series, latency time.Duration) {
	sh := &m.shards[rand.IntN(shards)]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	h := sh.series[s]
	if h == nil {
		h = newHistogram()
		sh.series[s] = h
	}
	// The value is clamped, so it can't be out of range.
	_ = h.RecordValue(min(max(latency.Microseconds(), 1), maxLatency))
}

// ObserveDrain records how long a drain took, from its begin until nothing was
// in flight.
func (m *Meter) ObserveDrain(d time.Duration) {
	m.drains.mu.Lock()
	defer m.drains.mu.Unlock()
	_ = m.drains.h.RecordValue(min(max(d.Microseconds(), 1), maxLatency))
}

// Summary describes a histogram. Durations are in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

func summarize(h *hdrhistogram.Histogram) Summary {
	return Summary{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
		P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}

// Latency returns the histogram of a series, merged over the shards.
func (m *Meter) Latency(s Series) *hdrhistogram.Histogram {
	sum := newHistogram()
	for i := range m.shards {
		sh := &m.shards[i]
		sh.mu.Lock()
		if h := sh.series[s]; h != nil {
			sum.Merge(h)
		}
		sh.mu.Unlock()
	}
	return sum
}

func (m *Meter) latencies() map[string]Summary {
	names := make(map[Series]bool)
	for i := range m.shards {
		sh := &m.shards[i]
		sh.mu.Lock()
		for s := range sh.series {
			names[s] = true
		}
		sh.mu.Unlock()
	}
	out := make(map[string]Summary, len(names))
	for s := range names {
		out[fmt.Sprintf("%s/%s/%s", s.Service, s.Class, s.ClientAccount)] = summarize(m.Latency(s))
	}
	return out
}

func (m *Meter) drainSummary() Summary {
	m.drains.mu.Lock()
	defer m.drains.mu.Unlock()
	return summarize(m.drains.h)
}

// ServeHTTP writes the variables as expvar does, with those that the process
// publishes globally.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	all := make(map[string]json.RawMessage)
	collect := func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) }
	expvar.Do(collect)
	m.vars.Do(collect)
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	// An error here means that the reader is gone.
	_ = json.NewEncoder(w).Encode(all)
}
