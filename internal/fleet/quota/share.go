// Package quota divides budgets between gateways that know each other. Each has a
// part of its own that needs no talk; what it does not use of it, it lends to one
// that asks, for a term. It does no I/O, starts no goroutine and reads no clock.
//
// The sum of what all may use never passes the sum of the own parts, whatever is
// lost, late, repeated or stopped, and whoever is cut off or starts anew:
//
//  1. What a gateway lent it does not use until Term and a margin for clocks that
//     run apart have passed since it decided to lend.
//  2. A borrower uses a loan until Term has passed since it sent the request that the loan
//     answers, on its own clock. It sent it before the lender decided, so its use ends
//     before the lender's begins again.
//  3. A loan is taken once: its number is the request's, which is used once.
//  4. A gateway that has just started may have lent before: for Term and the margin it
//     does not use what it could have lent.
//
// So no clock is compared with another, only how far each has run.
package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Time is a point on the owner's monotonic clock, or a span on it.
type Time = time.Duration

// The shared budgets. Their numbers are on the wire: they are never used anew.
const (
	SlowStart      = 0 // chances at cold members
	Probes         = 1 // of members
	DiscoveryCalls = 2 // calls of discovery
	Tenants        = 3 // requests within their shares
	BudgetCount    = 4
)

// BudgetNames are the budgets' names in tables and JSON.
var BudgetNames = [BudgetCount]string{"cold", "probes", "asks", "customers"}

const (
	// LoanTerm is how long a loan lasts.
	LoanTerm = 10 * time.Second
	// ClockMargin is what a lender waits beyond that: clocks run apart by less than one in a hundred.
	ClockMargin = LoanTerm / 100
	// LendableFraction is the part of a gateway's own part that it may lend: the rest is its own at any time.
	LendableFraction = 0.5
	askEvery         = time.Second
	answerMost       = 2 * time.Second // a loan that answers an older request is left: too little of its term may be left
	loansMost        = 64              // out or in, of one budget
	useBlend         = 0.2
	needTimes        = 1.25 // what is held ready above what was used lately
	leastLoan        = 0.02 // of an own part
)

// Guard is one of the checks that keep the sum. A checker switches them off one at a time.
type Guard uint8

// The guards.
const (
	GuardStart    Guard = 1 << iota // claim 4
	GuardTerm                       // claim 2: a loan ends, counted from the request
	GuardTakeOnce                   // claim 3
	GuardMargin                     // claim 1: the margin
	GuardLent                       // claim 1: what is lent is not used
)

// Guards are all of them, with what each keeps.
var Guards = []struct {
	Guard Guard
	Name  string
}{
	{GuardStart, "who starts does not use what it may have lent"}, {GuardTerm, "a loan ends, counted from its request"},
	{GuardTakeOnce, "a loan is taken once"}, {GuardMargin, "a lender waits for clocks that run apart"}, {GuardLent, "what is lent is not used"},
}

// Message asks for a part of a budget, or lends one.
type Message struct {
	_      struct{} `cbor:",toarray"`
	Budget uint8
	Loan   bool
	Number uint64 // of the request; its loan has the same
	Epoch  uint64 // of the borrower's start
	Part   float64
}

// Encode is the message's bytes.
func (m *Message) Encode() []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // plain fields
	}
	return b
}

// Decode reads a message.
func Decode(b []byte) (*Message, error) {
	m := new(Message)
	if err := cbor.Unmarshal(b, m); err != nil {
		return nil, err
	}
	return m, nil
}

type loan struct {
	peer   string
	number uint64
	part   float64
	until  Time
}

type request struct {
	number uint64
	peer   string
	at     Time
	part   float64
}

type budget struct {
	use     float64 // used lately, in own parts
	out, in []loan
	asked   []request
	askAt   Time
}

// Ledger is one gateway's. It is its owner's alone. All parts are in units of a gateway's own part: 1 is today's split.
type Ledger struct {
	epoch   uint64
	start   Time
	now     Time
	number  uint64
	budgets [BudgetCount]budget
	off     Guard
	Lent    int // loans made
	Taken   int
	Refused int // loans that came late, twice or unasked
}

// New returns the ledger of a gateway that starts now.
func New(now Time, epoch uint64, off Guard) *Ledger {
	return &Ledger{epoch: epoch, start: now, now: now, off: off}
}

func (l *Ledger) on(g Guard) bool { return l.off&g == 0 }

// SetEpoch takes over a new epoch: requests under the old one get no loans any more.
func (l *Ledger) SetEpoch(epoch uint64) { l.epoch = epoch }

