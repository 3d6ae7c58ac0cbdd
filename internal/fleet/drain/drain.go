// Package drain decides how a gateway goes out of service and comes back: with the
// council's permit, told to its peers first, what it took answered, and back by
// steps. It does no I/O, starts no goroutine and reads no clock: events with a time
// go in, acts come out.
package drain

import (
	"time"
)

// Time is a point on the owner's monotonic clock, or a span on it.
type Time = time.Duration

// State is where a gateway stands.
type State uint8

// The states.
const (
	Serving   State = iota
	Asking          // for a permit; it serves
	Leaving         // peers and the council know; it serves and takes connections still
	Draining        // it takes no connections, and answers what it took
	Out             // nothing is in work
	Returning       // it takes connections by steps
)

var names = [...]string{"serving", "asking", "leaving", "draining", "out", "returning"}

// String is the state's name in tables and JSON.
func (s State) String() string { return names[s] }

// Spans.
const (
	TermUsual   = 5 * time.Minute
	TermLeast   = 2 * time.Second
	Notice      = 500 * time.Millisecond // between the word and the closed door, so that who sends work here hears of it
	returnFor   = 10 * time.Second       // from the first connections to all
	returnLeast = 0.1                    // of the connections, at first
	SignalWait  = 400 * time.Millisecond // a stop by signal waits no longer for a permit, unless configured
)

// Config is what a machine is told.
type Config struct {
	Longest    Time // the longest that a request may take: what was taken is answered by then
	SignalWait Time // that a stop by signal waits for a permit at most
}

// Want is a wish that the gateway goes out.
type Want struct {
	Reason string
	Term   Time // of the permit
	Wait   Time // for the permit
	Signal bool // the process ends: it goes out whatever is answered
}

// Event is what happened. Several fields may be set.
type Event struct {
	Want    *Want
	Back    bool   // it is to come back
	Granted bool   // a permit was granted or renewed
	Asked   Time   // when the ask that this answers was first sent: the term counts from there
	Fence   uint64 // of the permit
	Refused string // the council refused: why
	Fenced  bool   // the council knows another fence, or none
	Recall  bool   // the council has it come back, as too many are out
}

// Act is what must be done.
type Act struct {
	Acquire  Time // ask for a permit of this term; 0 = nothing
	Renew    Time // ask for the permit's renewal by this term; 0 = nothing
	GiveBack bool
	Stop     bool    // give up what is asked for
	Tell     bool    // peers and the council are to hear the state anew
	Part     float64 // of all connections that may be open; below 0: the door is as it was
	Changed  bool    // the state changed
	Failed   string  // the wish was not granted: why
}

// Status is what is told of a machine.
type Status struct {
	State              string `json:"state"`
	Fence              uint64 `json:"fence,omitempty"`
	LeftMs             int64  `json:"left_ms,omitempty"` // of the permit
	Reason             string `json:"reason,omitempty"`
	LastRefusal        string `json:"why,omitempty"` // it is not out: the last refusal
	StopsWithoutPermit int    `json:"unasked"`       // stops by signal without a permit
	Recalls            int    `json:"recalls"`
	ExpiredPermits     int    `json:"ended"` // permits that ended while it was out
}

// Machine is one gateway's. It is its owner's alone.
type Machine struct {
	cfg                     Config
	state                   State
	since                   Time
	want                    Want
	until                   Time // of the permit, by this clock; 0 = none
	fence                   uint64
	give                    Time // the wish is given up then
	part                    float64
	asked                   bool // a renewal is under way
	why                     string
	Unasked, Recalls, Ended int
}

// New returns the machine of a gateway that serves.
func New(c Config) *Machine { return &Machine{cfg: c, part: 1} }

// State is where the gateway stands.
func (m *Machine) State() State { return m.state }

// Fence is that of the permit it holds, 0 = none.
func (m *Machine) Fence() uint64 { return m.fence }

// Signalled tells that the process is about to end.
func (m *Machine) Signalled() bool { return m.want.Signal }

// Away tells peers whether to send work elsewhere.
func (m *Machine) Away() bool { return m.state == Leaving || m.state == Draining || m.state == Out }

