package worker

import (
	"time"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// maxSlots bounds slots and queue.
const maxSlots = 1 << 20

// Check reports the first setting that is wrong, as an error of kind Invalid
// that names the field and the remedy.
func (s *Settings) Check() error {
	if s.Name == "" {
		return classifier.Invalid.New("field \"name\" is empty: name the upstream")
	}
	if s.Slots < 1 || s.Slots > maxSlots {
		return s.invalid("slots", s.Slots, "use 1 to 1048576")
	}
	if s.Queue < 0 || s.Queue > maxSlots {
		return s.invalid("queue", s.Queue, "use 0 to 1048576")
	}
	if s.Time < 0 {
		return s.invalid("time", time.Duration(s.Time), "use a duration from 0, such as \"8ms\"")
	}
	// The comparisons are written so that NaN fails them.
	if !(s.Jitter >= 0 && s.Jitter <= 1) {
		return s.invalid("jitter", s.Jitter, "use a fraction from 0 to 1")
	}
	if s.Size < 0 || s.Size > maxSize {
		return s.invalid("size", s.Size, "use 0 to 268435456 bytes")
	}
	if s.Rate < 0 {
		return s.invalid("rate", s.Rate, "use bytes per second above 0, or leave it out for no limit")
	}
	if err := s.checkCold(); err != nil {
		return err
	}
	return s.checkFaults()
}

func (s *Settings) checkCold() error {
	c := s.Cold
	if c.Requests < 0 {
		return s.invalid("cold.requests", c.Requests, "use a number from 0")
	}
	if c.For < 0 {
		return s.invalid("cold.for", time.Duration(c.For), "use a duration from 0")
	}
	if c != (Cold{}) && !(c.Factor >= 1) {
		return s.invalid("cold.factor", c.Factor, "use a factor from 1, by which a cold start is slower")
	}
	return nil
}

func (s *Settings) checkFaults() error {
	f := s.Faults
	if !(f.Slow >= 0) {
		return s.invalid("faults.slow", f.Slow, "use a factor above 0, or leave it out")
	}
	for _, n := range []struct {
		field string
		value int64
	}{
		{"short", f.Short}, {"closerequest", f.CloseRequest}, {"late", int64(f.Late)}, {"lag", int64(f.Lag)},
	} {
		if n.value < 0 {
			return s.invalid("faults."+n.field, n.value, "use a value from 0")
		}
	}
	return nil
}

func (s *Settings) invalid(field string, value any, remedy string) error {
	return classifier.Invalid.New("upstream %q: field %q is %v: %s", s.Name, field, value, remedy)
}
