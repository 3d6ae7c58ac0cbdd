// Package quota divides budgets between gateways that know each other. Each gateway has a base share of
// its own that needs no communication, and lends what it does not use of it to others for a limited term.
// The package does no I/O, starts no goroutine and reads no clock.
//
// The sum of what all gateways may use never exceeds the sum of their base shares, whatever messages are
// lost, late or repeated, and whichever gateways are paused, cut off or restarted:
//
//  1. A lender does not use what it lent until LoanTerm, and a margin for clock rate differences, have passed
//     since it decided to lend.
//  2. A borrower uses a loan until LoanTerm has passed since it sent the request that the loan answers, on its
//     own clock. It sent the request before the lender decided, so its use ends before the lender's begins
//     again.
//  3. A loan is accepted once: its number is the request's, which is used once.
//  4. A gateway that has just started may have lent before: for LoanTerm and the margin it does not use what
//     it could have lent.
//
// So clocks are never compared with each other; only their rates matter.
package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Time is a point on the owner's monotonic clock, or a duration on it.
type Time = time.Duration

// The shared budgets. Their numbers are part of the wire format and are never reused.
const (
	SlowStart      = 0 // requests to members in slow start
	Probes         = 1 // probes of members
	DiscoveryCalls = 2 // calls to discovery
	Tenants        = 3 // requests of tenants within their shares
	BudgetCount    = 4
)

// BudgetNames lists the budgets' names for tables and JSON.
var BudgetNames = [BudgetCount]string{"cold", "probes", "asks", "customers"}

const (
	// LoanTerm is how long a loan lasts.
	LoanTerm = 10 * time.Second
	// ClockMargin is how much longer a lender waits: clock rates differ by less than one in a hundred.
	ClockMargin = LoanTerm / 100
	// LendableFraction is the fraction of its base share that a gateway may lend. The rest is its own at any
	// time.
	LendableFraction = 0.5
	requestInterval  = time.Second
	maxAnswerAge     = 2 * time.Second // a loan for an older request is refused: too little of its term may be left
	maxLoans         = 64              // given or taken, per budget
	useSmoothing     = 0.2
	needMultiple     = 1.25 // quota wanted, as a multiple of recent use
	minLoan          = 0.02 // in base shares
)

// Guard is a bit set of checks that bound the sum. Test tools disable them one at a time to show that each is
// needed.
type Guard uint8

// The guards, by the rule of the package comment that they enforce.
const (
	GuardStart    Guard = 1 << iota // rule 4
	GuardTerm                       // rule 2: a loan ends, counted from its request
	GuardTakeOnce                   // rule 3
	GuardMargin                     // rule 1: the margin
	GuardLent                       // rule 1: what is lent is not used
)

// Guards lists all guards with their names as printed by test tools.
var Guards = []struct {
	Guard Guard
	Name  string
}{
	{GuardStart, "who starts does not use what it may have lent"}, {GuardTerm, "a loan ends, counted from its request"},
	{GuardTakeOnce, "a loan is taken once"}, {GuardMargin, "a lender waits for clocks that run apart"}, {GuardLent, "what is lent is not used"},
}

// Message requests a loan of a budget, or grants one.
type Message struct {
	_      struct{} `cbor:",toarray"`
	Budget uint8
	Loan   bool
	Number uint64 // of the request; its loan has the same number
	Epoch  uint64 // of the borrower's start
	Part   float64
}

// Encode returns the wire form of the message.
func (m *Message) Encode() []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return b
}

// Decode parses a message.
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
	amount float64
	until  Time
}

type request struct {
	number uint64
	peer   string
	sentAt Time
	amount float64
}

type budget struct {
	recentUse         float64 // recent use, in base shares
	loansOut, loansIn []loan
	requests          []request
	nextRequest       Time
}

// Ledger holds one gateway's loans. It is not safe for concurrent use. All amounts are in base shares: 1 is an
// even split of the budget.
type Ledger struct {
	epoch          uint64
	startedAt      Time
	now            Time
	lastRequest    uint64
	budgets        [BudgetCount]budget
	disabledGuards Guard
	Lent           int // loans given
	Taken          int
	Refused        int // loans that came late, twice or unrequested, and malformed messages
}

// New returns the ledger of a gateway that starts now. off are the guards that are switched off, for tests
// only.
func New(now Time, epoch uint64, off Guard) *Ledger {
	return &Ledger{epoch: epoch, startedAt: now, now: now, disabledGuards: off}
}

func (l *Ledger) enabled(g Guard) bool { return l.disabledGuards&g == 0 }

// SetEpoch sets a new epoch: loans for requests of the old one are refused from now on.
func (l *Ledger) SetEpoch(epoch uint64) { l.epoch = epoch }

// lentAmount returns how much of a budget is lent, or may be lent by an earlier start.
func (l *Ledger) lentAmount(b *budget) float64 {
	b.loansOut = slices.DeleteFunc(b.loansOut, func(o loan) bool { return l.now >= o.until })
	sum := 0.0
	for _, o := range b.loansOut {
		sum += o.amount
	}
	if l.enabled(GuardStart) && l.now-l.startedAt < LoanTerm+ClockMargin {
		return LendableFraction
	}
	return sum
}

