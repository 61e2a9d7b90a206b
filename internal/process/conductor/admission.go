package conductor

import (
	"strconv"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/admission/controller"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
)

// admissionLogInterval is the minimum time between two lines about one urgency of a service.
const admissionLogInterval = time.Second

// admissionLog writes changes of the admission of requests to the log. The zero value is ready to
// use.
type admissionLog struct {
	lines map[admissionKey]admissionLine
}

type admissionKey struct {
	service string
	urgency int
}

// admissionLine is the state in the last line about an urgency of a service.
type admissionLine struct {
	state   string
	written time.Time
}

// write logs the levels whose state differs from that in their last line.
func (l *admissionLog) write(log logger.Logger, services []controller.ServiceReport, now time.Time) {
	if l.lines == nil {
		l.lines = make(map[admissionKey]admissionLine)
	}
	for _, s := range services {
		for i := range s.Levels {
			level := &s.Levels[i]
			key := admissionKey{s.Service, level.Urgency}
			last, ok := l.lines[key]
			if !ok {
				last.state = controller.Open.String()
			}
			state := level.State().String()
			if state == last.state || now.Sub(last.written) < admissionLogInterval {
				continue
			}
			l.lines[key] = admissionLine{state, now}
			log.Event(logger.AdmissionChanged).Str("service", s.Service).Int("urgency", level.Urgency).Str("state", state).Float64("closure", level.Closure).
				Float64("pressure", level.Pressure).Int64("requests", level.Requests).Send()
		}
	}
}

// admissionLevels returns the state of the admission for the metrics, by service and urgency.
func (c *Conductor) admissionLevels() any {
	out := make(map[string]any)
	for _, s := range c.admission.Report(time.Now()) {
		for _, l := range s.Levels {
			out[s.Service+"/"+strconv.Itoa(l.Urgency)] = map[string]any{"closure": l.Closure, "pressure": l.Pressure, "requests": l.Requests}
		}
	}
	return out
}
