package faulter

import (
	"fmt"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

// bubble runs f in a bubble. Two collections afterwards empty the pools of
// libraries (yamux, http2), whose timers and channels belong to the bubble.
func bubble(t *testing.T, f func()) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { f() })
	runtime.GC()
	runtime.GC()
}

func TestEveryFaultAtEveryStep(t *testing.T) {
	c := &trial{name: "calm"}
	from := time.Now()
	bubble(t, func() {
		c.run()
		time.Sleep(time.Minute)
	})
	fmt.Fprintln(os.Stderr, time.Since(from), c.answered, c.breaches, c.missed)
}
