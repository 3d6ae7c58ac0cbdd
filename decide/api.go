// Package decide chooses, inside a client library of a replicated store, the
// member that each read and write goes to.
//
// A front, the process that serves the clients, builds one [Router] with [New],
// passes events to [Router.Step] and carries out the returned actions in order.
// The router does no I/O, starts no goroutine and reads no clock: the same seed
// and the same events give the same actions. It is not safe for concurrent use.
//
// Time is a [time.Duration] since any fixed origin that the front picks, on a
// clock that never goes back. Log positions are points on that same clock: a
// member at position p has applied every commit made up to p. A router keeps
// no state across restarts; a front that restarts builds a new one with a new
// seed and passes it the last member list it had.
//
// Events of one Step happened at its time, in the order given. Each [Send] must
// be followed by exactly one [Outcome] event, also after the request has ended.
// The front enforces an attempt's time-out itself and reports it as TimedOut.
// The first Served outcome answers the client and ends the request; otherwise
// the router ends it with [Refuse] or [Fail]. [Wake] requests one [Timer] event.
package decide

import (
	"errors"
	"fmt"
	"time"
)

// Time is a point on the front's clock, or a duration.
type Time = time.Duration

// Effect says whether a request of a class may be repeated.
type Effect int

// The effects a class can have.
const (
	Repeatable Effect = iota // safe to repeat
	Keyed                    // members drop repeats inside KeyScope for KeyWindow
	Once                     // must never run twice
)

// Scope is the set of members that recognize the repeat of a keyed request.
type Scope int

// The scopes of a key.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// Consistency is the freshness that a class requires of the data it is answered from.
type Consistency int

// The kinds of consistency.
const (
	AnyData Consistency = iota // whatever the member holds
	Bounded                    // not older than Bound when the attempt is sent
	Session                    // every write of the session
	Fresh                      // every write committed before the request arrived
	Write                      // the request is a write: only the primary accepts it
)

// StaleReadPolicy says what a member does with a read that requires a newer position than it has.
type StaleReadPolicy int

// The policies for stale reads.
const (
	StaleReadAnswer StaleReadPolicy = iota // it doesn't check, and answers from the data it has
	StaleReadRefuse                        // it answers Misdirected
	StaleReadWait                          // it waits for replication for a time, then answers Misdirected
)

// Role is the role of a member in its group.
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
	KeyWindow     Time // how long members drop the repeat of a keyed request, from the first send
	LatencyTarget Time // an answer within this time has its full value
	Deadline      Time // how long a client waits altogether
	Value         float64
	LateValue     float64 // fraction of Value left after LatencyTarget
	Consistency   Consistency
	Bound         Time // largest age of the data, for Bounded
}

// Writes reports whether requests of the class write.
func (k *Class) Writes() bool { return k.Consistency == Write }

// HasSession reports whether requests of the class belong to sessions.
func (k *Class) HasSession() bool { return k.Consistency == Write || k.Consistency == Session }

// Tenant is a customer of the service with an agreed share of it.
type Tenant struct {
	Name  string
	Share float64 // fraction of the service, 0 to 1
	Rate  float64 // requests per second, over all fronts, that are within its share
}

// Config holds the settings a router is given at start.
type Config struct {
	Self, Fronts    int    // index of this front from 0, and the number of fronts
	Zone            string // zone of this front
	Resolution      Time   // the shortest time between two Steps
	Classes         []Class
	Tenants         []Tenant
	OverShareFactor float64 // fraction of its value that a request of a tenant beyond its share has

	MaxAttempts        int  // attempts of one request; 0 = no limit
	MaxRetryAfter      Time // longest retry delay that clients follow; 0 = clients can't be given one
	MayCancel          bool // attempts may be cancelled
	MayDuplicate       bool // two attempts of a request may be outstanding at once
	MayProbe           bool // members may be probed for a report
	ClientsMarkRetries bool // clients mark their retries as such
	ListOnRequest      bool // discovery sends the member list only on request, rather than pushing it

	StaleReads           StaleReadPolicy
	RemembersSessions    bool // session reads carry no token; the commits seen by this front count
	AnswersHavePosition  bool // every answer carries its member's log position
	AssumeCommittedAfter Time // a write whose answer may be lost counts as committed after this time; 0 = once it is answered

	SlowStartFraction float64 // fraction of its capacity that a member has when it starts
	SlowStartTime     Time    // a member has its full capacity after this time
	OverloadMultiple  float64 // a starting member fails under more than this multiple of its present capacity
	OverloadTime      Time    // sustained for this time
	UseUnlisted       bool    // a member that is no longer listed, but was not drained, may still be used
}

