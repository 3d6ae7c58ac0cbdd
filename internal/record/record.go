// Package record holds what the gateway tells of itself: one record for each
// final answer, one for each change in what it believes of a member, and its own
// log lines. Records are plain values. Whoever makes one hands it to a [Sink] and
// keeps nothing of it; what becomes of it is the sink's matter.
package record

import (
	"log/slog"
	"time"

	"reachwind/decide"
)

// Kind tells which fields of a Record count.
type Kind uint8

// The kinds.
const (
	Request Kind = iota // a final answer
	Member              // a belief about a member, or a group's primary
	Program             // a log line
	Gap                 // records that were dropped
)

// Kinds are the names of the kinds, as routes and MSGID have them.
var Kinds = [...]string{Request: "request", Member: "member", Program: "log", Gap: "gap"}

func (k Kind) String() string { return Kinds[k] }

// Outcome is the kind of a final answer.
type Outcome uint8

// The outcomes, by worth: what is dropped last has the highest.
const (
	Served Outcome = iota
	Refused
	Failed
)

// Outcomes are the names of the outcomes.
var Outcomes = [...]string{Served: "served", Refused: "refused", Failed: "failed"}

func (o Outcome) String() string { return Outcomes[o] }

// Cause tells why a request was not served, in one word.
type Cause uint8

// The causes. All but the first four are how the last attempt ended.
const (
	NoCause  Cause = iota
	Unplaced       // no member was found that could take it in time
	Waiting        // given up with an attempt out
	Deadline       // its time was up
	Buffers        // the gateway had no buffer for it
	Error
	Full
	Timeout
	Unreachable
	Reset
	Cancelled
	NotSent
	NotHere
	Rejected
	Invalid // the front could not read it
	InUse   // its id is that of a request in work
	Stale   // a member answered from data older than the request must see
)

// Causes are the names of the causes.
var Causes = [...]string{"", "unplaced", "waiting", "deadline", "buffers", "error", "full", "timeout", "unreachable",
	"reset", "cancelled", "not-sent", "not-here", "rejected",
	"invalid", "in-use", "stale"}

func (c Cause) String() string { return Causes[c] }

// CauseOf is the cause that an attempt's end stands for.
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

// Change is what is newly believed.
type Change uint8

// The changes.
const (
	Suspect Change = iota
	Trusted
	PrimaryFound
	PrimaryLost
	Draining
	Gone
	Cold  // started a short while ago
	Ready // listed as ready: new, or after draining
)

// Changes are the names of the changes.
var Changes = [...]string{Suspect: "suspect", Trusted: "trusted", PrimaryFound: "primary-found", PrimaryLost: "primary-lost",
	Draining: "draining", Gone: "gone", Cold: "cold", Ready: "ready"}

func (c Change) String() string { return Changes[c] }

// Severity is RFC 5424's, section 6.2.1: lower is worse.
type Severity uint8

// The severities in use.
const (
	Err     Severity = 3
	Warning Severity = 4
	Notice  Severity = 5
	Info    Severity = 6
	Debug   Severity = 7
)

// Severities are the names of all severities.
var Severities = [...]string{"emerg", "alert", "crit", "err", "warning", "notice", "info", "debug"}

func (s Severity) String() string { return Severities[s] }

// Record is one record. It holds no pointer into anything that changes.
type Record struct {
	Kind     Kind
	Severity Severity
	At       time.Duration // since the start of Unix time

	// Request. Class and Tenant are places in the settings; Tenant -1 = none.
	Class, Tenant int
	Front         string
	Outcome       Outcome
	Cause         Cause
	RetryAfter    time.Duration // Refused: when to come back, 0 = not told
	Attempts      int
	WaitTime      time.Duration // till the first send, or the end
	AttemptTime   time.Duration // of the last attempt, 0 = none was made
	Total         time.Duration
	Session       string // never leaves the process but as a keyed hash

	// Request and Member.
	Group    int64
	Member   string // the last that was asked
	Role     decide.Role
	Position time.Duration // log position it told, since the start of Unix time; 0 = none
	Lag      time.Duration // age of what was known of it at the send
	HasLag   bool
	Change   Change

	Text string // Program: the line
}

// Sink takes records. Put copies what it needs, never blocks, and may be called
// from any goroutine.
type Sink interface{ Put(*Record) }

// SetRequestSeverity sets the severity of a final answer.
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

// SetMemberSeverity sets the severity of a change.
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

// SeverityOfLevel is the severity of a log level.
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
