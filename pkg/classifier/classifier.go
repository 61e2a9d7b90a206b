// Package classifier holds the closed list of error kinds and the table from a
// kind to the HTTP status, the outcome word and the exit code it is answered
// with. Every layer reports errors by kind; no layer invents a status itself.
//
//	err := classifier.Overloaded.New("no free slot in region %s", region)
//	status := classifier.Of(err).Status() // 503
package classifier

import (
	stderrors "errors"

	"github.com/pkg/errors"
)

// Kind is one entry of the closed list of error kinds. The zero value is
// Internal, so an error without a kind is never reported as "not run".
type Kind uint8

// The kinds of error, in the order of docs/errors.md.
const (
	Internal Kind = iota
	BadRequest
	Invalid
	NotFound
	TooLarge
	KeyReused
	Conflict
	Overloaded
	Shifting
	Expired
	StoreDown
	NotReady
	Stopping
	Unreachable
	Shed
	Failed
	TimedOut
	ResponseMismatch
	Truncated
	InDoubt
	Unconfirmed
	kinds
)

// Outcome says whether a request ran at an upstream.
type Outcome uint8

// The outcomes a caller can be told.
const (
	MayHaveRun Outcome = iota
	NotRun
	Ran
)

// String returns the word used in the Outcome header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

type answer struct {
	name    string
	status  int
	outcome Outcome
	exit    int
	retry   bool
	meaning string
}

var answers = [kinds]answer{
	Internal:         {"internal", 500, MayHaveRun, 1, false, "a fault in dandeliontrack itself"},
	BadRequest:       {"bad_request", 400, NotRun, 2, false, "the request is malformed"},
	Invalid:          {"invalid", 422, NotRun, 2, false, "settings or a release note fail a check"},
	NotFound:         {"unknown", 404, NotRun, 3, false, "there is no such service, host or request"},
	TooLarge:         {"too_large", 413, NotRun, 2, false, "the headers or the body exceed their bound"},
	KeyReused:        {"key_reused", 422, NotRun, 2, false, "the request key was used with a different request"},
	Conflict:         {"conflict", 409, NotRun, 4, false, "another publication on the same base version was accepted first"},
	Overloaded:       {"overloaded", 503, NotRun, 5, true, "no capacity becomes free before the deadline"},
	Shifting:         {"shifting", 503, NotRun, 5, true, "the cap on a traffic shift holds the request back"},
	Expired:          {"expired", 504, NotRun, 5, true, "the deadline passed before dispatch"},
	StoreDown:        {"store_down", 503, NotRun, 6, true, "the table service is unavailable, so no claim can be made"},
	NotReady:         {"not_ready", 503, NotRun, 6, true, "the host is starting"},
	Stopping:         {"stopping", 503, NotRun, 6, true, "the host is stopping"},
	Unreachable:      {"unreachable", 502, NotRun, 6, true, "no connection to an upstream could be opened"},
	Shed:             {"shed", 503, NotRun, 5, true, "the upstream refused the request before running it"},
	Failed:           {"failed", 502, MayHaveRun, 7, false, "the connection failed after dispatch"},
	TimedOut:         {"timed_out", 504, MayHaveRun, 7, false, "no answer arrived before the deadline"},
	ResponseMismatch: {"crossed", 502, MayHaveRun, 7, false, "the answer belongs to another request"},
	Truncated:        {"truncated", 502, MayHaveRun, 7, false, "the answer ended before it was complete"},
	InDoubt:          {"in_doubt", 409, MayHaveRun, 7, false, "a claim on the request key has no known outcome"},
	Unconfirmed:      {"unknown_yet", 503, MayHaveRun, 8, true, "it is not known yet whether the publication was accepted"},
}

// All returns every kind in the order of docs/errors.md.
func All() []Kind {
	all := make([]Kind, kinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Parse returns the kind with the given name and whether there is one.
func Parse(name string) (Kind, bool) {
	for i, a := range answers {
		if a.name == name {
			return Kind(i), true
		}
	}
	return Internal, false
}

func (k Kind) answer() answer {
	if k >= kinds {
		k = Internal
	}
	return answers[k]
}

// String returns the name used in refusals and logs.
func (k Kind) String() string { return k.answer().name }

// Status returns the HTTP status code.
func (k Kind) Status() int { return k.answer().status }

// Outcome returns what the refusal says about the request having run.
func (k Kind) Outcome() Outcome { return k.answer().outcome }

// ExitCode returns the exit code of a command that fails with this kind.
func (k Kind) ExitCode() int { return k.answer().exit }

// HasRetryAfter reports whether the refusal carries a HasRetryAfter-After header.
func (k Kind) HasRetryAfter() bool { return k.answer().retry }

// Meaning returns one sentence part for the catalogue in docs/errors.md.
func (k Kind) Meaning() string { return k.answer().meaning }

type kindError struct {
	kind Kind
	err  error
}

func (e *kindError) Error() string { return e.err.Error() }
func (e *kindError) Unwrap() error { return e.err }

// New returns an error of kind k with a formatted message.
func (k Kind) New(format string, args ...any) error {
	return &kindError{kind: k, err: errors.Errorf(format, args...)}
}

// Wrap returns err as an error of kind k with message before it, or nil if err
// is nil.
func (k Kind) Wrap(err error, message string) error {
	if err == nil {
		return nil
	}
	return &kindError{kind: k, err: errors.WithMessage(err, message)}
}

// Of returns the kind of the outermost error in err's chain that has one, and
// Internal if none has.
func Of(err error) Kind {
	var e *kindError
	if stderrors.As(err, &e) {
		return e.kind
	}
	return Internal
}