// Validate returns an error that names the first invalid setting.
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
			return fmt.Errorf("decide: config: class %q: latency target and deadline must be above 0, bound and key window not below 0", k.Name)
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

// Reconfigure replaces the settings, or returns an error for the first invalid one and changes nothing. What the router
// has learned stays: costs of classes by name, members, sessions, and the tokens of tenants by index. Tenants keep their
// indexes: the former ones must come first, under their names. An Arrive event with a ClassDef is handled by that
// definition, whether the new settings have the same one, another under its name or none. A request in progress keeps
// its class and the number of attempts allowed when it arrived. Like Step it must not be called concurrently.
func (r *Router) Reconfigure(cfg Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	for i := range r.cfg.Tenants {
		if i >= len(cfg.Tenants) || cfg.Tenants[i].Name != r.cfg.Tenants[i].Name {
			return fmt.Errorf("decide: config: tenant %q is not at its former index %d, want former tenants first and in their order", r.cfg.Tenants[i].Name, i)
		}
	}
	r.configure(cfg)
	return nil
}

// MaxMembers is the most members a Router keeps; further members of a longer list are not used.
const MaxMembers = 8192

// MemberState is the state of a member according to the list.
type MemberState int

// The states of a member.
const (
	Up MemberState = iota
	Draining
	Removed
)

// Member is one entry of the member list.
type Member struct {
	ID      string
	Group   int64
	Zone    string
	Kind    string
	Weight  float64
	Started Time // time of its last start; 0 = long ago
	Primary bool // it is its group's primary according to the list
	State   MemberState
}

// EventKind is the kind of an event.
type EventKind int

// The events.
const (
	ListFull             EventKind = iota // Members is the whole list
	ListSaved                             // Members is the whole list as kept from before a restart, perhaps outdated
	ListChange                            // Members are the entries that changed
	ListError                             // a Watch or Fetch failed, or the watch broke
	Arrive                                // a request arrived
	FirstByte                             // a streamed answer began and is being passed to the client
	Outcome                               // an attempt ended
	ClientGone                            // the client left or its time is up; it gets no answer from the router
	Probed                                // a probe ended
	Timer                                 // the time of a Wake has come
	PeerReport                            // other gateways report that Member is silent; with Result Served that it answers, with Role Primary that it is primary
	BudgetShares                          // this front's shares of the shared budgets changed
	DiscoveryUnreachable                  // discovery can't be reached now; an outstanding call keeps trying
	SavedListCurrent                      // the list of the last ListSaved was kept up to date by another process until now
	SavedListLimit                        // another process of the front uses a list of its own as it is for Remaining more
	DiscoveryCalled                       // a call to discovery begins
	DiscoveryFailed                       // the call ended without an answer; with Result TimedOut it had fallen silent
	DiscoveryMoved                        // discovery has moved to another address, which is called next
	ListOverride                          // Members are entries that the front's operators changed, whatever discovery lists
)

// HasList reports whether events of this kind carry members.
func (k EventKind) HasList() bool { return k.IsWholeList() || k == ListChange || k == ListOverride }

// IsWholeList reports whether events of this kind carry all members.
func (k EventKind) IsWholeList() bool { return k == ListFull || k == ListSaved }

// The budgets that fronts share, as indexes in Event.BudgetShares.
const (
	SlowStartBudget = iota // work sent to members in slow start
	ProbeBudget            // probes
	DiscoveryBudget        // calls to discovery
	TenantBudget           // requests of tenants
)

// Result is how an attempt or a probe ended.
type Result int

// The results.
const (
	Served      Result = iota
	Errored            // the member answered with an error; may have run
	Full               // the member is overloaded and refused it unread; never ran
	TimedOut           // no answer in time; may have run, may still run
	Unreachable        // no connection; never ran
	Reset              // the connection broke; may have run
	Cancelled          // cancelled; may have run
	NotSent            // never sent; never ran
	Misdirected        // the member refused it as it is not primary, or lags too much; never ran
	Rejected           // invalid; never ran, and no member would accept it
	Stale              // answered from data older than the request requires; has run, and another member may serve it
)

