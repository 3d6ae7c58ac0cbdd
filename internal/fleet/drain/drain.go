// Package drain decides how a gateway goes out of service and returns: with a permit of the council, announced
// to its peers first, with accepted requests answered, and back in steps. It does no I/O, starts no goroutine
// and reads no clock: events with a time go in, actions come out.
package drain

import (
	"time"
)

// Time is a point on the owner's monotonic clock, or a duration on it.
type Time = time.Duration

// State is a gateway's service state.
type State uint8

// The states.
const (
	Serving   State = iota
	Asking          // waits for a permit; it serves
	Leaving         // announced to peers and the council; it still serves and accepts connections
	Draining        // it accepts no connections and answers accepted requests
	Out             // nothing is in progress
	Returning       // it accepts connections in growing steps
)

var names = [...]string{"serving", "asking", "leaving", "draining", "out", "returning"}

// String returns the state's name for tables and JSON.
func (s State) String() string { return names[s] }

// Durations and fractions.
const (
	TermUsual   = 5 * time.Minute
	TermLeast   = 2 * time.Second
	Notice      = 500 * time.Millisecond // between the announcement and refusing connections, so that peers that send work here learn of it
	returnFor   = 10 * time.Second       // from the first connections to all
	returnLeast = 0.1                    // fraction of the connections at first
	SignalWait  = 400 * time.Millisecond // default limit of the wait for a permit after a stop signal
)

// Config is the configuration of a Machine.
type Config struct {
	Longest    Time // the longest that a request may take: accepted requests are answered by then
	SignalWait Time // limit of the wait for a permit after a stop signal
}

// Want is a request to take the gateway out of service.
type Want struct {
	Reason string
	Term   Time // of the permit
	Wait   Time // for the permit
	Signal bool // the process ends: the gateway goes out whatever the answer
}

// Event is an input to Step. Several fields may be set.
type Event struct {
	Want    *Want
	Back    bool   // the gateway is asked to return to service
	Granted bool   // a permit was granted or renewed
	Asked   Time   // when the request that this answers was first sent: the term counts from there
	Fence   uint64 // of the permit
	Refused string // the council refused: the reason
	Fenced  bool   // the council knows another fence, or none
	Recall  bool   // the council recalls it, as too many are out
}

// Act holds the actions that the caller has to carry out.
type Act struct {
	Acquire  Time // request a permit of this term; 0 = no action
	Renew    Time // renew the permit for this term; 0 = no action
	GiveBack bool
	Stop     bool    // cancel the request in progress
	Tell     bool    // report the state to peers and the council now
	Part     float64 // fraction of the permitted connections that may be open; below 0: unchanged
	Changed  bool    // the state changed
	Failed   string  // the request was not granted: the reason
}

// Status describes a machine to operators.
type Status struct {
	State              string `json:"state"`
	Fence              uint64 `json:"fence,omitempty"`
	LeftMs             int64  `json:"left_ms,omitempty"` // of the permit
	Reason             string `json:"reason,omitempty"`
	LastRefusal        string `json:"why,omitempty"` // the last refusal, if the gateway did not go out
	StopsWithoutPermit int    `json:"unasked"`       // stops by signal without a permit
	Recalls            int    `json:"recalls"`
	ExpiredPermits     int    `json:"ended"` // permits that ended while it was out
}

// Machine is one gateway's drain state. It is not safe for concurrent use.
type Machine struct {
	cfg                     Config
	state                   State
	since                   Time
	want                    Want
	until                   Time // end of the permit by this clock; 0 = none
	fence                   uint64
	give                    Time // when the request is abandoned
	part                    float64
	asked                   bool // a renewal is in progress
	why                     string
	Unasked, Recalls, Ended int
}

// New returns the machine of a gateway that serves.
func New(c Config) *Machine { return &Machine{cfg: c, part: 1} }

// State returns the gateway's state.
func (m *Machine) State() State { return m.state }

// Fence returns the fence of the permit held, 0 if none.
func (m *Machine) Fence() uint64 { return m.fence }

// Signalled reports whether the process is about to end.
func (m *Machine) Signalled() bool { return m.want.Signal }

// Away reports whether peers should send work elsewhere.
func (m *Machine) Away() bool { return m.state == Leaving || m.state == Draining || m.state == Out }

// Status returns the machine's status.
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

// Step applies an event at time now and returns the resulting actions. busy is the number of open connections
// and requests in progress. It must be called at least every 100 ms.
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
			a.Failed = "the gateway is " + m.state.String() + " already"
		}
	}
	if e.Granted && (m.state == Asking || m.fence != 0) {
		m.asked = false
		m.until = e.Asked + m.want.Term
		m.fence = e.Fence
		if m.state == Asking {
			m.enter(now, Leaving, &a)
		}
	} else if e.Granted { // too late: the request was abandoned
		m.fence = e.Fence
		a.GiveBack = true
	}
	if e.Refused != "" && m.state == Asking {
		m.why = e.Refused
		a.Acquire = m.want.Term // retry until the wait is over
	}
	if e.Refused != "" && m.asked {
		m.asked = false
	}
	if m.state == Asking && now >= m.give {
		a.Acquire, a.Stop = 0, true
		if m.why == "" {
			m.why = "the council did not answer in time"
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
		case e.Fenced || m.fence != 0 && now >= m.until: // the council no longer counts it as out, so it must return
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
		a.Stop, a.Acquire, a.Failed = true, 0, "the gateway was called back while it waited for a permit"
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

// Given records that the permit was returned, or that the council knows none.
func (m *Machine) Given() { m.fence = 0 }
