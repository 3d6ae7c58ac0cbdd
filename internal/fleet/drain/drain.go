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
	Serving    State = iota
	Requesting       // waits for a permit; it serves
	Leaving          // announced to peers and the council; it still serves and accepts connections
	Draining         // it accepts no connections and answers accepted requests
	Out              // nothing is in progress
	Returning        // it accepts connections in growing steps
)

var stateNames = [...]string{"serving", "asking", "leaving", "draining", "out", "returning"}

// String returns the state's name for tables and JSON.
func (s State) String() string { return stateNames[s] }

// Durations and fractions.
const (
	DefaultTerm       = 5 * time.Minute
	MinTerm           = 2 * time.Second
	AnnouncementTime  = 500 * time.Millisecond // between the announcement and refusing connections, so that peers that send work here learn of it
	returnDuration    = 10 * time.Second       // from the first connections to all
	minReturnFraction = 0.1                    // fraction of the connections at first
	DefaultSignalWait = 400 * time.Millisecond // default limit of the wait for a permit after a stop signal
)

// Config is the configuration of a Machine.
type Config struct {
	LongestRequest Time // the longest that a request may take: accepted requests are answered by then
	SignalWait     Time // limit of the wait for a permit after a stop signal
}

// Request is a request to take the gateway out of service.
type Request struct {
	Reason string
	Term   Time // of the permit
	Wait   Time // for the permit
	Signal bool // the process ends: the gateway goes out whatever the answer
}

// Event is an input to Step. Several fields may be set.
type Event struct {
	Request     *Request
	Back        bool   // the gateway is asked to return to service
	Granted     bool   // a permit was granted or renewed
	RequestedAt Time   // when the request that this answers was first sent: the term counts from there
	Fence       uint64 // of the permit
	Refused     string // the council refused: the reason
	Fenced      bool   // the council knows another fence, or none
	Recall      bool   // the council recalls it, as too many are out
}

// Actions holds the actions that the caller has to carry out.
type Actions struct {
	Acquire            Time // request a permit of this term; 0 = no action
	Renew              Time // renew the permit for this term; 0 = no action
	GiveBack           bool
	CancelRequest      bool    // cancel the request in progress
	Announce           bool    // report the state to peers and the council now
	ConnectionFraction float64 // fraction of the permitted connections that may be open; below 0: unchanged
	Changed            bool    // the state changed
	Failure            string  // the request was not granted: the reason
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
	config                                      Config
	state                                       State
	since                                       Time
	request                                     Request
	permitUntil                                 Time // end of the permit by this clock; 0 = none
	fence                                       uint64
	abandonAt                                   Time // when the request is abandoned
	connectionFraction                          float64
	renewing                                    bool // a renewal is in progress
	lastRefusal                                 string
	StopsWithoutPermit, Recalls, ExpiredPermits int
}

// New returns the machine of a gateway that serves.
func New(c Config) *Machine { return &Machine{config: c, connectionFraction: 1} }

// State returns the gateway's state.
func (m *Machine) State() State { return m.state }

// Fence returns the fence of the permit held, 0 if none.
func (m *Machine) Fence() uint64 { return m.fence }

// Signalled reports whether the process is about to end.
func (m *Machine) Signalled() bool { return m.request.Signal }

// ShouldDivert reports whether peers should send work elsewhere.
func (m *Machine) ShouldDivert() bool {
	return m.state == Leaving || m.state == Draining || m.state == Out
}

// Status returns the machine's status.
func (m *Machine) Status(now Time) Status {
	s := Status{State: m.state.String(), Fence: m.fence, Reason: m.request.Reason, LastRefusal: m.lastRefusal, StopsWithoutPermit: m.StopsWithoutPermit, Recalls: m.Recalls, ExpiredPermits: m.ExpiredPermits}
	if m.fence != 0 {
		s.LeftMs = (m.permitUntil - now).Milliseconds()
	}
	return s
}

