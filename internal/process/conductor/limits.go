package conductor

import (
	"net"
	"syscall"
	"time"
)

const (
	// upstreamPeriod is the least time between two reads of the registrations.
	// Upstreams write about every 1.5 s, so a longer wait for changes would
	// return at once.
	upstreamPeriod = 700 * time.Millisecond
	tickPeriod     = 250 * time.Millisecond
	// viewPeriod is the longest time that a forgotten member stays in the view. It
	// only makes the parts of the other hosts smaller.
	viewPeriod = 5 * time.Second
	// milli is the unit in which hosts tell each other their power.
	milli = 1000
	// exchangePeriod is the mean time between two exchanges with other hosts. In
	// a fleet of n hosts news takes about log2(n) of them to reach all.
	exchangePeriod = 200 * time.Millisecond
	exchangeWithin = 600 * time.Millisecond
	// wholeWithin bounds an exchange that may bring a whole table: 1 MB, for 3,000
	// upstreams, takes 0.8 s on the weakest link (10 Mbit/s).
	wholeWithin    = 2 * time.Second
	announcePeriod = 15 * time.Second
	announceWithin = 3 * time.Second
	leaveWithin    = 400 * time.Millisecond
	// tellMost bounds the hosts that a leaving host tells itself; they pass it on.
	tellMost = 16

	// namedLeast is the least number of hosts that a look-up names, if there are so
	// many: losing two of them at once leaves one.
	namedLeast = 3
	// weakness is how many times weaker than the strongest a host must be to be
	// left out of look-ups.
	weakness = 2

	// openWithin bounds the time for a connection to an upstream. It is several
	// times the longest way there and back (110 ms).
	openWithin = 450 * time.Millisecond
	// idleWithin is how long a connection to an upstream is kept idle.
	idleWithin = 8 * time.Second
	// upstreamSilence is how long sent bytes may stay without acknowledgement
	// before a connection to an upstream is given up.
	upstreamSilence = 1500 * time.Millisecond
	peerSilence     = 1500 * time.Millisecond
	headerWithin    = 2 * time.Second
	sideIdle        = 30 * time.Second

	// bodyShare is the part of the process's memory that the bodies of requests and
	// answers may take: 55 MB of 184 MB, which is 55 of the longest at once. Buffers
	// double as they grow, so twice that may be in use.
	bodyShare = 0.3

	// confirmWithin bounds the time that requests wait after the process was paused.
	// The store answers within tens of milliseconds, and another host is asked every
	// 0.2 s; callers have waited for the whole pause already.
	confirmWithin = time.Second
	confirmPeriod = 5 * time.Millisecond

	// aloneTime is how long a host that knows no other leaves reading to others. A seed
	// is tried every 0.5 s until the first one answers.
	aloneTime = 1500 * time.Millisecond

	// shiftPart is the part of the allowed shift between regions that plans use.
	// The rest is left to callers that move and to objects that differ in rate.
	shiftPart = 0.5

	// stopLinger is the part of the time until a process is killed in which it
	// still serves callers with a cached look-up. The rest is for requests in
	// flight.
	stopLinger = 0.5
	// toldWithin is how long it takes until no look-up names a host that stops: it tells
	// 16 others at once, and the rest hear of it by exchanges.
	toldWithin = time.Second
	// stopMargin is the time that is left to tell the other hosts and to end the
	// process, which takes some 0.1 s on a slow host.
	stopMargin = leaveWithin + 200*time.Millisecond

	// spreadPart is the part of a service's target that the way to the farthest
	// region and back may take if objects are spread over all regions.
	spreadPart = 0.2
)

// Prefixes of the names of plans.
const (
	localPlan  = "local "
	spreadPlan = "spread "
)

// userTimeout is TCP_USER_TIMEOUT of Linux, which package syscall does not name.
const userTimeout = 0x12

// dialer returns a Dialer whose connections fail after sent bytes stay without
// acknowledgement for the given time. A host behind a partition does not answer
// otherwise, and neither does a connection whose path forgot it.
func dialer(silence time.Duration) *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silence, Interval: silence, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(silence.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}
