package conductor

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/follower"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/internal/process/throttler"
	"dandeliontrack.example/dandeliontrack/internal/process/watchdog"
	"dandeliontrack.example/dandeliontrack/internal/quota/limiter"
)

// source is a store whose calls return err.
type source struct{ err error }

func (s source) Read(context.Context, string) (follower.Page, error) {
	return follower.Page{Version: sequencer.New(0, 1)}, s.err
}

func (s source) Changes(context.Context, string, sequencer.Version) (follower.Page, error) {
	return follower.Page{Version: sequencer.New(0, 1)}, s.err
}

// discardWatcher is a follower.Watcher that ignores all calls.
type discardWatcher struct{}

func (discardWatcher) RowsChanged(string, []follower.Row, time.Duration, bool) {}
func (discardWatcher) StoreRestored(string, sequencer.Version, sequencer.Version, []string, []string) {
}
func (discardWatcher) StoreStatus(string, int, error) {}

// Guards against a host that waits forever after a pause because neither the store nor
// another host responds, and against one that continues before its state was confirmed.
func TestWaitAfterPauseIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		err   error
		least time.Duration
		most  time.Duration
	}{
		"store responds":        {nil, 0, 800 * time.Millisecond},
		"store fails, no peers": {errors.New("down"), maxConfirmWait, maxConfirmWait + 200*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				h := &Conductor{
					started: start, throttler: throttler.New("h", throttler.Limit{}, start), limiter: limiter.New("h", limiter.Settings{}, start),
					watchdog: watchdog.New(func() time.Duration { return time.Since(start) }),
				}
				f := follower.New("t", source{c.err}, 700*time.Millisecond, discardWatcher{})
				h.followers = map[string]*follower.Follower{"t": f}
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				time.Sleep(5 * time.Second) // without a heartbeat
				resumed := time.Now()
				go h.heartbeat(ctx)
				assert.Equal(t, h.Pauses(), uint64(1))
				h.AwaitConfirmed(ctx)
				took := time.Since(resumed)
				assert.Assert(t, took >= c.least && took <= c.most, "%v", took)
				time.Sleep(5 * time.Second)
				assert.Equal(t, h.Pauses(), uint64(1))
				assert.Assert(t, h.watchdog.Confirmed())
				cancel()
				synctest.Wait()
			})
		})
	}
}
