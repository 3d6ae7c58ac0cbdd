// Package decide chooses, inside a client library of a replicated store, the
// member that each read and write goes to.
//
// A front builds one [Router] with [New], hands it what happened through
// [Router.Step] and carries out the actions that come back, in order. The
// router does no I/O, starts no goroutine and reads no clock: the same seed
// and the same events give the same actions. It is not safe for concurrent use.
//
// Time is a [time.Duration] since any fixed origin that the front picks, on a
// clock that never goes back. Log positions are points on that same clock: a
// member at position p has applied every commit made up to p. A router keeps
// no state across restarts; a front that restarts builds a new one with a new
// seed and hands it the last list it had.
//
// Events of one Step happened at its time, in the order given. Each [Send] is
// owed exactly one [Outcome] event, also after the request has ended. A front
// keeps an attempt's time-out itself and reports it as TimedOut. The first
// Served outcome answers the client and ends the request; otherwise the router
// ends it with [Refuse] or [Fail]. [Wake] asks for one [Timer] event.
package decide

import (
	"errors"
	"fmt"
	"time"
)

// Time is a point on the front's clock, or a span on it.
type Time = time.Duration

// Effect tells what repeating a request of a class may do.
type Effect int

// The effects a class can have.
const (
	Repeatable Effect = iota // safe to repeat
	Keyed                    // repeats are dropped inside KeyScope for KeyWindow
	Once                     // must never run twice
)

// Scope is the set of members that drop a keyed repeat.
type Scope int

// The scopes of a key.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// Consistency is what a class needs of the data that answers it.
type Consistency int

// The kinds of consistency.
const (
	AnyData Consistency = iota // whatever the member holds
	Bounded                    // not older than Bound when sent
	Session                    // all that the session wrote
	Fresh                      // all that was written before the request came in
	Write                      // a write: only the primary takes it
)

// StaleReadPolicy tells what a member does with a read that it is too far behind for.
type StaleReadPolicy int

// The ways of checking.
const (
	StaleReadAnswer StaleReadPolicy = iota // it answers from what it has
	StaleReadRefuse                        // it answers NotHere
	StaleReadWait                          // it waits a while, then answers NotHere
)

// Role is a member's part in its group.
type Role int

// The roles.
const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// Class describes one class of requests.
type Class struct {
	Name          string
	Effect        Effect
	KeyScope      Scope
	KeyWindow     Time // how long a keyed repeat is dropped, from the first send
	LatencyTarget Time // an answer by then has its full worth
	Deadline      Time // what a client waits in all
	Value         float64
	LateValue     float64 // part of the worth left after Aim
	Consistency   Consistency
	Bound         Time // for Bounded
}

// Writes tells whether the class's requests write.
func (k *Class) Writes() bool { return k.Consistency == Write }

// HasSession tells whether the class's requests belong to sessions.
func (k *Class) HasSession() bool { return k.Consistency == Write || k.Consistency == Session }

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Share float64 // part of the service, 0 to 1
	Rate  float64 // requests a second, over all fronts, that stay in its share
}

// Config holds the settings a router is given at start.
type Config struct {
	Self, Fronts    int    // this front's number from 0, and how many there are
	Zone            string // this front's zone
	Resolution      Time   // the shortest time between two Steps
	Classes         []Class
	Tenants         []Tenant
	OverShareFactor float64 // part of the worth left to traffic beyond a share

	MaxAttempts        int  // attempts of one request; 0 = no limit
	MaxRetryAfter      Time // longest wait a client follows; 0 = none can be told
	MayCancel          bool
	MayDuplicate       bool // two attempts of a request may be out at once
	MayProbe           bool
	ClientsMarkRetries bool // clients flag their repeats
	ListOnRequest      bool // the list of members comes only when asked for

	StaleReads           StaleReadPolicy
	RemembersSessions    bool // session reads carry no token; commits seen here count
	AnswersHavePosition  bool // every answer tells its member's log position
	AssumeCommittedAfter Time // a write counts as known so long after its member answered, though that never came; 0 = once it comes

	SlowStartFraction float64 // part of its capacity that a member starts with
	SlowStartTime     Time    // it is warm by then
	OverloadMultiple  float64 // sent more than so many times its capacity
	OverloadTime      Time    // for so long, a cold member falls over
	UseUnlisted       bool    // a member that just leaves the list may still be used
}