func (m *Machine) enter(now Time, s State, a *Actions) {
	if m.state != s {
		m.state, m.since = s, now
		a.Changed, a.Announce = true, true
	}
}

// Step applies an event at time now and returns the resulting actions. busy is the number of open connections
// and requests in progress. It must be called at least every 100 ms.
func (m *Machine) Step(now Time, e Event, busy int) Actions {
	a := Actions{ConnectionFraction: -1}
	if w := e.Request; w != nil {
		switch {
		case m.state == Serving:
			m.request, m.lastRefusal = *w, ""
			if w.Signal {
				m.request.Wait = m.config.SignalWait
			}
			m.abandonAt = now + m.request.Wait
			m.enter(now, Requesting, &a)
			a.Acquire = w.Term
		case w.Signal && m.fence != 0: // it is out, or about to be, under a permit already
			m.request.Signal = true
		case w.Signal:
			m.StopsWithoutPermit++
			m.request.Signal = true
			m.enter(now, Leaving, &a)
		default:
			a.Failure = "the gateway is " + m.state.String() + " already"
		}
	}
	if e.Granted && (m.state == Requesting || m.fence != 0) {
		m.renewing = false
		m.permitUntil = e.RequestedAt + m.request.Term
		m.fence = e.Fence
		if m.state == Requesting {
			m.enter(now, Leaving, &a)
		}
	} else if e.Granted { // too late: the request was abandoned
		m.fence = e.Fence
		a.GiveBack = true
	}
	if e.Refused != "" && m.state == Requesting {
		m.lastRefusal = e.Refused
		a.Acquire = m.request.Term // retry until the wait is over
	}
	if e.Refused != "" && m.renewing {
		m.renewing = false
	}
	if m.state == Requesting && now >= m.abandonAt {
		a.Acquire, a.CancelRequest = 0, true
		if m.lastRefusal == "" {
			m.lastRefusal = "the council did not answer in time"
		}
		if m.request.Signal {
			m.StopsWithoutPermit++
			m.enter(now, Leaving, &a)
		} else {
			a.Failure = m.lastRefusal
			m.enter(now, Serving, &a)
		}
	}
	if !m.request.Signal && m.ShouldDivert() {
		switch {
		case e.Recall:
			m.Recalls++
			m.startReturn(now, &a)
		case e.Fenced || m.fence != 0 && now >= m.permitUntil: // the council no longer counts it as out, so it must return
			m.ExpiredPermits++
			m.fence = 0
			m.startReturn(now, &a)
		case e.Back:
			m.startReturn(now, &a)
		case m.fence != 0 && !m.renewing && now >= m.permitUntil-m.request.Term/2:
			m.renewing = true
			a.Renew = m.request.Term
		}
	}
	if e.Back && m.state == Requesting {
		a.CancelRequest, a.Acquire, a.Failure = true, 0, "the gateway was called back while it waited for a permit"
		m.enter(now, Serving, &a)
	}
	switch m.state {
	case Leaving:
		if now-m.since >= AnnouncementTime {
			m.enter(now, Draining, &a)
			a.ConnectionFraction, m.connectionFraction = 0, 0
		}
	case Draining:
		if busy == 0 || now-m.since >= m.config.LongestRequest {
			m.enter(now, Out, &a)
		}
	case Returning:
		if p := min(1, minReturnFraction+(1-minReturnFraction)*float64(now-m.since)/float64(returnDuration)); p > m.connectionFraction+0.02 || p >= 1 && m.connectionFraction < 1 {
			m.connectionFraction = p
			a.ConnectionFraction = p
		}
		if m.connectionFraction >= 1 {
			m.enter(now, Serving, &a)
			if m.fence != 0 {
				a.GiveBack = true
			}
		}
	}
	return a
}

func (m *Machine) startReturn(now Time, a *Actions) {
	m.renewing = false
	m.enter(now, Returning, a)
	a.CancelRequest = true
	m.connectionFraction = 0
}

// PermitReturned records that the permit was returned, or that the council knows none.
func (m *Machine) PermitReturned() { m.fence = 0 }