// Quota returns how much this gateway may use of a budget now, in base shares.
func (l *Ledger) Quota(now Time, i int) float64 {
	l.now = max(l.now, now)
	b := &l.budgets[i]
	amount := 1.0
	if l.enabled(GuardLent) {
		amount -= l.lentAmount(b)
	}
	b.loansIn = slices.DeleteFunc(b.loansIn, func(o loan) bool { return l.enabled(GuardTerm) && l.now >= o.until })
	for _, o := range b.loansIn {
		amount += o.amount
	}
	return amount
}

// RecordUse records how much of a budget was used recently, in base shares: 1 is as much as one base share allows
// in that time.
func (l *Ledger) RecordUse(i int, used float64) {
	b := &l.budgets[i]
	b.recentUse += useSmoothing * (min(used, 1e3) - b.recentUse)
}

// need returns how much this gateway wants of a budget.
func (b *budget) need() float64 { return needMultiple * b.recentUse }

// LendableNow returns how much this gateway could lend now.
func (l *Ledger) LendableNow(now Time, i int) float64 {
	amount := l.Quota(now, i)
	b := &l.budgets[i]
	lendable := LendableFraction - l.lentAmount(b)
	if l.enabled(GuardStart) && l.now-l.startedAt < LoanTerm+ClockMargin || len(b.loansIn) > 0 || len(b.loansOut) >= maxLoans {
		return 0
	}
	return max(0, min(lendable, amount-max(b.need(), 1-LendableFraction)))
}

// Lender is a peer that may be asked for a loan, and how much it may spare.
type Lender struct {
	Name  string
	Spare float64
}

// Outgoing is a message for a peer.
type Outgoing struct {
	To      string
	Message Message
}

// RequestLoans returns loan requests for what this gateway lacks. lenders returns the peers that it may
// borrow from now.
func (l *Ledger) RequestLoans(now Time, lenders func(i int) []Lender) (out []Outgoing) {
	l.now = max(l.now, now)
	for i := range l.budgets {
		b := &l.budgets[i]
		shortfall := b.need() - l.Quota(now, i)
		if shortfall < minLoan || l.now < b.nextRequest || len(b.loansIn) >= maxLoans {
			continue
		}
		b.nextRequest = l.now + requestInterval
		b.requests = slices.DeleteFunc(b.requests, func(r request) bool { return l.now-r.sentAt > maxAnswerAge })
		from := lenders(i)
		slices.SortStableFunc(from, func(x, y Lender) int { return cmp.Compare(y.Spare, x.Spare) })
		for _, p := range from[:min(3, len(from))] {
			if want := min(shortfall, p.Spare); want >= minLoan {
				l.lastRequest++
				b.requests = append(b.requests, request{l.lastRequest, p.Name, l.now, want})
				out = append(out, Outgoing{p.Name, Message{Budget: uint8(i), Number: l.lastRequest, Epoch: l.epoch, Part: want}})
				shortfall -= want
			}
		}
	}
	return out
}

// HandleMessage handles a message of a peer and returns the loan that answers it, or nil. mayLend tells
// whether the peer may be given a loan now.
func (l *Ledger) HandleMessage(now Time, from string, m *Message, mayLend bool) *Message {
	if m.Budget >= BudgetCount || math.IsNaN(m.Part) || m.Part <= 0 {
		l.Refused++
		return nil
	}
	b := &l.budgets[m.Budget]
	if m.Loan {
		l.now = max(l.now, now)
		l.acceptLoan(b, from, m)
		return nil
	}
	amount := min(m.Part, l.LendableNow(now, int(m.Budget)))
	if !mayLend || amount < minLoan {
		return nil
	}
	term := LoanTerm
	if l.enabled(GuardMargin) {
		term += ClockMargin
	}
	b.loansOut = append(b.loansOut, loan{from, m.Number, amount, l.now + term})
	l.Lent++
	return &Message{Budget: m.Budget, Loan: true, Number: m.Number, Epoch: m.Epoch, Part: amount}
}

// acceptLoan accepts a loan if this start requested it recently and has not accepted it yet.
func (l *Ledger) acceptLoan(b *budget, from string, m *Message) {
	i := slices.IndexFunc(b.requests, func(r request) bool { return r.number == m.Number && r.peer == from })
	if i < 0 || m.Epoch != l.epoch || len(b.loansIn) >= maxLoans {
		l.Refused++
		return
	}
	r := b.requests[i]
	if l.enabled(GuardTakeOnce) {
		b.requests = slices.Delete(b.requests, i, i+1)
	}
	if l.now-r.sentAt > maxAnswerAge || m.Part > r.amount {
		l.Refused++
		return
	}
	l.Taken++
	b.loansIn = append(b.loansIn, loan{from, m.Number, m.Part, r.sentAt + LoanTerm})
}