// Validate reports the first fault of the settings.
func (c *Config) Validate() error {
	switch {
	case len(c.Classes) == 0:
		return errors.New("decide: config: no classes")
	case c.Fronts < 1:
		return fmt.Errorf("decide: config: %d fronts", c.Fronts)
	case c.Self < 0 || c.Self >= c.Fronts:
		return fmt.Errorf("decide: config: front %d of %d", c.Self, c.Fronts)
	case c.Resolution < 0 || c.MaxRetryAfter < 0 || c.SlowStartTime < 0 || c.OverloadTime < 0:
		return errors.New("decide: config: negative time")
	case c.SlowStartFraction < 0 || c.OverloadMultiple < 0 || c.OverShareFactor < 0 || c.MaxAttempts < 0:
		return errors.New("decide: config: negative share or limit")
	case c.StaleReads < StaleReadAnswer || c.StaleReads > StaleReadWait:
		return fmt.Errorf("decide: config: unknown checks %d", c.StaleReads)
	}
	for i := range c.Classes {
		k := &c.Classes[i]
		switch {
		case k.Effect < Repeatable || k.Effect > Once:
			return fmt.Errorf("decide: config: class %q: unknown effect %d", k.Name, k.Effect)
		case k.KeyScope < ScopeAll || k.KeyScope > ScopeGroup:
			return fmt.Errorf("decide: config: class %q: unknown key scope %d", k.Name, k.KeyScope)
		case k.Consistency < AnyData || k.Consistency > Write:
			return fmt.Errorf("decide: config: class %q: unknown consistency %d", k.Name, k.Consistency)
		case k.LatencyTarget <= 0 || k.Deadline <= 0 || k.Bound < 0 || k.KeyWindow < 0:
			return fmt.Errorf("decide: config: class %q: aim and deadline must be above 0, no time below", k.Name)
		case k.Value < 0 || k.LateValue < 0:
			return fmt.Errorf("decide: config: class %q: negative worth", k.Name)
		}
	}
	for i := range c.Tenants {
		if t := &c.Tenants[i]; t.Share < 0 || t.Rate < 0 {
			return fmt.Errorf("decide: config: tenant %q: negative share", t.Name)
		}
	}
	return nil
}

// Reconfigure takes new settings from now on, or reports their first fault and changes nothing. What was learned stays:
// costs of classes by name, members, sessions, and the credit of tenants by place. Tenants keep their places: those
// of before come first, under their names. Arrive events that name their class in As are read by that, whether these
// settings hold it, hold another under its name or hold none; a request under way keeps its class and the attempts
// that were allowed when it arrived. Like Step it is the owner's to call.
func (r *Router) Reconfigure(cfg Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	for i := range r.cfg.Tenants {
		if i >= len(cfg.Tenants) || cfg.Tenants[i].Name != r.cfg.Tenants[i].Name {
			return fmt.Errorf("decide: config: tenant %q is not at its place %d", r.cfg.Tenants[i].Name, i)
		}
	}
	r.tune(cfg)
	return nil
}

// MaxMembers is how many members a Router keeps; what a longer list names beyond them is not used.
const MaxMembers = 8192

// MemberState is what the list says of a member.
type MemberState int

// The states of a member.
const (
	Up MemberState = iota
	Draining
	Removed
)

// Member is one entry of the list.
type Member struct {
	ID      string
	Group   int64
	Zone    string
	Kind    string
	Weight  float64
	Started Time // its last start; 0 = long ago
	Primary bool // the list takes it for its group's primary
	State   MemberState
}

// EventKind names an event.
type EventKind int

// The events.
const (
	ListFull             EventKind = iota // Members is the whole list
	ListSaved                             // Members is the whole list as last held, perhaps old
	ListChange                            // Members are the entries that changed
	ListError                             // a Watch or Fetch failed or the watch broke
	Arrive                                // a request came in
	FirstByte                             // a streamed answer began; it is the client's now
	Outcome                               // an attempt ended
	ClientGone                            // the client left or its time is up; no answer is owed
	Probed                                // a probe ended
	Timer                                 // a Wake came due
	PeerReport                            // other gateways say of Member that it is silent; Result Served: that it answers; Role Primary: that it said so
	BudgetShares                          // what may be used of the shared budgets changed
	DiscoveryUnreachable                  // discovery can't be reached now; a call that is out goes on trying
)

// HasList tells that an event of this kind carries members.
func (k EventKind) HasList() bool { return k == ListFull || k == ListSaved || k == ListChange }

// The budgets that fronts which know each other share, as places in Parts.
const (
	ColdBudget = iota
	ProbeBudget
	DiscoveryBudget
	TenantBudget
)

// Result tells how an attempt or a probe ended.
type Result int

