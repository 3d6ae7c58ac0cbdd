// Package replay tells which queued write of a cut-off office may be sent now, what an answer or its loss means, and
// what became of each receipt. It does no I/O, starts no goroutine and reads no clock: events and a time in, actions out.
package replay

import (
	"fmt"
	"time"

	"reachwind/internal/branch/causes"
)

// Time is a point on the owner's monotonic clock, or a span on it.
type Time = time.Duration

// Dot is a receipt.
type Dot = causes.Dot

// Write is one queued write, as its queue kept it.
type Write struct {
	causes.Record
	Key       string // idempotency key, with whose it is
	Class     string
	MaybeSent bool // some gateway of the office may have sent the key before the cut: it begins in doubt
	Queued    Time // when it was queued, as well as the queue can tell on this clock: for who goes first, nothing else
}

// Rule is what a class makes of a write whose cause was refused.
type Rule uint8

// The rules.
const (
	Hold       Rule = iota // waits for an operator's release
	Drop                   // is refused too, with a notice
	SendAnyway             // is sent all the same
)

// Class is what the configuration says of a class.
type Class struct {
	Rule     Rule
	HasCheck bool // it gave a statement whose answer tells whether a write has run
}

// Config bounds a replayer. Zero values stand for the defaults.
type Config struct {
	Classes        map[string]Class
	DedupWindow    Time // the cluster drops a repeat of a key for so long after it ran (2 s)
	ClockMargin    Time // clocks and timers may be off by so much within the window (100 ms)
	AttemptTimeout Time // an attempt is told it has so long, and can't run later (600 ms)
	SendsPerSecond int  // sends and checks a second (20)
	MaxInFlight    int  // writes between intent and outcome at once (8)
	RetryPause     Time // after a try that did not run, doubling (200 ms)
	MaxRetryPause  Time // up to this (10 s)
}

// Outcome is what became of a write.
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

// Kind is what a kept record says.
type Kind uint8

// The kinds of kept records, on disk too.
const (
	KindIntent  Kind = 1 // round Round may be sent from now on
	KindNotRun  Kind = 2 // no attempt of it has run
	KindOutcome Kind = 3
	KindRetry   Kind = 4 // a check or an operator found that it has not run
	KindHold    Kind = 5 // an operator holds it
	KindRelease Kind = 6 // it goes on in spite of refused or unknown causes
	KindBase    Kind = 7 // what a holder adopted of those before it; it does nothing before this is kept
)

// LogRecord is one record of the replay. State is what the records in their order say, and nothing else.
type LogRecord struct {
	Fence   uint64  `cbor:"1,keyasint"`
	N       uint64  `cbor:"2,keyasint"` // grows within a fence
	Dot     Dot     `cbor:"3,keyasint"`
	Kind    Kind    `cbor:"4,keyasint"`
	Round   int     `cbor:"5,keyasint"`
	Outcome Outcome `cbor:"6,keyasint,omitempty"`
	Reason  string  `cbor:"7,keyasint,omitempty"`
	Ground  Dot     `cbor:"8,keyasint,omitzero"` // the cause that was refused, or whose outcome with the same key this is
}

// RecoveredRecord is a kept record as one copy told it to the holder that takes over: one for each copy that was read and has it.
type RecoveredRecord struct {
	LogRecord
	// At is no later than when that copy took the record from its holder, on the reader's clock: when it was asked, less
	// the age that the copy told. The earliest counts. Known tells that the copy had its age: it took the record in this
	// life, and not with a later base.
	At    Time
	Known bool
	// Base is the fence of the newest base on that copy, 0 where it has none.
	Base uint64
}

// Answer is how an attempt ended.
type Answer uint8

// The answers. What is not surely one of the others is Maybe.
const (
	Ran      Answer = iota // the primary took it
	Rejected               // the store refused it for good: it has not run and will not
	NotRun                 // turned away, no primary, never connected: no effect
	MaybeRan               // lost, broken, late: it may have run
)

// Resolution is an operator's.
type Resolution uint8

// The words.
const (
	ResolveApplied Resolution = iota
	ResolveNotApplied
	ResolveRetry
	ResolveHold
	ResolveRelease
)

// Finding is what a check told.
type Finding uint8

// The findings.
const (
	Unknown Finding = iota
	HasRun
	HasNotRun
)

// ActionKind is what the owner has to do.
type ActionKind uint8

// The actions.
const (
	// ActStore: keep Record on the stated number of copies, then call Kept. A base is kept on a copy by
	// putting what Adopted tells in the place of all that the copy has.
	ActStore  ActionKind = iota
	ActSend              // send Dot with its key, to run by Until or not at all, then call Answered
	ActCheck             // ask the primary whether Dot has run, then call Checked
	ActNotice            // tell the operator and whoever asks for the receipt: Note
)

// Action is one thing to do. Every keep, send and check is followed by its event, or this replayer ends.
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

