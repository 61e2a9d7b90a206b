package faulter

import (
	"fmt"
	"slices"
	"strings"
)

// Test names a test function in a package of this module.
type Test struct {
	Package string
	Name    string
}

// Cell says what is known of one fault at one step. Exactly one of its fields
// is set.
type Cell struct {
	// Tests cause the fault at the step.
	Tests []Test
	// Never says in one sentence why the fault cannot occur at the step.
	Never string
	// Red is the test in KNOWN-RED.txt that shows an open fault.
	Red string
}

// whole is the test that causes a fault at a step in a fleet of whole hosts.
var whole = Test{"internal/standin/faulter", "TestEveryFaultAtEveryStep"}

// These tests cause faults at parts of a host.
var (
	allotterHolds   = Test{"internal/process/allotter", "TestLimitsHold"}
	allotterWorst   = Test{"internal/process/allotter", "TestWorstCases"}
	admitterRights  = Test{"internal/request/admitter", "TestTryRespectsRights"}
	claimerOnce     = Test{"internal/process/claimer", "TestAtMostOnceUnderFaults"}
	claimerOutage   = Test{"internal/process/claimer", "TestOutcomeSurvivesOutage"}
	claimerFreed    = Test{"internal/process/claimer", "TestUnusedClaimIsFreed"}
	publisherFaults = Test{"internal/process/publisher", "TestEveryStepAndFault"}
	shifterCap      = Test{"internal/process/shifter", "TestCapHoldsUnderFaults"}
	spreaderRandom  = Test{"internal/process/spreader", "TestRandomSchedulesConverge"}
	spreaderNoStore = Test{"internal/process/spreader", "TestSpreadWithoutStore"}
	spreaderNewHost = Test{"internal/process/spreader", "TestNewHostWithoutStore"}
	routerFaults    = Test{"internal/standin/naive", "TestFaults"}
	routerLoads     = Test{"internal/standin/naive", "TestMisleadingLoads"}
	routerRegion    = Test{"internal/request/router", "TestRegionOfRequest"}
	routerPassed    = Test{"internal/request/router", "TestUpstreamsPassedOver"}
	gaugerAges      = Test{"internal/process/gauger", "TestAges"}
	gaugerLeaving   = Test{"internal/process/gauger", "TestHealthHysteresis"}
	gaugerWarm      = Test{"internal/process/gauger", "TestWarmRamp"}
	gaugerRegion    = Test{"internal/process/gauger", "TestRegionWithoutMeasurementsIsNotFailed"}
	forwarderShed   = Test{"internal/request/forwarder", "TestShedRequestIsNotRetried"}
	forwarderOnce   = Test{"internal/request/forwarder", "TestAtMostOnceRequestRunsOnce"}
	forwarderCross  = Test{"internal/request/forwarder", "TestMismatchedResponseIsNotDelivered"}
	forwarderShort  = Test{"internal/request/forwarder", "TestTruncatedResponseIsNotComplete"}
	forwarderLate   = Test{"internal/request/forwarder", "TestLateResponseIsDiscarded"}
	forwarderSilent = Test{"internal/request/forwarder", "TestUnresponsiveConnectionOrSlowUpstream"}
	poolSilent      = Test{"internal/connection/pool", "TestSilentConnection"}
	poolDead        = Test{"internal/connection/pool", "TestDeadIsNotSilent"}
	detectorPaused  = Test{"internal/process/detector", "TestPausedHostKeepsOthersAlive"}
	detectorSplit   = Test{"internal/process/detector", "TestMembersMergeAfterPartition"}
)

// extra are tests besides the fleet's.
var extra = map[Fault]map[Step][]Test{
	MeasurementsStop:    {RegionChoice: {gaugerRegion}, UpstreamChoice: {gaugerAges, routerLoads}},
	MeasurementsLag:     {UpstreamChoice: {routerLoads}, Drain: {gaugerLeaving}},
	MeasurementsMislead: {UpstreamChoice: {routerLoads, routerFaults}},
	ProcessDies: {
		Claim: {claimerOnce}, Dispatch: {claimerOnce}, AnswerRecording: {claimerOnce}, Publication: {publisherFaults},
		Spreading: {spreaderRandom}, Shift: {shifterCap}, Admission: {allotterHolds},
	},
	ProcessPauses:     {Admission: {allotterHolds}, Shift: {shifterCap}, Spreading: {detectorPaused}},
	RegionFails:       {RegionChoice: {routerRegion, routerFaults}, Shift: {shifterCap}},
	ZoneFails:         {Dispatch: {poolDead}},
	StoreDown:         {Claim: {claimerOnce, claimerFreed}, AnswerRecording: {claimerOutage}, Publication: {publisherFaults}, Spreading: {spreaderNoStore, spreaderRandom}, Start: {spreaderNewHost, allotterWorst}, Admission: {allotterHolds}},
	StoreSlow:         {Claim: {claimerOnce}, Publication: {publisherFaults}, Admission: {allotterHolds}},
	StoreAnswerLost:   {Claim: {claimerOnce, claimerFreed}, AnswerRecording: {claimerOnce}, Publication: {publisherFaults}, Admission: {allotterHolds}},
	TwoOperators:      {Publication: {publisherFaults}},
	ConnectionsSilent: {Dispatch: {poolSilent, forwarderSilent}},
	UpstreamSheds:     {Dispatch: {forwarderShed}},
	UpstreamDrains:    {UpstreamChoice: {routerPassed, routerFaults}, Drain: {gaugerLeaving}},
	UpstreamCold:      {UpstreamChoice: {gaugerWarm, routerLoads}},
	AnswerLate:        {Dispatch: {forwarderLate}},
	AnswerCrossed:     {Dispatch: {forwarderCross}},
	AnswerShort:       {Dispatch: {forwarderOnce}, AnswerStreaming: {forwarderShort}},
	RegionsSplit:      {Admission: {allotterHolds}, Spreading: {detectorSplit, spreaderRandom}},
}