// The results.
const (
	Served      Result = iota
	Errored            // the member answered with an error; may have run
	Full               // turned away unseen; never ran
	TimedOut           // no answer in time; may have run, may still run
	Unreachable        // no connection; never ran
	Reset              // the connection broke; may have run
	Cancelled          // called off; may have run
	NotSent            // never sent; never ran
	Misdirected        // turned away untouched: not primary, or too far behind
	Rejected           // turned away for what it is: never ran, and no member would take it
	Stale              // answered from data older than the request must see: has run, and another member may do
)

// Answered tells that the member answered, whatever it said.
func (r Result) Answered() bool {
	return r == Served || r == Errored || r == Full || r == Misdirected || r == Rejected || r == Stale
}

// MayHaveRun tells that the attempt may have had its effect.
func (r Result) MayHaveRun() bool {
	return r == Served || r == Errored || r == TimedOut || r == Reset || r == Cancelled || r == Stale
}

// Event is one thing that happened. Kind tells which fields count.
type Event struct {
	Kind    EventKind
	Members []Member // lists

	Request     uint64 // Arrive, FirstByte, Outcome, ClientGone
	Class       int    // Arrive: index in Config.Classes, where As is nil
	ClassDef    *Class // Arrive: the class as it was when the request was taken, for fronts whose settings change; see Router.Retune
	Tenant      int    // Arrive: index in Config.Tenants, -1 = none
	Group       int64  // Arrive
	Session     string // Arrive: the session, if any
	HasToken    bool   // Arrive: the session has a last write
	TokenAge    Time   // Arrive: how long ago that was committed
	MinPosition Time   // Arrive: a read must also see what was committed by then; 0 = no more than its class says
	IsRetry     bool   // Arrive: a client's repeat
	Remaining   Time   // Arrive: how long the client waits
	Waited      Time   // Arrive: how long it has waited already, behind others on its connection

	Member  string // FirstByte, Outcome, Probed
	Attempt int    // FirstByte, Outcome: its number, from 0 in order of Sends
	Result  Result // Outcome, Probed
	Elapsed Time   // Outcome, Probed
	Ended   bool   // Outcome: the request has its final answer
	Reused  bool   // Outcome: Reset, of a connection that had been used before

	Role        Role // Outcome: the member's role now, if told
	HasPosition bool // Outcome: Position was told
	InDoubt     bool // Outcome of a write that was not Served: it may have committed until Position
	Position    Time // Outcome: log position, or the commit time of a served write

	Report Report // Outcome, Probed

	BudgetShares [4]float64 // Parts: of each budget, 1 = this front's own part; above 0
}

// Report is what a member last said of itself; it may be some time old.
type Report struct {
	HasPosition bool
	Position    Time
	HasRole     bool
	Role        Role
	HasUtil     bool
	Util        float64 // part of its cores that is busy
}

// ActionKind names an action.
type ActionKind int

// The actions.
const (
	// Send starts an attempt of Request at Member, timed out after Timeout (0 = at the deadline).
	Send   ActionKind = iota
	Cancel            // stop waiting for Attempt of Request
	Refuse            // final answer: no, trying again is harmless, best after After
	Fail              // final answer: failed, nothing is promised
	Probe             // probe Member
	Wake              // give one Timer event at At
	Watch             // ask for list changes from now on
	Fetch             // ask for the whole list once
	Notify            // Change is newly believed of Member, or of Group's primary
)

// Action is one thing the front must do. Kind tells which fields count.
type Action struct {
	Kind        ActionKind
	Request     uint64
	Member      string
	Attempt     int
	Timeout     Time
	WriteBy     Time // Send: written whole by then, else not at all; 0 = any time
	MinPosition Time // Send: a replica's answer that tells an older position is Stale; the member has been demoted unheard
	RetryAfter  Time
	At          Time
	Change      Change // Note
	Group       int64  // Note
	Text        string // Note: the same in words, for a log; once a second at most, else empty
}

// Change is what a Note tells of.
type Change int

// The changes.
const (
	Suspected      Change = iota // Member is silent or unreachable: it gets trials only
	Recovered                    // Member answers again
	PrimaryFound                 // Member is its Group's primary, which was lost
	PrimaryUnknown               // Group's primary is unknown
)

// words tells a Note for people.
func (a *Action) words() string {
	switch a.Change {
	case Suspected:
		return a.Member + " is suspect"
	case Recovered:
		return a.Member + " answers again"
	case PrimaryFound:
		return fmt.Sprintf("primary of group %d is %s", a.Group, a.Member)
	}
	return fmt.Sprintf("primary of group %d is unknown", a.Group)
}
