// Package record defines the gateway's log records: one for each final answer to
// a request, one for each change in the observed state of a member, and one for
// each of the gateway's own log lines. Records are plain values. The code that
// makes a record passes it to a [Sink] and keeps no reference to it; filtering,
// queueing and delivery are up to the sink.
package record

import (
	"log/slog"
	"time"

	"reachwind/decide"
)

// Kind is the type of a Record. It determines which of the record's fields are used.
type Kind uint8

// The kinds of records.
const (
	Request Kind = iota // the final answer to a request
	Member              // a change in the observed state of a member or of a group's primary
	Program             // a log line of the gateway
	Gap                 // a number of records that were dropped
)

// Kinds holds the names of the kinds, as used in the settings of routes and in a message's MSGID.
var Kinds = [...]string{Request: "request", Member: "member", Program: "log", Gap: "gap"}

func (k Kind) String() string { return Kinds[k] }

// Outcome is the result of a request.
type Outcome uint8

// The outcomes, in ascending priority: records with the highest are dropped last.
const (
	Served Outcome = iota
	Refused
	Failed
)

// Outcomes holds the names of the outcomes.
var Outcomes = [...]string{Served: "served", Refused: "refused", Failed: "failed"}

func (o Outcome) String() string { return Outcomes[o] }

// Cause is the reason why a request was not served.
type Cause uint8

// The causes. Those without a comment are results of the last attempt, see CauseOf.
const (
	NoCause  Cause = iota
	Unplaced       // no member was available that could serve it before its deadline
	Waiting        // abandoned while an attempt was in flight
	Deadline       // its deadline passed
	Buffers        // the gateway had no free buffer for it
	Error
	Full
	Timeout
	Unreachable
	Reset
	Cancelled
	NotSent
	NotHere
	Rejected
	Invalid // the front could not parse it
	InUse   // a request with the same id is in progress
	Stale   // a member answered from data older than the request requires
)

// Causes holds the names of the causes; that of NoCause is empty.
var Causes = [...]string{"", "unplaced", "waiting", "deadline", "buffers", "error", "full", "timeout", "unreachable",
	"reset", "cancelled", "not-sent", "not-here", "rejected",
	"invalid", "in-use", "stale"}

func (c Cause) String() string { return Causes[c] }

// CauseOf returns the cause for the result of an attempt, NoCause for a result that is not a failure.
func CauseOf(r decide.Result) Cause {
	switch r {
	case decide.Errored:
		return Error
	case decide.Full:
		return Full
	case decide.TimedOut:
		return Timeout
	case decide.Unreachable:
		return Unreachable
	case decide.Reset:
		return Reset
	case decide.Cancelled:
		return Cancelled
	case decide.NotSent:
		return NotSent
	case decide.Misdirected:
		return NotHere
	case decide.Rejected:
		return Rejected
	case decide.Stale:
		return Stale
	}
	return NoCause
}

// Change is a change in the observed state of a member or of a group's primary.
type Change uint8

// The changes. Suspect and Trusted are the failure detector's verdicts on a member.
const (
	Suspect Change = iota
	Trusted
	PrimaryFound
	PrimaryLost
	Draining
	Gone
	Cold  // in slow start: it started recently
	Ready // listed as ready: new, or after draining
)

// Changes holds the names of the changes.
var Changes = [...]string{Suspect: "suspect", Trusted: "trusted", PrimaryFound: "primary-found", PrimaryLost: "primary-lost",
	Draining: "draining", Gone: "gone", Cold: "cold", Ready: "ready"}

func (c Change) String() string { return Changes[c] }

// Severity is a severity of RFC 5424, section 6.2.1. Lower values are more severe.
type Severity uint8

// The severities in use.
const (
	Err     Severity = 3
	Warning Severity = 4
	Notice  Severity = 5
	Info    Severity = 6
	Debug   Severity = 7
)

// Severities holds the names of all eight severities of RFC 5424.
var Severities = [...]string{"emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"}

func (s Severity) String() string { return Severities[s] }

// Record is one log record. It refers to no memory that changes later, so that a copy of it is complete.
type Record struct {
	Kind     Kind
	Severity Severity
	At       time.Duration // since the Unix epoch

	// Of kind Request. Class and Tenant are indexes into the settings; Tenant is -1 for none.
	Class, Tenant int
	Front         string
	Outcome       Outcome
	Cause         Cause
	RetryAfter    time.Duration // Refused: delay after which the client may retry, 0 = none was sent
	Attempts      int
	WaitTime      time.Duration // until the first send, or until the end if nothing was sent
	AttemptTime   time.Duration // duration of the last attempt, 0 = none was made
	Total         time.Duration
	Session       string // leaves the process only as a keyed hash

	// Of kinds Request and Member.
	Group    int64
	Member   string // Request: the member of the last attempt
	Role     decide.Role
	Position time.Duration // log position that the member reported, as time since the Unix epoch; 0 = none
	Lag      time.Duration // age of the member's known position when the request was sent
	HasLag   bool
	Change   Change

	Text string // Program: the log line
}

// Sink receives records. Put copies what it needs, never blocks, and is safe for
// concurrent use.
type Sink interface{ Put(*Record) }

// SetRequestSeverity sets the severity of a Request record from its outcome.
func (r *Record) SetRequestSeverity() {
	switch r.Outcome {
	case Served:
		r.Severity = Info
	case Refused:
		r.Severity = Notice
	default:
		r.Severity = Warning
	}
}

// SetMemberSeverity sets the severity of a Member record from its change.
func (r *Record) SetMemberSeverity() {
	switch r.Change {
	case PrimaryLost:
		r.Severity = Err
	case Suspect:
		r.Severity = Warning
	case Cold, Ready, Trusted:
		r.Severity = Info
	default:
		r.Severity = Notice
	}
}

// SeverityOfLevel returns the severity for a log level.
func SeverityOfLevel(l slog.Level) Severity {
	switch {
	case l >= slog.LevelError:
		return Err
	case l >= slog.LevelWarn:
		return Warning
	case l >= slog.LevelInfo:
		return Info
	}
	return Debug
}
