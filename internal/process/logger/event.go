package logger

import (
	"maps"
	"slices"

	"github.com/rs/zerolog"
)

// Event is the number of a log event. It is the value of the field "event" of the
// log line.
type Event int

// The events. The hundreds digit is the group: 1 process, 2 configuration,
// 3 membership, 4 limits, 5 upstreams and shifts, 6 requests, 7 store.
const (
	HostStarted            Event = 101
	HostReady              Event = 102
	HostLeaving            Event = 103
	HostStopped            Event = 104
	RequestsAborted        Event = 105
	ListenFailed           Event = 106
	SettingsReloaded       Event = 107
	SettingsRefused        Event = 108
	PanicRecovered         Event = 109
	ProcessPaused          Event = 110
	AcceptFailed           Event = 111
	VersionAccepted        Event = 201
	VersionInstalled       Event = 202
	VersionRefused         Event = 203
	ZoneEvacuated          Event = 204
	RegistrationInvalid    Event = 205
	MemberChanged          Event = 301
	SharesChanged          Event = 401
	HolderGone             Event = 402
	LoanTaken              Event = 403
	QuotaReached           Event = 404
	UpstreamLeaving        Event = 501
	ConnectionUnresponsive Event = 502
	UpstreamUnreachable    Event = 503
	RateLimitChanged       Event = 504
	RateLimitInvalid       Event = 505
	LeavingInvalid         Event = 506
	ClassUnknown           Event = 206
	RequestFailed          Event = 601
	RequestServed          Event = 602
	RequestRefused         Event = 603
	AdmissionChanged       Event = 604
	StoreFailed            Event = 701
	StoreRecovered         Event = 702
	StoreRestored          Event = 703
)

// catalogueEntry is the row of an event in docs/events.md.
type catalogueEntry struct {
	level   zerolog.Level
	message string
	meaning string
}