// Status tells of the machine.
func (m *Machine) Status(now Time) Status {
	s := Status{State: m.state.String(), Fence: m.fence, Reason: m.want.Reason, LastRefusal: m.why, StopsWithoutPermit: m.Unasked, Recalls: m.Recalls, ExpiredPermits: m.Ended}
	if m.fence != 0 {
		s.LeftMs = (m.until - now).Milliseconds()
	}
	return s
}

func (m *Machine) enter(now Time, s State, a *Act) {
	if m.state != s {
		m.state, m.since = s, now
		a.Changed, a.Tell = true, true
	}
}

// Step takes what happened by now, with how much is in work: connections that are open and requests. It is to be called
// each 100 ms at the least.
func (m *Machine) Step(now Time, e Event, busy int) Act {
	a := Act{Part: -1}
	if w := e.Want; w != nil {
		switch {
		case m.state == Serving:
			m.want, m.why = *w, ""
			if w.Signal {
				m.want.Wait = m.cfg.SignalWait
			}
			m.give = now + m.want.Wait
			m.enter(now, Asking, &a)
			a.Acquire = w.Term
		case w.Signal && m.fence != 0: // it is out, or about to be, under a permit already
			m.want.Signal = true
		case w.Signal:
			m.Unasked++
			m.want.Signal = true
			m.enter(now, Leaving, &a)
		default:
			a.Failed = "it is " + m.state.String() + " already"
		}
	}
	if e.Granted && (m.state == Asking || m.fence != 0) {
		m.asked = false
		m.until = e.Asked + m.want.Term
		m.fence = e.Fence
		if m.state == Asking {
			m.enter(now, Leaving, &a)
		}
	} else if e.Granted { // it came too late: the wish was given up
		m.fence = e.Fence
		a.GiveBack = true
	}
	if e.Refused != "" && m.state == Asking {
		m.why = e.Refused
		a.Acquire = m.want.Term // again, until the wait is over
	}
	if e.Refused != "" && m.asked {
		m.asked = false
	}
	if m.state == Asking && now >= m.give {
		a.Acquire, a.Stop = 0, true
		if m.why == "" {
			m.why = "the council did not answer"
		}
		if m.want.Signal {
			m.Unasked++
			m.enter(now, Leaving, &a)
		} else {
			a.Failed = m.why
			m.enter(now, Serving, &a)
		}
	}
	if !m.want.Signal && m.Away() {
		switch {
		case e.Recall:
			m.Recalls++
			m.back(now, &a)
		case e.Fenced || m.fence != 0 && now >= m.until: // nobody knows that it is out: it had better not be
			m.Ended++
			m.fence = 0
			m.back(now, &a)
		case e.Back:
			m.back(now, &a)
		case m.fence != 0 && !m.asked && now >= m.until-m.want.Term/2:
			m.asked = true
			a.Renew = m.want.Term
		}
	}
	if e.Back && m.state == Asking {
		a.Stop, a.Acquire, a.Failed = true, 0, "it was called back"
		m.enter(now, Serving, &a)
	}
	switch m.state {
	case Leaving:
		if now-m.since >= Notice {
			m.enter(now, Draining, &a)
			a.Part, m.part = 0, 0
		}
	case Draining:
		if busy == 0 || now-m.since >= m.cfg.Longest {
			m.enter(now, Out, &a)
		}
	case Returning:
		if p := min(1, returnLeast+(1-returnLeast)*float64(now-m.since)/float64(returnFor)); p > m.part+0.02 || p >= 1 && m.part < 1 {
			m.part = p
			a.Part = p
		}
		if m.part >= 1 {
			m.enter(now, Serving, &a)
			if m.fence != 0 {
				a.GiveBack = true
			}
		}
	}
	return a
}

func (m *Machine) back(now Time, a *Act) {
	m.asked = false
	m.enter(now, Returning, a)
	a.Stop = true
	m.part = 0
}

// Given notes that the permit was given back, or that the council knows none.
func (m *Machine) Given() { m.fence = 0 }