// leases is the row of leases. Only limits use leases and loans, so the other
// steps have none to lose.
var leases = [stepCount]Cell{
	Lookup:          {Never: "A look-up uses no lease."},
	Admission:       {Tests: []Test{whole, allotterHolds, admitterRights}},
	RegionChoice:    {Never: "Weights are not leased; they move only by steps of the shift."},
	UpstreamChoice:  {Tests: []Test{whole, admitterRights}},
	Claim:           {Never: "A claim never expires, so a paused holder keeps it."},
	Dispatch:        {Tests: []Test{whole}},
	AnswerStreaming: {Tests: []Test{whole}},
	AnswerRecording: {Never: "The outcome is recorded under the claim, which never expires."},
	Publication:     {Never: "A publication is a conditional write from a revision and holds no lease."},
	Spreading:       {Never: "Versions are spread without a lease; every host may send them."},
	Install:         {Never: "A version is installed without a lease and never expires."},
	Shift:           {Never: "A step of a shift needs no lease; a paused host adopts the vector of its median peer."},
	Drain:           {Never: "An upstream leaves by signs, which do not expire."},
	Start:           {Tests: []Test{allotterHolds, allotterWorst}},
	Stop:            {Tests: []Test{whole, allotterHolds}},
}

// Table returns the cell of a fault at a step.
func Table(f Fault, s Step) Cell {
	if f == LeaseExpires {
		return leases[s]
	}
	if f == TwoOperators && s == Shift {
		return Cell{Never: "The conditional write of a publication decides the race; a shift sees only the version that won."}
	}
	if red, ok := reds[f][s]; ok {
		return Cell{Red: red}
	}
	return Cell{Tests: append([]Test{whole}, extra[f][s]...)}
}

// reds are the cells with an open fault, by the test in KNOWN-RED.txt.
var reds = map[Fault]map[Step]string{
	MeasurementsStop: {Drain: "TestEveryFaultAtEveryStep/measurements_stop"},
}

// Page returns docs/faults.md.
func Page() string {
	var b strings.Builder
	b.WriteString(head)
	for _, f := range Faults() {
		fmt.Fprintf(&b, "\n## %s%s\n\n", strings.ToUpper(f.String()[:1]), f.String()[1:])
		b.WriteString("| step | cell |\n| --- | --- |\n")
		for _, s := range Steps() {
			fmt.Fprintf(&b, "| %s | %s |\n", s, Table(f, s))
		}
	}
	return b.String()
}

const head = `# Faults and steps

<!-- Generated from internal/standin/faulter. Regenerate with
WRITE_PAGE=1 go test -run TestPage ./internal/standin/faulter -->

For each fault of the design (1.4) and each step, this page names the tests that
cause the fault at the step, or says why it cannot occur there, or names the
entry in KNOWN-RED.txt. "fleet" is TestEveryFaultAtEveryStep in
internal/standin/faulter: three whole hosts with their own clocks of one bubble
of testing/synctest, six upstreams, the platform and three callers, in which the
fault begins when the step is reached; the checker judges all eight promises.

CI runs the fleet without the race detector, with which it takes too long: 15
cells and 10 pairs of faults, drawn by a fixed seed, and the mechanisms off.
MATRIX=all go test -run TestEveryFault ./internal/standin/faulter runs all of
them, one fault after the other; it takes minutes.

What the fleet does not show: all its processes share one clock, and a paused
process only holds its bytes while its timers go on. Clocks that differ and
pauses of all timers are tested at the parts (allotter, shifter, detector).
Admission and the two choices follow within one moment, so the fault begins as
the request reaches the host and lasts over all three. Leases last six hours;
in the fleet only loans expire, leases expire in the tests of allotter.
`

// String returns the cell as the page shows it.
func (c Cell) String() string {
	switch {
	case c.Never != "":
		return "cannot occur: " + c.Never
	case c.Red != "":
		return "known red: " + c.Red
	}
	var names []string
	for _, t := range c.Tests {
		if t == whole {
			names = append(names, "fleet")
		} else {
			names = append(names, t.Package[strings.LastIndex(t.Package, "/")+1:]+"."+t.Name)
		}
	}
	return "tested: " + strings.Join(slices.Compact(names), ", ")
}