// lent is what is out of a budget, or may be.
func (l *Ledger) lent(b *budget) float64 {
	b.out = slices.DeleteFunc(b.out, func(o loan) bool { return l.now >= o.until })
	sum := 0.0
	for _, o := range b.out {
		sum += o.part
	}
	if l.on(GuardStart) && l.now-l.start < LoanTerm+ClockMargin {
		return LendableFraction
	}
	return sum
}

// Quota is what this gateway may use of a budget now, in own parts: 1 is today's split.
func (l *Ledger) Quota(now Time, i int) float64 {
	l.now = max(l.now, now)
	b := &l.budgets[i]
	part := 1.0
	if l.on(GuardLent) {
		part -= l.lent(b)
	}
	b.in = slices.DeleteFunc(b.in, func(o loan) bool { return l.on(GuardTerm) && l.now >= o.until })
	for _, o := range b.in {
		part += o.part
	}
	return part
}

// RecordUse tells how much of a budget was used lately, in own parts a time in which one part comes in.
func (l *Ledger) RecordUse(i int, parts float64) {
	b := &l.budgets[i]
	b.use += useBlend * (min(parts, 1e3) - b.use)
}

// need is what this gateway wants of a budget.
func (b *budget) need() float64 { return needTimes * b.use }

// LendableNow is what it could lend now.
func (l *Ledger) LendableNow(now Time, i int) float64 {
	part := l.Quota(now, i)
	b := &l.budgets[i]
	room := LendableFraction - l.lent(b)
	if l.on(GuardStart) && l.now-l.start < LoanTerm+ClockMargin || len(b.in) > 0 || len(b.out) >= loansMost {
		return 0
	}
	return max(0, min(room, part-max(b.need(), 1-LendableFraction)))
}

// Lender is a peer that may be asked, and what it said it could spare.
type Lender struct {
	Name  string
	Spare float64
}

// Outgoing is a message for a peer.
type Outgoing struct {
	To      string
	Message Message
}

// RequestLoans asks peers for what this gateway lacks. lenders are those that it may borrow from now.
func (l *Ledger) RequestLoans(now Time, lenders func(i int) []Lender) (out []Outgoing) {
	l.now = max(l.now, now)
	for i := range l.budgets {
		b := &l.budgets[i]
		lack := b.need() - l.Quota(now, i)
		if lack < leastLoan || l.now < b.askAt || len(b.in) >= loansMost {
			continue
		}
		b.askAt = l.now + askEvery
		b.asked = slices.DeleteFunc(b.asked, func(r request) bool { return l.now-r.at > answerMost })
		from := lenders(i)
		slices.SortStableFunc(from, func(x, y Lender) int { return cmp.Compare(y.Spare, x.Spare) })
		for _, p := range from[:min(3, len(from))] {
			if want := min(lack, p.Spare); want >= leastLoan {
				l.number++
				b.asked = append(b.asked, request{l.number, p.Name, l.now, want})
				out = append(out, Outgoing{p.Name, Message{Budget: uint8(i), Number: l.number, Epoch: l.epoch, Part: want}})
				lack -= want
			}
		}
	}
	return out
}

// HandleMessage takes a message of a peer, and returns the loan that answers it, if any. mayLend tells whether the peer may
// have one now.
func (l *Ledger) HandleMessage(now Time, from string, m *Message, mayLend bool) *Message {
	if m.Budget >= BudgetCount || math.IsNaN(m.Part) || m.Part <= 0 {
		l.Refused++
		return nil
	}
	b := &l.budgets[m.Budget]
	if m.Loan {
		l.now = max(l.now, now)
		l.borrow(b, from, m)
		return nil
	}
	part := min(m.Part, l.LendableNow(now, int(m.Budget)))
	if !mayLend || part < leastLoan {
		return nil
	}
	term := LoanTerm
	if l.on(GuardMargin) {
		term += ClockMargin
	}
	b.out = append(b.out, loan{from, m.Number, part, l.now + term})
	l.Lent++
	return &Message{Budget: m.Budget, Loan: true, Number: m.Number, Epoch: m.Epoch, Part: part}
}

// borrow takes a loan, if it was asked for by this start, and lately, and not taken yet.
func (l *Ledger) borrow(b *budget, from string, m *Message) {
	i := slices.IndexFunc(b.asked, func(r request) bool { return r.number == m.Number && r.peer == from })
	if i < 0 || m.Epoch != l.epoch || len(b.in) >= loansMost {
		l.Refused++
		return
	}
	r := b.asked[i]
	if l.on(GuardTakeOnce) {
		b.asked = slices.Delete(b.asked, i, i+1)
	}
	if l.now-r.at > answerMost || m.Part > r.part {
		l.Refused++
		return
	}
	l.Taken++
	b.in = append(b.in, loan{from, m.Number, m.Part, r.at + LoanTerm})
}
