// Package faulter holds the table of faults and steps: for every fault of the
// design (1.4) and every step of the product, which test causes the fault at
// the step, or why it cannot occur there. Its tests run a fleet of real hosts
// through the table, and check that docs/faults.md shows it.
package faulter

// Step is something that the product does.
type Step int

// The steps.
const (
	Lookup Step = iota
	Admission
	RegionChoice
	UpstreamChoice
	Claim
	Dispatch
	AnswerStreaming
	AnswerRecording
	Publication
	Spreading
	Install
	Shift
	Drain
	Start
	Stop
	stepCount
)

var stepNames = [stepCount]string{
	"look-up", "admission", "choice of region", "choice of upstream", "claim", "dispatch", "answer streaming",
	"answer recording", "publication", "spreading", "install", "shift", "drain", "start", "stop",
}

// String returns the name of the step.
func (s Step) String() string { return stepNames[s] }

// Steps returns all steps in order.
func Steps() []Step { return sequence[Step](int(stepCount)) }

// Fault is something that goes wrong.
type Fault int

// The faults.
const (
	MeasurementsStop Fault = iota
	MeasurementsLag
	MeasurementsMislead
	ProcessDies
	ProcessPauses
	RegionFails
	ZoneFails
	StoreDown
	StoreSlow
	StoreAnswerLost
	LeaseExpires
	TwoOperators
	ConnectionsSilent
	UpstreamSheds
	UpstreamDrains
	UpstreamCold
	AnswerLate
	AnswerCrossed
	AnswerShort
	HostListLags
	RegionsSplit
	faultCount
)

var faultNames = [faultCount]string{
	"measurements stop", "measurements lag", "measurements mislead", "process dies", "process pauses", "region fails",
	"zone fails", "store down", "store slow", "store answer lost after its write", "lease expires while its holder is paused",
	"two operators publish at once", "connections silent for good while new ones work", "upstream sheds", "upstream drains",
	"upstream starts cold", "upstream answers late", "upstream answers crossed", "upstream answers short", "host list lags",
	"regions lose each other",
}

// String returns the name of the fault.
func (f Fault) String() string { return faultNames[f] }

// Faults returns all faults in order.
func Faults() []Fault { return sequence[Fault](int(faultCount)) }

func sequence[T ~int](n int) []T {
	out := make([]T, n)
	for i := range out {
		out[i] = T(i)
	}
	return out
}