var catalogue = map[Event]catalogueEntry{
	HostStarted:            {zerolog.InfoLevel, "host started", "The listeners are open; the host is not ready yet."},
	HostReady:              {zerolog.InfoLevel, "host ready", "The host has a configuration and its shares of the limits, and accepts requests."},
	HostLeaving:            {zerolog.InfoLevel, "host leaving", "A graceful shutdown began; the host is withdrawn from lookup responses. On `entry`, pause is the length of a pause of the process that has just ended."},
	HostStopped:            {zerolog.InfoLevel, "host stopped", "The process exits, because of the error if there is one; dropped, where given, counts requests that were read and did not run because their connection was closing."},
	RequestsAborted:        {zerolog.WarnLevel, "requests aborted", "A second signal or the hard deadline ended requests in flight; count says how many, and requests, where given, lists their ids, and on `entry` their ages and how many requests were in flight on the connection."},
	ListenFailed:           {zerolog.ErrorLevel, "listen failed", "A listener could not be opened; the process exits."},
	SettingsReloaded:       {zerolog.InfoLevel, "settings reloaded", "Changed settings are in effect, as far as they can change while the host runs."},
	SettingsRefused:        {zerolog.WarnLevel, "settings refused", "The settings file can't be read or fails a check; the previous settings stay in effect."},
	PanicRecovered:         {zerolog.ErrorLevel, "panic recovered", "A bug in the code caused a panic in the task that the field place names; the process continues, and what the task was doing failed."},
	ProcessPaused:          {zerolog.WarnLevel, "process paused", "The process got no CPU time for the duration in length; requests waited for the duration in took until its tables were confirmed to be current, or proceeded unconfirmed if confirmed is false."},
	AcceptFailed:           {zerolog.WarnLevel, "accept failed", "A listener could not accept a connection, for example because the process has no file descriptors left; it tries again."},
	VersionAccepted:        {zerolog.InfoLevel, "version accepted", "A configuration version published through this host won its conditional write."},
	VersionInstalled:       {zerolog.InfoLevel, "version installed", "The configuration version in the field version is in effect on this host. On `entry`, unconfirmed is the time since the store last confirmed the copy of the table without it."},
	VersionRefused:         {zerolog.WarnLevel, "version refused", "A release note or a copy of a configuration version failed a check, or, with the field installed, is older than the installed one."},
	ZoneEvacuated:          {zerolog.InfoLevel, "zone evacuated", "The operator evacuated the zone, or restored it if evacuated is false; its upstreams get no new requests, or get requests again as cold upstreams."},
	RegistrationInvalid:    {zerolog.WarnLevel, "registration invalid", "A registration in the store can't be read and names no upstream, even if it did before; other registrations are not affected."},
	MemberChanged:          {zerolog.InfoLevel, "member changed", "The state or readiness of another host changed; state, accuser and reason give the new state and its cause."},
	SharesChanged:          {zerolog.InfoLevel, "shares changed", "The field shares gives the number of shares of the ledger's limits that the host now holds."},
	HolderGone:             {zerolog.WarnLevel, "holder gone", "An operator stated that the holder's machine no longer exists; its shares become free after 33 s."},
	LoanTaken:              {zerolog.DebugLevel, "loan taken", "Another host lent units of the limit for at most 30 s."},
	QuotaReached:           {zerolog.InfoLevel, "quota reached", "Requests of a client account are refused because of its quota, or none was for 5 s if limited is false; own and fleet are the fractions of the quota that this host and all hosts known to it use, and part is the fraction for this host."},
	UpstreamLeaving:        {zerolog.InfoLevel, "upstream leaving", "The upstream gets no new requests; the field sign gives the reason: its registration, or a response in which it said so."},
	ConnectionUnresponsive: {zerolog.WarnLevel, "connection unresponsive", "Connections to the address carried no data while a new one works; they are closed."},
	UpstreamUnreachable:    {zerolog.WarnLevel, "upstream unreachable", "The address refused a connection, or did not respond to a probe on a new one."},
	RateLimitChanged:       {zerolog.InfoLevel, "rate limit changed", "The upstream began to state a rate limit in its responses, in requests per second of all hosts together, or stopped if limited is false. With the field age, another host got that response; such a limit also ends when it is not stated anew for 20 s."},
	RateLimitInvalid:       {zerolog.WarnLevel, "rate limit invalid", "A response states a rate limit that can't be read; the one that is known stays in effect."},
	LeavingInvalid:         {zerolog.WarnLevel, "leaving invalid", "A response says in a way that can't be read whether the upstream is leaving; it counts as not leaving."},
	ClassUnknown:           {zerolog.WarnLevel, "class unknown", "A configuration gives a route a class that this build does not know; its requests count as not repeatable."},
	RequestFailed:          {zerolog.WarnLevel, "request failed", "A request ended with an error after it may have run; attempts, where given, lists the attempts made."},
	RequestServed:          {zerolog.InfoLevel, "request served", "A request got an upstream's response; attempts lists where it was sent, what was expected there, and the result."},
	RequestRefused:         {zerolog.WarnLevel, "request refused", "A request got an error response of a kind that guarantees it did not run; kind, room and attempts give the reason, and cause, where given, says how the connection of its caller ended."},
	AdmissionChanged:       {zerolog.InfoLevel, "admission changed", "An urgency of a service lost its place in the queues of upstreams (short) because more urgent requests lack capacity, or got it back (open); at most one line for each urgency of a service in a second."},
	StoreFailed:            {zerolog.WarnLevel, "store failed", "An operation of the table service or object store failed; repeated failures are not logged again. On `entry`, the error tells whether the connection was in use before, and how long it was idle."},
	StoreRecovered:         {zerolog.InfoLevel, "store recovered", "The store responds again; failures, where given, is the number of calls in a row that failed."},
	StoreRestored:          {zerolog.WarnLevel, "store restored", "The store came back from an older copy; before and after are the versions of the table, each an era and a number. Rows that the store lacks (missing) stay in effect for 2 s. Registrations that were deleted and that the copy may have brought back (returned) have no effect for 6 s, unless they are written again. Up to 8 keys of each are listed."},
}

func (e Event) catalogueEntry() catalogueEntry { return catalogue[e] }

// Meaning returns the description of the event in docs/events.md.
func (e Event) Meaning() string { return e.catalogueEntry().meaning }

// Message returns the message of the event's log line.
func (e Event) Message() string { return e.catalogueEntry().message }

// Level returns the level of the event's log line.
func (e Event) Level() zerolog.Level { return e.catalogueEntry().level }

// Events returns all events, sorted by number.
func Events() []Event { return slices.Sorted(maps.Keys(catalogue)) }
