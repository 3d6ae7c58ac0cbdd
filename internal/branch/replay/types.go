// Package replay decides which queued write of a cut-off office may be sent now, what an answer or its loss means, and
// tracks the outcome of each receipt. It does no I/O, starts no goroutine and reads no clock: events and a time in,
// actions out.
package replay

import (
	"fmt"
	"time"

	"reachwind/internal/branch/causes"
)

// Time is a point on the caller's monotonic clock, or a duration on it.
type Time = time.Duration

// Dot is a receipt.
type Dot = causes.Dot

// Write is one queued write, as its queue stored it.
type Write struct {
	causes.Record
	Key       string // idempotency key, including its owner
	Class     string
	MaybeSent bool // some gateway of the office may have sent the key before the cut: the replay starts in doubt
	Queued    Time // estimated time of queuing on this clock; used only for the order of sending
}

// Rule is how a class handles a write whose cause was refused.
type Rule uint8

// The rules.
const (
	Hold       Rule = iota // waits for an operator's release
	Drop                   // is refused too, with a notice
	SendAnyway             // is sent anyway
)

// Class is the configuration of a class.
type Class struct {
	Rule     Rule
	HasCheck bool // it has a statement whose answer tells whether a write has run
}

// Config sets the limits of a replayer. Zero values select the defaults, which stand in brackets.
type Config struct {
	Classes        map[string]Class
	DedupWindow    Time // the cluster drops a repeat of a key for this long after it ran (2 s)
	ClockMargin    Time // allowed error of clocks and timers within the window (100 ms)
	AttemptTimeout Time // time given to an attempt, which cannot run later (600 ms)
	SendsPerSecond int  // sends and checks per second (20)
	MaxInFlight    int  // writes between intent and outcome at a time (8)
	RetryPause     Time // after an attempt that did not run; doubles each time (200 ms)
	MaxRetryPause  Time // upper limit of that pause (10 s)
}

// Outcome is the result of a write.
type Outcome uint8

// The outcomes. A dropped write counts as refused.
const (
	Open Outcome = iota
	Applied
	Refused
	Dropped
)

// String is the outcome's name in tables and JSON.
func (o Outcome) String() string {
	return [...]string{"open", "applied", "refused", "dropped"}[o&3]
}

// Kind is the kind of a stored record.
type Kind uint8

// The kinds of stored records; the values are also the stored form.
const (
	KindIntent  Kind = 1 // round Round may be sent from now on
	KindNotRun  Kind = 2 // no attempt of it has run
	KindOutcome Kind = 3
	KindRetry   Kind = 4 // a check or an operator found that it has not run
	KindHold    Kind = 5 // an operator put it on hold
	KindRelease Kind = 6 // it continues in spite of refused or unknown causes
	KindBase    Kind = 7 // the records that a holder adopted from former holders; it does nothing before this is stored
)

// LogRecord is one stored record of the replay. All lasting state follows from the records in their order.
type LogRecord struct {
	Fence   uint64  `cbor:"1,keyasint"`
	N       uint64  `cbor:"2,keyasint"` // increases within a fence
	Dot     Dot     `cbor:"3,keyasint"`
	Kind    Kind    `cbor:"4,keyasint"`
	Round   int     `cbor:"5,keyasint"`
	Outcome Outcome `cbor:"6,keyasint,omitempty"`
	Reason  string  `cbor:"7,keyasint,omitempty"`
	Ground  Dot     `cbor:"8,keyasint,omitzero"` // the refused cause, or the receipt with the same key whose outcome this shares
}

// RecoveredRecord is a stored record as read from one copy at a takeover: one for each copy that was read and has it.
type RecoveredRecord struct {
	LogRecord
	// At is no later than when that copy accepted the record from its holder, on the reader's clock: the time of the
	// query less the age that the copy reported. The earliest counts. Known is true if the copy knew the age: it
	// accepted the record since its last start, and not with a later base.
	At    Time
	Known bool
	// Base is the fence of the newest base on that copy, 0 where it has none.
	Base uint64
}

// Answer is how an attempt ended.
type Answer uint8

