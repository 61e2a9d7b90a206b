package logger

import (
	"maps"
	"slices"

	"github.com/rs/zerolog"
)

// Event is the number of a log event.
type Event int

// The events. Hundreds group them: 1 process, 2 configuration, 3 membership,
// 4 limits, 5 upstreams and shifts, 6 requests, 7 store.
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
	VersionAccepted        Event = 201
	VersionInstalled       Event = 202
	VersionRefused         Event = 203
	ZoneEvacuated          Event = 204
	RegistrationInvalid    Event = 205
	MemberChanged          Event = 301
	SharesChanged          Event = 401
	HolderGone             Event = 402
	LoanTaken              Event = 403
	UpstreamLeaving        Event = 501
	ConnectionUnresponsive Event = 502
	UpstreamUnreachable    Event = 503
	RequestFailed          Event = 601
	RequestServed          Event = 602
	RequestRefused         Event = 603
	StoreFailed            Event = 701
	StoreRecovered         Event = 702
)

type entry struct {
	level   zerolog.Level
	message string
	meaning string
}

var entries = map[Event]entry{
	HostStarted:            {zerolog.InfoLevel, "host started", "The listeners are open; the host is not ready yet."},
	HostReady:              {zerolog.InfoLevel, "host ready", "The host has a configuration and its shares and takes new work."},
	HostLeaving:            {zerolog.InfoLevel, "host leaving", "A graceful stop began; the host leaves the look-ups."},
	HostStopped:            {zerolog.InfoLevel, "host stopped", "Nothing is in flight; the process ends."},
	RequestsAborted:        {zerolog.WarnLevel, "work cut off", "A second signal or the hard deadline ended the requests named in the field requests."},
	ListenFailed:           {zerolog.ErrorLevel, "listen failed", "A listener could not be opened; the process ends."},
	SettingsReloaded:       {zerolog.InfoLevel, "settings read", "Changed settings are in force, as far as they can change while the host runs."},
	SettingsRefused:        {zerolog.WarnLevel, "settings refused", "The settings file can't be read or fails a check; the settings in force stay."},
	PanicRecovered:         {zerolog.ErrorLevel, "panic recovered", "A fault in the code ended the work in the field place; the process goes on, and what was under way there failed."},
	ProcessPaused:          {zerolog.WarnLevel, "process paused", "The process got no processor for the time in length; requests waited for the time in took until its tables were confirmed, or went on without if confirmed is false."},
	VersionAccepted:        {zerolog.InfoLevel, "version accepted", "A publication through this host won its conditional write."},
	VersionInstalled:       {zerolog.InfoLevel, "version installed", "The version in the field version is in force on this host."},
	VersionRefused:         {zerolog.WarnLevel, "version refused", "A release note or a copy of a version failed a check."},
	ZoneEvacuated:          {zerolog.InfoLevel, "zone evacuated", "The operator evacuated the zone, or took it back if evacuated is false; its upstreams get no new work, or get some again as cold ones."},
	RegistrationInvalid:    {zerolog.WarnLevel, "row refused", "A registration in the store can't be read; it names no upstream. The others hold."},
	MemberChanged:          {zerolog.InfoLevel, "member changed", "The state or readiness of another host changed; state, accuser and reason say how and why."},
	SharesChanged:          {zerolog.InfoLevel, "shares changed", "The host holds the number of shares in the field shares of the ledger's limits."},
	HolderGone:             {zerolog.WarnLevel, "holder gone", "An operator stated that the holder's machine is gone; its shares become free after 33 s."},
	LoanTaken:              {zerolog.DebugLevel, "loan taken", "Another host lent units of the limit for at most 30 s."},
	UpstreamLeaving:        {zerolog.InfoLevel, "upstream leaving", "The upstream gets no new work; the field sign says why."},
	ConnectionUnresponsive: {zerolog.WarnLevel, "connection silent", "Connections to the address carried nothing while a new one works; they are closed."},
	UpstreamUnreachable:    {zerolog.WarnLevel, "upstream dead", "The address refused a connection or left a probe on a new one unanswered."},
	RequestFailed:          {zerolog.WarnLevel, "request failed", "A request ended with an error after it may have run; attempts, where given, says what was tried."},
	RequestServed:          {zerolog.InfoLevel, "request served", "A request got an upstream's answer; attempts says where it was sent, what was expected there, and what came of it."},
	RequestRefused:         {zerolog.WarnLevel, "request refused", "A request was answered with an error kind that says it did not run; kind, room and attempts say why."},
	StoreFailed:            {zerolog.WarnLevel, "store failed", "An operation of the table service or object store failed; repeated failures are not logged again."},
	StoreRecovered:         {zerolog.InfoLevel, "store recovered", "The store answers again after failures."},
}

func (e Event) entry() entry { return entries[e] }

// Meaning returns the sentence of the catalogue.
func (e Event) Meaning() string { return e.entry().meaning }

// Message returns the message of the event's line.
func (e Event) Message() string { return e.entry().message }

// Level returns the level of the event's line.
func (e Event) Level() zerolog.Level { return e.entry().level }

// Events returns all events by number.
func Events() []Event { return slices.Sorted(maps.Keys(entries)) }