// Counts is what became of all receipts: Receipts = Applied + Refused + InDoubt + Waiting.
type Counts struct {
	Receipts, Applied, Refused, InDoubt, Waiting int
}

// ReceiptStatus is one receipt's.
type ReceiptStatus struct {
	Dot     Dot
	State   string // waiting, held, out, in doubt, applied, refused, dropped
	Reason  string
	Ground  Dot // what it waits for, or whose outcome it shares
	Round   int // which an operator's word on its doubt has to name
	Attempt int
}

// Guard is one thing that keeps the promises; checks switch them off one by one.
type Guard uint32

// The guards.
const (
	GuardIntent   Guard = 1 << iota // an intent is kept before a send
	GuardWindow                     // a repeat goes out only within the cluster's window
	GuardOver                       // and, as checks do, only after the attempt before it has run out
	GuardTakeover                   // the window of another's intent counts from when it was heard, or is over
	GuardTerm                       // nothing is sent that could run after the permit's term
	GuardFence                      // keepers refuse an older holder's records
	GuardTwin                       // one key is sent for one receipt
	GuardRound                      // findings and words name the doubt they are about
	GuardCause                      // what a write depends on goes first
	GuardRule                       // dependents of a refused write by their rule
	GuardPrefix                     // what depends by a prefix only is not dropped
	GuardMissing                    // a cause that is not known here is waited for
	GuardPoison                     // a write that can't go on holds no stranger
	GuardRate                       // sends a second
	GuardVouch                      // a write that may have been sent before the cut begins in doubt
	GuardBase                       // a holder begins with a base, and what no base adopted is void
)

// Guards are all of them, with what each keeps.
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

// UnknownReceiptError says that no such write is known here.
type UnknownReceiptError struct{ Dot Dot }

func (e *UnknownReceiptError) Error() string {
	return fmt.Sprintf("receipt %v is not known here: ask the office's other gateways, or it is past the age until which receipts are kept", e.Dot)
}

// WrongStateError says that a word does not fit what became of the write.
type WrongStateError struct {
	Dot          Dot
	Found, Wants string
}

func (e *WrongStateError) Error() string {
	return fmt.Sprintf("receipt %v is %s, the word is for one that is %s: look at it again with show", e.Dot, e.Found, e.Wants)
}

// OldRoundError says that a word is about an earlier doubt.
type OldRoundError struct {
	Dot          Dot
	Found, Wants int
}

func (e *OldRoundError) Error() string {
	return fmt.Sprintf("receipt %v: the word is about round %d and the doubt is now about round %d: look again whether it has run", e.Dot, e.Found, e.Wants)
}

// NotBegunError says that a holder has not yet kept what it adopted.
type NotBegunError struct{ Fence uint64 }

func (e *NotBegunError) Error() string {
	return fmt.Sprintf("the replay under fence %d has not begun, wanted its base on enough copies: say it again in a moment, or look which gateways of the office are there", e.Fence)
}

// StaleFenceError says that a record comes from a holder that another has followed.
type StaleFenceError struct{ Found, Newest uint64 }

func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("a record under fence %d after fence %d was taken: its replayer has to stop, another one goes on", e.Found, e.Newest)
}

// BadCauseError says that a write names itself or a later one of its queue as its cause.
type BadCauseError struct{ Dot, Cause Dot }

func (e *BadCauseError) Error() string {
	return fmt.Sprintf("receipt %v depends on %v, which is not before it: its record is damaged, set the queue aside and ask the operator", e.Dot, e.Cause)
}

// NotOverError says that a queue can't be forgotten yet.
type NotOverError struct {
	Dot   Dot
	State string
}

func (e *NotOverError) Error() string {
	return fmt.Sprintf("receipt %v is %s, and only what is over and nobody depends on can be forgotten: settle it first", e.Dot, e.State)
}

// NoBaseError says that a copy does not have the base on which a record stands.
type NoBaseError struct{ Found, Wants uint64 }

func (e *NoBaseError) Error() string {
	return fmt.Sprintf("a record under fence %d came to a copy with the base of %d: send it the base first", e.Wants, e.Found)
}

// FenceGate is the rule by which a copy takes records: none under a fence older than the newest it knows, and none without
// the base that it stands on. Both numbers last.
type FenceGate struct {
	fence, base uint64
	disabled    Guard
}

// NewFenceGate returns the keeper of a copy that knows fence and has the base of another. One that lost its folder knows
// neither what it promised nor what it had: it begins at one more than the newest fence that the council gave, and is not
// read before it has a base again. Guards are switched off for checks only.
func NewFenceGate(fence, base uint64, off Guard) *FenceGate { return &FenceGate{fence, base, off} }

// RaiseFence notes that a holder with this fence reads what is kept here: older ones are refused from here on.
func (k *FenceGate) RaiseFence(fence uint64) { k.fence = max(k.fence, fence) }

// Base is the fence of the newest base here.
func (k *FenceGate) Base() uint64 { return k.base }

// Admit reports whether the record may be kept.
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