// The answers. What is not certainly one of the others is MaybeRan.
const (
	Ran      Answer = iota // the primary accepted it
	Rejected               // the store refused it permanently: it has not run and will not
	NotRun                 // refused by load shedding, no primary, or never connected: no effect
	MaybeRan               // answer lost, broken or late: it may have run
)

// Resolution is an operator's decision on a write.
type Resolution uint8

// The resolutions.
const (
	ResolveApplied Resolution = iota
	ResolveNotApplied
	ResolveRetry
	ResolveHold
	ResolveRelease
)

// Finding is the result of a check.
type Finding uint8

// The findings.
const (
	Unknown Finding = iota
	HasRun
	HasNotRun
)

// ActionKind is what the caller has to do.
type ActionKind uint8

// The actions.
const (
	// ActStore: store Record on the configured number of copies, then call RecordStored. A base is stored on a copy
	// by replacing all that the copy has with what Adopted returns.
	ActStore  ActionKind = iota
	ActSend              // send Dot with its key, to run by Until or not at all, then call Answered
	ActCheck             // ask the primary whether Dot has run, then call Checked
	ActNotice            // report Note to the operator and to whoever queries the receipt
)

// Action is one thing to do. Each store, send and check must be followed by its event, or the replayer must end.
type Action struct {
	Kind    ActionKind
	Dot     Dot
	Key     string
	Round   int
	Attempt int
	Until   Time
	Record  LogRecord
	Note    string
}

// Counts counts all receipts by outcome: Receipts = Applied + Refused + InDoubt + Waiting.
type Counts struct {
	Receipts, Applied, Refused, InDoubt, Waiting int
}

// ReceiptStatus is the current status of one receipt.
type ReceiptStatus struct {
	Dot     Dot
	State   string // waiting, held, out, in doubt, applied, refused, dropped
	Reason  string
	Ground  Dot // what it waits for, or whose outcome it shares
	Round   int // the round that an operator's resolution of a doubt must name
	Attempt int
}

// Guard is a bit for one rule that the guarantees rest on; tests disable them one at a time.
type Guard uint32

// The guards.
const (
	GuardIntent   Guard = 1 << iota // an intent is stored before a send
	GuardWindow                     // a repeat is sent only within the cluster's deduplication window
	GuardOver                       // and, like checks, only after the previous attempt's deadline
	GuardTakeover                   // the window of a former holder's intent counts from when a copy accepted it, or is over
	GuardTerm                       // nothing is sent that could run after the permit's term
	GuardFence                      // copies refuse an older holder's records
	GuardTwin                       // one key is sent for one receipt
	GuardRound                      // findings and resolutions name the round they are about
	GuardCause                      // what a write depends on goes first
	GuardRule                       // dependents of a refused write follow their class's rule
	GuardPrefix                     // a write that depends only by a prefix is not dropped
	GuardMissing                    // a write waits for a cause that is not known here
	GuardPoison                     // a write that cannot continue blocks only its dependents
	GuardRate                       // limit of sends per second
	GuardVouch                      // a write that may have been sent before the cut starts in doubt
	GuardBase                       // a holder starts with a base; records that no base adopted are void
)

// Guards lists all guards with the property that each protects.
var Guards = []struct {
	Guard Guard
	Keeps string
}{
	{GuardIntent, "who takes over knows what may have been sent"},
	{GuardWindow, "a late repeat is not applied twice"},
	{GuardOver, "no attempt runs behind another's answer"},
	{GuardTakeover, "a takeover does not stretch the window"},
	{GuardTerm, "a stopped replayer sends nothing later"},
	{GuardFence, "an old holder changes no outcome"},
	{GuardTwin, "one key with two receipts is applied once"},
	{GuardRound, "an old word or finding settles no newer doubt"},
	{GuardCause, "causes come first"},
	{GuardRule, "dependents of a refused write by their rule"},
	{GuardPrefix, "no stranger is dropped"},
	{GuardMissing, "an unknown cause is waited for"},
	{GuardPoison, "one poisoned write holds no stranger"},
	{GuardRate, "the rate is kept"},
	{GuardBase, "a record of too few copies changes nothing later"},
	{GuardVouch, "what may have gone before the cut is asked first"},
}

