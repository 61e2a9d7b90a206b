package steerer

import (
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/meter"
)

// recordLoad records the load that the upstream reports.
func (a *attempt) recordLoad(now time.Time) {
	l, m := a.metadata.Load, a.x.s.options.Meter
	a.upstream.ReportLoad(l, now)
	switch {
	case l.Slowness() > 0:
		m.Add(meter.SpeedReports, 1)
	case l.SlownessPercent != 0:
		m.Add(meter.InvalidSpeedReports, 1)
	}
}

// slowness returns the time that the work took as a multiple of the usual, as far as the
// upstream reports it: the mean of what was expected and what the response says.
func (a *attempt) slowness() float64 {
	if reported := a.metadata.Load.Slowness(); reported > 0 {
		return (a.choice.Slowness + reported) / 2
	}
	return a.choice.Slowness
}

// timeRatio returns the ratio of the elapsed time to the one that was to be expected at the
// speed of the upstream.
func (a *attempt) timeRatio() float64 {
	expected := a.x.s.options.Ranker.ExpectedTime(&a.choice, a.slowness())
	return float64(a.elapsed) / float64(max(expected, time.Millisecond))
}
