package pulser_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/pulser"
)

// Guards against a pause that nobody notices before a request is sent, and against
// one that is noticed twice or where there was none.
func TestPauses(t *testing.T) {
	now := time.Hour
	p := pulser.New(func() time.Duration { return now })
	beat := func(after time.Duration) time.Duration {
		now += after
		stood, epoch := p.Beat()
		if stood > 0 {
			p.Confirm(epoch)
		}
		return stood
	}
	for range 50 {
		assert.Equal(t, beat(pulser.Period), time.Duration(0))
	}
	assert.Equal(t, beat(600*time.Millisecond), time.Duration(0))
	assert.Equal(t, beat(5*time.Second), 5*time.Second)
	assert.Assert(t, p.Fresh())

	// A request that runs before the first beat notices the pause as well.
	now += 3 * time.Second
	assert.Assert(t, !p.Fresh())
	epoch := p.Epoch()
	now += 10 * time.Millisecond
	assert.Equal(t, p.Epoch(), epoch)
	assert.Equal(t, beat(10*time.Millisecond), 3*time.Second)
	assert.Assert(t, p.Fresh())

	// A second pause before the first one was confirmed has to be confirmed too.
	now += 2 * time.Second
	_, epoch = p.Beat()
	now += 2 * time.Second
	assert.Assert(t, p.Epoch() > epoch)
	p.Confirm(epoch)
	assert.Assert(t, !p.Fresh())
}

// Guards against a system clock that is not read.
func TestSystemClock(t *testing.T) {
	p := pulser.New(nil)
	assert.Assert(t, p.Fresh())
	stood, _ := p.Beat()
	assert.Equal(t, stood, time.Duration(0))
}
