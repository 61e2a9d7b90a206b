package conductor

import (
	"net"
	"syscall"
	"time"
)

const (
	// minUpstreamReadInterval is the minimum interval between two reads of the table of
	// upstreams. Each upstream writes about every 1.5 s, so a call that waits for the
	// next change returns at once and does not limit the rate of calls itself.
	minUpstreamReadInterval = 700 * time.Millisecond
	// maxConfigurationAge is the age from which a copy of the configuration may lack new keys.
	// It is below the bound of the platform for a configuration to be in force (2 s): a key that
	// is older than the bound must not get 401. A feed without changes confirms the copy once
	// per second and a sync between hosts takes up to 0.6 s.
	maxConfigurationAge = 1700 * time.Millisecond
	tickInterval        = 250 * time.Millisecond
	// maxViewAge bounds how long a member that was removed from the membership stays in
	// the view. Until then it only makes the shares of the other hosts in limits that hold
	// over all hosts smaller.
	maxViewAge = 5 * time.Second
	// powerUnitsPerCPU converts a share of a processor to framer.Member.Power, which is
	// in thousandths of a processor.
	powerUnitsPerCPU = 1000
	// meanSyncInterval is the mean interval between two syncs with other hosts. In a
	// fleet of n hosts a change takes about log2(n) intervals to reach all of them.
	meanSyncInterval = 200 * time.Millisecond
	syncTimeout      = 600 * time.Millisecond
	// fullSyncTimeout bounds a sync that may transfer a full table: 1 MB, for 3,000
	// upstreams, takes 0.8 s on the slowest supported link (10 Mbit/s).
	fullSyncTimeout = 2 * time.Second
	// maxRateLimitNews and maxRateLimitsConfirmed bound the rate limits of upstreams in a
	// message to another host. With ten messages per second and 35 bytes for a limit, that
	// is 34 KB/s while there is much news, and otherwise 4 KB/s.
	maxRateLimitNews       = 96
	maxRateLimitsConfirmed = 12
	announceInterval       = 15 * time.Second
	announceTimeout        = 3 * time.Second
	leaveTimeout           = 400 * time.Millisecond
	// maxLeaveNotifications bounds the number of hosts that a leaving host notifies
	// directly. Those spread the change to the others.
	maxLeaveNotifications = 16

	// minLookupHosts is the minimum number of hosts in a lookup response, as far as there
	// are that many. With three, the caller still has one after two fail at once.
	minLookupHosts = 3
	// maxPowerRatio bounds the ratio of the power of the strongest host to that of any
	// other host in a lookup response.
	maxPowerRatio = 2

	// upstreamDialTimeout bounds the time to open a connection to an upstream. It is
	// several times the longest RTT (110 ms).
	upstreamDialTimeout = 450 * time.Millisecond
	// upstreamIdleTimeout bounds how long an unused connection to an upstream stays open.
	upstreamIdleTimeout = 8 * time.Second
	// upstreamAckTimeout and peerAckTimeout bound how long sent bytes may stay
	// unacknowledged before the connection fails.
	upstreamAckTimeout = 1500 * time.Millisecond
	peerAckTimeout     = 1500 * time.Millisecond

	// Timeouts of the servers for readiness checks, lookups and metrics.
	auxiliaryHeaderTimeout = 2 * time.Second
	auxiliaryIdleTimeout   = 30 * time.Second

	// bodyMemoryFraction is the fraction of the memory limit that request and response
	// bodies may use: 55 MB of 184 MB, which holds 55 responses of the maximum size.
	bodyMemoryFraction = 0.3

	// upstreamReceiveBytes is the size of the receive buffer of a connection to an upstream.
	// Without a bound the kernel grows it to several MB, and fills it while a caller doesn't
	// read. The kernel doubles the size for its own data, so that as many bytes of a response
	// fit. Those of 120 kB, the usual size of a download, don't wait for a round trip.
	upstreamReceiveBytes = 128 << 10
	// callerReceiveBytes is the size of the receive buffer of a connection of a caller. Received
	// bytes count toward the memory of the machine, and a host that is short of processor time
	// leaves them unread. Without a bound the kernel grows the buffer to up to 32 MB.
	callerReceiveBytes = 256 << 10
	// streamMemoryFraction is the fraction of the memory limit that responses may use that are
	// passed on as they arrive: the receive buffers of their connections, and a copy buffer.
	streamMemoryFraction = 0.2

	// maxConfirmWait bounds how long requests wait for fresh state after a pause of the
	// process. The store responds within tens of milliseconds and a sync with another host
	// starts every 0.2 s. Callers have already waited for the pause itself.
	maxConfirmWait      = time.Second
	confirmPollInterval = 5 * time.Millisecond

	// minSoloReaderDelay is the time after the start during which a host without live
	// peers does not become a reader of the store. Until a first seed responds, one is
	// tried every 0.5 s.
	minSoloReaderDelay = 1500 * time.Millisecond

	// planShiftFraction is the fraction of MaxShift that traffic plans use. The rest is
	// left to callers that move between hosts and to objects with different request rates.
	planShiftFraction = 0.5

	// stopAcceptFraction is the fraction of the stop grace period during which a stopping
	// host accepts requests of callers with a cached lookup. The rest is for requests in
	// flight.
	stopAcceptFraction = 0.5
	// lookupRemovalTime bounds the time until lookups no longer return a stopping host: it
	// notifies 16 hosts directly, and the others learn of it by syncs.
	lookupRemovalTime = time.Second
	// stopExitMargin is the part of the stop grace period that is reserved for leaving the
	// membership and ending the process; the latter takes about 0.1 s on a slow host.
	stopExitMargin = leaveTimeout + 200*time.Millisecond

	// maxLoggedRequests bounds the requests that are listed when a process ends with
	// requests in flight.
	maxLoggedRequests = 64

	// maxSpreadRTTFraction bounds the RTT to the farthest region, as a fraction of the
	// latency target of a service, up to which its objects are spread over all regions.
	maxSpreadRTTFraction = 0.2
)

// Prefixes of the names of traffic plans; the service name follows. The local plan keeps
// requests in the region of their callers as far as its slots suffice. The spread plan
// distributes them over all regions by slots while spreadsObjects is true, and follows the
// weights of the local plan otherwise.
const (
	localPlanPrefix  = "local "
	spreadPlanPrefix = "spread "
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall does
// not define.
const tcpUserTimeout = 0x12

// newDialer returns a Dialer whose connections fail once sent bytes stay unacknowledged
// for ackTimeout. Without it a connection across a network partition, or one whose
// state a middlebox dropped, would hang. receiveBytes is the size of their receive buffers, 0
// for the default.
func newDialer(ackTimeout time.Duration, receiveBytes int) *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: ackTimeout, Interval: ackTimeout, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			err := setSocketOption(raw, syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
			if err == nil && receiveBytes > 0 {
				err = setReceiveBuffer(raw, receiveBytes)
			}
			return err
		},
	}
}

func setReceiveBuffer(raw syscall.RawConn, bytes int) error {
	return setSocketOption(raw, syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
}

func setSocketOption(raw syscall.RawConn, level, option, value int) error {
	var failure error
	err := raw.Control(func(fd uintptr) { failure = syscall.SetsockoptInt(int(fd), level, option, value) })
	if err != nil {
		return err
	}
	return failure
}