// UnknownReceiptError reports that no such write is known here.
type UnknownReceiptError struct{ Dot Dot }

func (e *UnknownReceiptError) Error() string {
	return fmt.Sprintf("receipt %v is not known here: ask the office's other gateways, or its retention time is over", e.Dot)
}

// WrongStateError reports that a resolution does not fit the state of the write.
type WrongStateError struct {
	Dot          Dot
	Found, Wants string
}

func (e *WrongStateError) Error() string {
	return fmt.Sprintf("receipt %v is %s, the resolution needs one that is %s: query it again with show", e.Dot, e.Found, e.Wants)
}

// OldRoundError reports that a resolution names an earlier round.
type OldRoundError struct {
	Dot          Dot
	Found, Wants int
}

func (e *OldRoundError) Error() string {
	return fmt.Sprintf("receipt %v: the resolution names round %d, but round %d is now in doubt: check again whether it has run", e.Dot, e.Found, e.Wants)
}

// NotBegunError reports that a holder has not yet stored its base.
type NotBegunError struct{ Fence uint64 }

func (e *NotBegunError) Error() string {
	return fmt.Sprintf("the replay under fence %d has not started, wanted its base on enough copies: retry in a moment, or check which gateways of the office are up", e.Fence)
}

// StaleFenceError reports a record of a holder that a newer holder has replaced.
type StaleFenceError struct{ Found, Newest uint64 }

func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("record under fence %d refused, the newest known fence is %d: its replayer must stop, a newer one has taken over", e.Found, e.Newest)
}

// BadCauseError reports a write that names itself or a later write of its queue as its cause.
type BadCauseError struct{ Dot, Cause Dot }

func (e *BadCauseError) Error() string {
	return fmt.Sprintf("receipt %v depends on %v, which is not before it: its record is damaged, set the queue aside and ask the operator", e.Dot, e.Cause)
}

// NotOverError reports that a queue cannot be forgotten yet.
type NotOverError struct {
	Dot   Dot
	State string
}

func (e *NotOverError) Error() string {
	return fmt.Sprintf("receipt %v is %s, wanted a final outcome that no open write depends on: resolve it first", e.Dot, e.State)
}

// NoBaseError reports that a copy does not have the base that a record builds on.
type NoBaseError struct{ Found, Wants uint64 }

func (e *NoBaseError) Error() string {
	return fmt.Sprintf("record under fence %d refused, the copy has the base of fence %d: send it the new base first", e.Wants, e.Found)
}

// FenceGate decides which records a copy accepts: none under a fence older than the newest it knows, and none without the
// base that the record builds on. The caller must keep both numbers durably.
type FenceGate struct {
	fence, base uint64
	disabled    Guard
}

// NewFenceGate returns the gate of a copy that knows fence and has the base of fence base. A copy that lost its folder knows
// neither number: it starts at one more than the newest fence that the council granted, and must not be read before it
// has a base again. Guards in off are disabled; for tests only.
func NewFenceGate(fence, base uint64, off Guard) *FenceGate { return &FenceGate{fence, base, off} }

// RaiseFence records that a holder with this fence reads this copy: older holders are refused from then on.
func (k *FenceGate) RaiseFence(fence uint64) { k.fence = max(k.fence, fence) }

// Base returns the fence of the newest base on this copy.
func (k *FenceGate) Base() uint64 { return k.base }

// Admit checks whether the record may be stored; the error is a *StaleFenceError or *NoBaseError.
func (k *FenceGate) Admit(r LogRecord) error {
	if r.Fence < k.fence && k.disabled&GuardFence == 0 {
		return &StaleFenceError{r.Fence, k.fence}
	}
	if r.Kind == KindBase {
		k.base = r.Fence
	} else if r.Fence != k.base && k.disabled&GuardBase == 0 {
		return &NoBaseError{k.base, r.Fence}
	}
	k.RaiseFence(r.Fence)
	return nil
}