// Answered reports whether the member answered, in whatever way.
func (r Result) Answered() bool {
	return r == Served || r == Errored || r == Full || r == Misdirected || r == Rejected || r == Stale
}

// MayHaveRun reports whether the attempt may have had its effect.
func (r Result) MayHaveRun() bool {
	return r == Served || r == Errored || r == TimedOut || r == Reset || r == Cancelled || r == Stale
}

// Event is one thing that happened. Kind determines which fields are set; their comments name the kinds.
type Event struct {
	Kind    EventKind
	Members []Member // lists

	Request     uint64 // Arrive, FirstByte, Outcome, ClientGone
	Class       int    // Arrive: index in Config.Classes, where As is nil
	ClassDef    *Class // Arrive: the class when the front accepted the request, for fronts whose settings change; see Router.Reconfigure
	Tenant      int    // Arrive: index in Config.Tenants, -1 = none
	Group       int64  // Arrive
	Session     string // Arrive: the session, if any
	HasToken    bool   // Arrive: the session's last write is known, see TokenAge
	TokenAge    Time   // Arrive: how long ago that write was committed
	MinPosition Time   // Arrive: a read must also see every commit up to this position; 0 = only what its class requires
	IsRetry     bool   // Arrive: the client marked it as a retry
	Remaining   Time   // Arrive: how long the client will wait; DiscoveryCalled: how long the call may wait for a change; SavedListCurrent, SavedListLimit: how long that process would use the list as it is, 0 = not known
	Waited      Time   // Arrive: how long it has waited already, behind others on its connection

	Member  string // FirstByte, Outcome, Probed
	Attempt int    // FirstByte, Outcome: its number, from 0 in order of Sends
	Result  Result // Outcome, Probed, DiscoveryFailed
	Elapsed Time   // Outcome, Probed; DiscoveryMoved: since the front was told of the move
	Ended   bool   // Outcome: the request has its final answer
	Reused  bool   // Outcome: Reset of a connection that had been used before

	Role        Role // Outcome: the member's role now, if it reported one
	HasPosition bool // Outcome: Position is set
	InDoubt     bool // Outcome of a write that was not Served: it may have committed, up to Position
	Position    Time // Outcome: log position, or the commit time of a served write

	Report Report // Outcome, Probed

	BudgetShares [4]float64 // BudgetShares: the share of each budget, above 0; 1 = an even share
}

// Report is what a member last reported of itself; it may be outdated.
type Report struct {
	HasPosition bool
	Position    Time
	HasRole     bool
	Role        Role
	HasUtil     bool
	Util        float64 // fraction of its cores that is busy
}

// ActionKind is the kind of an action.
type ActionKind int

// The actions.
const (
	// Send starts an attempt of Request at Member that times out after Timeout (0 = at the deadline).
	Send   ActionKind = iota
	Cancel            // cancel Attempt of Request
	Refuse            // final answer: refused, a retry is harmless, best after RetryAfter
	Fail              // final answer: failed, it may or may not have had its effect
	Probe             // probe Member
	Wake              // give one Timer event at At
	Watch             // request list changes from discovery from now on
	Fetch             // request the whole list from discovery once
	Notify            // the router's view of Member, or of Group's primary, changed as Change says
)

// Action is one thing the front must do. Kind determines which fields are set.
type Action struct {
	Kind        ActionKind
	Request     uint64
	Member      string
	Attempt     int
	Timeout     Time
	WriteBy     Time   // Send: to be written completely by then, else not at all; 0 = any time
	MinPosition Time   // Send: a replica's answer with an older position is Stale: it was primary when last heard of
	RetryAfter  Time   // Refuse: when the client had best retry; 0 = not known
	At          Time   // Wake
	Change      Change // Notify
	Group       int64  // Notify
	Text        string // Notify: a log text, at most one per second, else empty
}

// Change is a change in the router's view of a member or group.
type Change int

// The changes.
const (
	Suspected      Change = iota // Member is silent or unreachable: it gets half-open probes only
	Recovered                    // Member answers again
	PrimaryFound                 // Member is the primary of Group, which was unknown
	PrimaryUnknown               // the primary of Group is unknown
)

// text is the log text of a Notify action.
func (a *Action) text() string {
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
