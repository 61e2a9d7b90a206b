package watchdog_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/watchdog"
)

// Guards against a request that is sent before a pause is detected, and against a pause
// that is counted twice or did not happen.
func TestPauseIsCountedOnce(t *testing.T) {
	now := time.Hour
	w := watchdog.New(func() time.Duration { return now })
	beat := func(after time.Duration) time.Duration {
		now += after
		length, pauses := w.Heartbeat()
		if length > 0 {
			w.Confirm(pauses)
		}
		return length
	}
	for range 50 {
		assert.Equal(t, beat(watchdog.HeartbeatPeriod), time.Duration(0))
	}
	assert.Equal(t, beat(600*time.Millisecond), time.Duration(0))
	assert.Equal(t, beat(5*time.Second), 5*time.Second)
	assert.Assert(t, w.Confirmed())

	// A request that runs before the first heartbeat detects the pause too.
	now += 3 * time.Second
	assert.Assert(t, !w.Confirmed())
	pauses := w.Pauses()
	now += 10 * time.Millisecond
	assert.Equal(t, w.Pauses(), pauses)
	assert.Equal(t, beat(10*time.Millisecond), 3*time.Second)
	assert.Assert(t, w.Confirmed())

	// A second pause before the first one was confirmed has to be confirmed as well.
	now += 2 * time.Second
	_, pauses = w.Heartbeat()
	now += 2 * time.Second
	assert.Assert(t, w.Pauses() > pauses)
	w.Confirm(pauses)
	assert.Assert(t, !w.Confirmed())
}

// Guards against a system clock that cannot be read.
func TestSystemClockIsRead(t *testing.T) {
	w := watchdog.New(nil)
	assert.Assert(t, w.Confirmed())
	length, _ := w.Heartbeat()
	assert.Equal(t, length, time.Duration(0))
}
