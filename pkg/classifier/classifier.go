// Package classifier defines the closed list of error kinds, and for each kind the HTTP
// status, the Outcome header and the exit code with which it is reported. Every layer
// returns errors with a kind; no layer chooses a status of its own.
//
//	err := classifier.Overloaded.New("no free slot in region %s", region)
//	status := classifier.Of(err).Status() // 503
package classifier

import (
	stderrors "errors"

	"github.com/pkg/errors"
)

// Kind is an error kind. The zero value is Internal, whose outcome is MayHaveRun, so an
// error without a kind is never reported as not run.
type Kind uint8

// The error kinds, in the order of docs/errors.md. The table kindInfos describes each.
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
	Unauthorized
	QuotaExceeded
	kindCount
)

// Outcome says whether a request ran at an upstream. The zero value is MayHaveRun.
type Outcome uint8

// The outcomes that can be reported to a caller.
const (
	MayHaveRun Outcome = iota
	NotRun
	Ran
)

// String returns the value of the Outcome header.
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

// kindInfo describes how a kind is reported.
type kindInfo struct {
	name          string
	status        int
	outcome       Outcome
	exitCode      int
	hasRetryAfter bool
	meaning       string
}

var kindInfos = [kindCount]kindInfo{
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
	Unauthorized:     {"unauthorized", 401, NotRun, 2, false, "the request has no key of a client account"},
	QuotaExceeded:    {"over_quota", 429, NotRun, 5, true, "the client account has used up its quota"},
}

// All returns every kind in the order of docs/errors.md.
func All() []Kind {
	all := make([]Kind, kindCount)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// Parse returns the kind whose String is name and reports whether there is one. If there
// is none, the kind is Internal.
func Parse(name string) (Kind, bool) {
	for i, info := range kindInfos {
		if info.name == name {
			return Kind(i), true
		}
	}
	return Internal, false
}

// info returns the description of k, or that of Internal if k is out of range.
func (k Kind) info() kindInfo {
	if k >= kindCount {
		k = Internal
	}
	return kindInfos[k]
}

// String returns the name of the kind in refusals, metrics and logs.
func (k Kind) String() string { return k.info().name }

// Status returns the HTTP status code.
func (k Kind) Status() int { return k.info().status }

// Outcome returns whether a request that fails with this kind ran.
func (k Kind) Outcome() Outcome { return k.info().outcome }

// ExitCode returns the exit code of a command that fails with this kind.
func (k Kind) ExitCode() int { return k.info().exitCode }

// HasRetryAfter reports whether the refusal carries a Retry-After header.
func (k Kind) HasRetryAfter() bool { return k.info().hasRetryAfter }

// Meaning returns a description of the kind, as in docs/errors.md.
func (k Kind) Meaning() string { return k.info().meaning }

// kindError is an error with a kind.
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

// Wrap returns an error of kind k that wraps err and prefixes its message, or nil if err
// is nil.
func (k Kind) Wrap(err error, message string) error {
	if err == nil {
		return nil
	}
	return &kindError{kind: k, err: errors.WithMessage(err, message)}
}

// Of returns the kind of the outermost error in the chain of err that has one, or Internal
// if none has, including for a nil error.
func Of(err error) Kind {
	var e *kindError
	if stderrors.As(err, &e) {
		return e.kind
	}
	return Internal
}
