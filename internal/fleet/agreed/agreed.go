// Package agreed implements the replicated state machine of the council. Its state
// holds budgets (how many targets may be out of service at once), permits (which
// targets may be out now), releases, voters and the zone plan. It is deterministic: it
// does no I/O, starts no goroutine, reads no clock and uses no randomness, and the same
// commands in the same order give the same bytes. Time arrives with the commands as
// council time in milliseconds: it never goes back, and stands still while there is no
// leader.
package agreed

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// NewestFormat is the newest format version of commands and snapshots that this program knows. Newer ones are refused.
// Version 1 has budgets and permits; version 2 adds releases, rules, health and voter changes. A council uses the version
// in its state: it begins at that of the program that founded it, and is raised once all voters support a newer one.
const NewestFormat = 2

// ReleasesFormat is the first format version with releases, rules and voter changes.
const ReleasesFormat = 2

// Op is the operation of a command. The numbers are stored in the log and are never reused.
type Op uint8

// The operations.
const (
	Tick       Op = 1 // advances council time
	SetBudget  Op = 2
	Acquire    Op = 3 // takes a permit
	Renew      Op = 4
	GiveBack   Op = 5 // returns a permit: the target was seen back in service
	SetTargets Op = 6 // reports the known targets and which of them have failed
	Revoke     Op = 7 // an operator ends a permit: its holder is fenced at once

	// From format version 2 on.
	RaiseFormat   Op = 8 // all voters support a newer format version
	SetRules      Op = 9
	PlanRelease   Op = 10 // adds a release
	DriveRelease  Op = 11 // a process becomes the driver of a release, or renews its term
	NextTarget    Op = 12 // the driver requests a permit for the next target
	TargetStarted Op = 13 // the driver is about to take a target out of service
	TargetEnded   Op = 14 // the driver's command for a target succeeded or failed
	SteerRelease  Op = 15 // an operator halts, resumes or rolls back a release
	ReportHealth  Op = 16 // answer counts by version, from the gateways
	SetZones      Op = 17 // replaces the zone plan
	OverrideZone  Op = 18 // an operator overrides the planner for a zone
	lastOp           = OverrideZone
)

// Limits of the state's size. Times are in milliseconds.
const (
	MaxBudgets         = 256
	MaxPermits         = 4096
	MaxHistory         = 4096
	MaxClients         = 4096
	MaxTargets         = 8192
	MaxTextBytes       = 256
	MaxTermMs          = 24 * 3600 * 1000 // ms
	HistoryRetentionMs = 7 * 24 * 3600 * 1000
)

// Budget limits how many of a set of targets may be out of service at once.
type Budget struct {
	Kind        string  `cbor:"1,keyasint" json:"of"` // gateways or members
	Zone        string  `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`
	Group       string  `cbor:"3,keyasint,omitempty" json:"group,omitempty"`
	MaxOut      int     `cbor:"4,keyasint" json:"most"`                      // -1 = no limit by number
	MaxFraction float64 `cbor:"5,keyasint,omitempty" json:"share,omitempty"` // of the known targets, rounded down; 0 = no limit by fraction
}

// Key identifies a budget: there is one for each kind, zone and group.
func (b *Budget) Key() string { return b.Kind + "|" + b.Zone + "|" + b.Group }

func (b *Budget) key() string {
	if b == nil {
		return ""
	}
	return b.Key()
}

// Target is a gateway or a member that may be taken out of service.
type Target struct {
	Name  string `cbor:"1,keyasint" json:"name"` // gateway/NAME or db/NAME
	Zone  string `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`
	Group string `cbor:"3,keyasint,omitempty" json:"group,omitempty"`
	Out   bool   `cbor:"4,keyasint,omitempty" json:"out,omitempty"` // out of service without a permit

	// From format version 2 on.
	Version       string `cbor:"5,keyasint,omitempty" json:"version,omitempty"`
	Epoch         uint64 `cbor:"6,keyasint,omitempty" json:"epoch,omitempty"`
	Primary       bool   `cbor:"7,keyasint,omitempty" json:"primary,omitempty"`
	CaughtUp      bool   `cbor:"8,keyasint,omitempty" json:"caught_up,omitempty"` // a replica with little replication lag
	BestSuccessor bool   `cbor:"9,keyasint,omitempty" json:"best,omitempty"`      // the replica with the least replication lag
}

func (t *Target) kind() string {
	if strings.HasPrefix(t.Name, "gateway/") {
		return "gateways"
	}
	return "members"
}

// Permit allows its holder to take a target out of service.
type Permit struct {
	Target  string `cbor:"1,keyasint" json:"target"`
	Holder  string `cbor:"2,keyasint" json:"holder"`
	Reason  string `cbor:"3,keyasint,omitempty" json:"reason,omitempty"`
	Fence   uint64 `cbor:"4,keyasint" json:"fence"`
	Until   int64  `cbor:"5,keyasint" json:"until_ms"`                    // council time in ms
	Overdue bool   `cbor:"6,keyasint,omitempty" json:"overdue,omitempty"` // its term expired: the target counts as out until it is seen back
}

// Command is an entry of the log.
type Command struct {
	Format  int      `cbor:"1,keyasint"`
	Op      Op       `cbor:"2,keyasint"`
	At      int64    `cbor:"3,keyasint"` // council time in ms, set by the leader that accepted it
	Client  string   `cbor:"4,keyasint,omitempty"`
	Number  uint64   `cbor:"5,keyasint,omitempty"` // increases with each command of a client, so that repeats are detected
	Actor   string   `cbor:"6,keyasint,omitempty"` // recorded in the history
	Budget  *Budget  `cbor:"7,keyasint,omitempty"`
	Target  string   `cbor:"8,keyasint,omitempty"`
	Reason  string   `cbor:"9,keyasint,omitempty"`
	Term    int64    `cbor:"10,keyasint,omitempty"` // in ms
	Fence   uint64   `cbor:"11,keyasint,omitempty"`
	Targets []Target `cbor:"12,keyasint,omitempty"`

	// From format version 2 on.
	Rules    *Rules          `cbor:"13,keyasint,omitempty"`
	Release  *Release        `cbor:"14,keyasint,omitempty"` // the release to add
	Name     string          `cbor:"15,keyasint,omitempty"` // of a release or zone; "*" = all releases
	OK       bool            `cbor:"16,keyasint,omitempty"`
	Steer    string          `cbor:"17,keyasint,omitempty"`
	Versions []VersionHealth `cbor:"18,keyasint,omitempty"`
	To       int             `cbor:"19,keyasint,omitempty"` // the format version that RaiseFormat sets
	Zones    *ZonePlan       `cbor:"20,keyasint,omitempty"`
}

// Result is the outcome of a command.
type Result struct {
	OK       bool    `cbor:"1,keyasint" json:"ok"`
	Refused  string  `cbor:"2,keyasint,omitempty" json:"refused,omitempty"` // the reason, e.g. the budget, who uses it and until when
	Permit   *Permit `cbor:"3,keyasint,omitempty" json:"permit,omitempty"`
	Fence    uint64  `cbor:"4,keyasint,omitempty" json:"fence,omitempty"` // of the release's driver
	State    string  `cbor:"5,keyasint,omitempty" json:"state,omitempty"` // of the release
	RollBack bool    `cbor:"6,keyasint,omitempty" json:"back,omitempty"`  // the target returns to the former version
}

// Entry is one history record.
type Entry struct {
	At     int64  `cbor:"1,keyasint" json:"at_ms"`
	Index  uint64 `cbor:"2,keyasint" json:"index"`
	Actor  string `cbor:"3,keyasint,omitempty" json:"who,omitempty"`
	Action string `cbor:"4,keyasint" json:"what"`
	Target string `cbor:"5,keyasint,omitempty" json:"target,omitempty"`
	Fence  uint64 `cbor:"6,keyasint,omitempty" json:"fence,omitempty"`
	Result string `cbor:"7,keyasint,omitempty" json:"result,omitempty"`
	Number uint64 `cbor:"8,keyasint,omitempty" json:"number,omitempty"` // of the client's command
	OK     bool   `cbor:"9,keyasint,omitempty" json:"ok"`
}

// Guard is one of the safety checks of the state machine. Tests switch them off one at a time to show that each is needed.
type Guard uint16

// The guards.
const (
	GuardBudget      Guard = 1 << iota // no more targets are out than the budgets allow
	GuardOverdue                       // an overdue target counts as out
	GuardFence                         // only the newest fence can renew or return a permit
	GuardDedupe                        // a repeated command is executed once
	GuardFailed                        // a failed target counts as out
	GuardHeld                          // a target has at most one permit
	GuardDriver                        // only the newest driver takes targets out
	GuardStart                         // no target is taken out under an expired permit or after a halt
	GuardOncePerStep                   // a target is taken out once in a step, whichever process drives
	GuardSeenBack                      // a target is done only once it is seen back in the wanted version
	GuardHealth                        // a step ends only when its health is known to be good
	GuardGroupSafety                   // never the last caught-up replica, nor a primary and its best successor together
)

// Guards lists all guards with the property that each ensures.
var Guards = []struct {
	Guard Guard
	Name  string
}{
	{GuardBudget, "no more out than the budgets say"}, {GuardOverdue, "an overdue target counts as out until it is seen back"},
	{GuardFence, "only the newest fence renews or gives back"}, {GuardDedupe, "a command that comes twice is done once"},
	{GuardFailed, "who fails by itself counts as out"}, {GuardHeld, "a target is held once"},
	{GuardDriver, "only the newest driver takes targets out"}, {GuardStart, "nothing starts under a permit that ended, or after a halt"},
	{GuardOncePerStep, "a target is taken out once in a step"}, {GuardSeenBack, "a target is done once it is seen back in the version wanted"},
	{GuardHealth, "a step is left only when its health is told and good"}, {GuardGroupSafety, "never the last caught-up replica, nor primary and successor"},
}

// state is the content of a snapshot.
type state struct {
	Format      int                     `cbor:"1,keyasint"`
	Time        int64                   `cbor:"2,keyasint"`
	Fence       uint64                  `cbor:"3,keyasint"` // the last one issued
	Index       uint64                  `cbor:"4,keyasint"` // of the last command
	Budgets     map[string]Budget       `cbor:"5,keyasint"`
	Permits     map[string]Permit       `cbor:"6,keyasint"` // by target
	Targets     map[string]Target       `cbor:"7,keyasint"`
	LastResults map[string]clientResult `cbor:"8,keyasint"` // by client
	History     []Entry                 `cbor:"9,keyasint"`

	// From format version 2 on.
	Rules         Rules                   `cbor:"10,keyasint,omitzero"`
	Releases      map[string]Release      `cbor:"11,keyasint,omitempty"`
	FleetHealth   FleetHealth             `cbor:"12,keyasint,omitzero"`
	Voters        map[uint64]Voter        `cbor:"13,keyasint,omitempty"` // added after the council was founded; the founding voters are in the configuration
	Lineage       uint64                  `cbor:"14,keyasint,omitempty"` // changes when the council is restored from one voter's folder
	Zones         *ZonePlan               `cbor:"15,keyasint,omitempty"`
	ZoneOverrides map[string]ZoneOverride `cbor:"16,keyasint,omitempty"`
}

type clientResult struct {
	Number uint64 `cbor:"1,keyasint"`
	At     int64  `cbor:"2,keyasint"`
	Result Result `cbor:"3,keyasint"`
}

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	s              state
	disabledGuards Guard
}

// New returns an empty state of the given format version, clamped to the known ones, for a council that is founded. Only
// tests and simulations disable guards.
func New(form int, off Guard) *Machine {
	return &Machine{disabledGuards: off, s: state{Format: min(max(form, 1), NewestFormat), Budgets: map[string]Budget{}, Permits: map[string]Permit{}, Targets: map[string]Target{}, LastResults: map[string]clientResult{}}}
}

func (m *Machine) guarded(g Guard) bool { return m.disabledGuards&g == 0 }

var encoder = func() cbor.EncMode {
	e, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err) // constants
	}
	return e
}()

// Encode returns the command as stored in the log.
func (c *Command) Encode() []byte {
	b, err := encoder.Marshal(c)
	if err != nil {
		panic(err) // plain fields
	}
	return b
}

var (
	errNewerFormat = errors.New("agreed: of a form newer than this program knows")
	errBadSnapshot = errors.New("agreed: a snapshot that makes no sense")
)

// Decode parses a command. A newer format version or an unknown operation is an error: a process that can't apply an
// agreed command must stop.
func Decode(b []byte) (*Command, error) {
	c := new(Command)
	if err := cbor.Unmarshal(b, c); err != nil {
		return nil, err
	}
	if c.Format > NewestFormat || c.Op < Tick || c.Op > lastOp {
		return nil, fmt.Errorf("%w: form %d, operation %d", errNewerFormat, c.Format, c.Op)
	}
	return c, nil
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte {
	b, err := encoder.Marshal(&m.s)
	if err != nil {
		panic(err) // plain fields
	}
	return b
}

// Restore replaces the state by a snapshot. On an error the state is unchanged.
func (m *Machine) Restore(b []byte) error {
	var s state
	if err := cbor.Unmarshal(b, &s); err != nil {
		return err
	}
	if s.Format > NewestFormat {
		return errNewerFormat
	}
	if s.Budgets == nil || s.Permits == nil || s.Targets == nil || s.LastResults == nil {
		return errBadSnapshot
	}
	m.s = s
	return nil
}

// Time returns the council time in milliseconds.
func (m *Machine) Time() int64 { return m.s.Time }

// Index returns the log index of the last command.
func (m *Machine) Index() uint64 { return m.s.Index }

// Budgets returns all budgets, ordered by key.
func (m *Machine) Budgets() (all []Budget) {
	for _, k := range slices.Sorted(maps.Keys(m.s.Budgets)) {
		all = append(all, m.s.Budgets[k])
	}
	return all
}

// Permits returns all permits, ordered by target.
func (m *Machine) Permits() (all []Permit) {
	for _, k := range slices.Sorted(maps.Keys(m.s.Permits)) {
		all = append(all, m.s.Permits[k])
	}
	return all
}

// Targets returns the targets of the last report, ordered by name.
func (m *Machine) Targets() (all []Target) {
	for _, k := range slices.Sorted(maps.Keys(m.s.Targets)) {
		all = append(all, m.s.Targets[k])
	}
	return all
}

// History returns the retained entries, oldest first. The caller must not change them.
func (m *Machine) History() []Entry { return m.s.History }

// Permit returns the permit of a target.
func (m *Machine) Permit(target string) (Permit, bool) {
	p, ok := m.s.Permits[target]
	return p, ok
}

// Apply executes a committed command. The same commands in the same order give the same results on every voter.
func (m *Machine) Apply(index uint64, c *Command) Result {
	s := &m.s
	s.Index = index
	s.Time = max(s.Time, c.At) // leaders continue from the agreed time; max also holds if a leader is wrong
	m.expire()
	m.advance()
	if c.Client != "" && m.guarded(GuardDedupe) {
		if d, ok := s.LastResults[c.Client]; ok && c.Number <= d.Number {
			if c.Number < d.Number {
				return Result{Refused: "an older command of this client; its result is no longer known"}
			}
			return d.Result
		}
	}
	r := m.execute(c)
	m.advance()
	if c.Client != "" {
		if len(s.LastResults) >= MaxClients {
			m.evictClient()
		}
		s.LastResults[c.Client] = clientResult{c.Number, s.Time, r}
	}
	if c.Op != Tick && c.Op != SetTargets && c.Op != ReportHealth && c.Op != SetZones && !((c.Op == Renew || c.Op == DriveRelease || c.Op == NextTarget) && (r.OK || c.Op == NextTarget)) {
		result := "done"
		if !r.OK {
			result = r.Refused
		}
		fence := c.Fence
		if r.Permit != nil {
			fence = r.Permit.Fence
		}
		m.record(Entry{Index: index, Actor: c.Actor, Action: opNames[c.Op] + c.Steer, Target: cmp.Or(c.Target, c.Name), Fence: fence, Result: result, Number: c.Number, OK: r.OK})
	}
	return r
}

var opNames = map[Op]string{SetBudget: "budget set", Acquire: "permit asked", Renew: "permit renewed", GiveBack: "given back", Revoke: "permit revoked",
	RaiseFormat: "form raised", SetRules: "rules set", PlanRelease: "release planned", DriveRelease: "driver", NextTarget: "next target", TargetStarted: "target out", TargetEnded: "target brought back", SteerRelease: "release ", OverrideZone: "zone "}

func (m *Machine) record(e Entry) {
	s := &m.s
	e.At = s.Time
	s.History = append(s.History, e)
	drop := max(0, len(s.History)-MaxHistory)
	for drop < len(s.History) && s.Time-s.History[drop].At > HistoryRetentionMs {
		drop++
	}
	s.History = slices.Delete(s.History, 0, drop)
}

// evictClient drops the least recently active client; ties are broken by name, so that all voters drop the same one.
func (m *Machine) evictClient() {
	oldest, at := "", int64(0)
	for name, d := range m.s.LastResults {
		if oldest == "" || d.At < at || d.At == at && name < oldest {
			oldest, at = name, d.At
		}
	}
	delete(m.s.LastResults, oldest)
}

// expire marks permits as overdue once their term ends: their targets count as out until they are seen back.
func (m *Machine) expire() {
	for _, target := range slices.Sorted(maps.Keys(m.s.Permits)) {
		p := m.s.Permits[target]
		if p.Overdue || m.s.Time < p.Until {
			continue
		}
		p.Overdue = true
		m.s.Permits[target] = p
		m.record(Entry{Index: m.s.Index, Action: "permit ended", Target: target, Fence: p.Fence, Result: "counts as out until it is seen back"})
		if !m.guarded(GuardOverdue) {
			delete(m.s.Permits, target)
		}
	}
}

func refuse(format string, args ...any) Result { return Result{Refused: fmt.Sprintf(format, args...)} }

func (m *Machine) execute(c *Command) Result {
	s := &m.s
	if len(c.Target) > MaxTextBytes || len(c.Actor) > MaxTextBytes || len(c.Reason) > MaxTextBytes || len(c.Client) > MaxTextBytes {
		return refuse("a text is longer than %d bytes", MaxTextBytes)
	}
	if c.Op > Revoke && c.Op != RaiseFormat && s.Format < ReleasesFormat {
		return refuse("the council works in form %d until all its voters speak form %d: upgrade them, then `reachwind fleet raise`", s.Format, ReleasesFormat)
	}
	switch c.Op {
	case Tick:
		return Result{OK: true}
	case RaiseFormat:
		if c.To <= s.Format || c.To > NewestFormat {
			return refuse("the council works in form %d, it can't be raised to %d", s.Format, c.To)
		}
		s.Format = c.To
		return Result{OK: true}
	case SetRules:
		if c.Rules == nil || c.Rules.MinInTimeFraction < 0 || c.Rules.MinInTimeFraction > 1 {
			return refuse("no rules, or a worth that is not from 0 to 1")
		}
		s.Rules = *c.Rules
		return Result{OK: true}
	case PlanRelease:
		return m.planRelease(c)
	case DriveRelease, NextTarget, TargetStarted, TargetEnded, SteerRelease:
		return m.applyRelease(c)
	case SetZones:
		return m.setZones(c)
	case OverrideZone:
		return m.overrideZone(c)
	case ReportHealth:
		m.applyHealth(c.Versions)
		return Result{OK: true}
	case SetBudget:
		b := c.Budget
		_, again := s.Budgets[b.key()]
		switch {
		case b == nil || b.Kind != "gateways" && b.Kind != "members":
			return refuse("a budget is of gateways or of members")
		case b.MaxOut < -1 || b.MaxFraction < 0 || b.MaxFraction > 1 || b.MaxOut == -1 && b.MaxFraction == 0:
			return refuse("most %d and share %g bound nothing, want a number from 0 or a share up to 1", b.MaxOut, b.MaxFraction)
		case len(s.Budgets) >= MaxBudgets && !again:
			return refuse("there are %d budgets already", len(s.Budgets))
		}
		s.Budgets[b.Key()] = *b
		return Result{OK: true}
	case Acquire:
		return m.acquire(c)
	case Renew, GiveBack, Revoke:
		p, ok := s.Permits[c.Target]
		if !ok {
			return refuse("%s holds no permit", c.Target)
		}
		if c.Fence != p.Fence && m.guarded(GuardFence) {
			return refuse("fence %d of %s is of the past, the permit that holds is %d of %s", c.Fence, c.Target, p.Fence, p.Holder)
		}
		switch {
		case c.Op == GiveBack:
			delete(s.Permits, c.Target)
		case c.Op == Revoke:
			p.Until, p.Overdue = s.Time, true
			s.Permits[c.Target] = p
		case p.Overdue:
			return refuse("the permit of %s ended, it can't be renewed", c.Target)
		default:
			p.Until = s.Time + min(max(c.Term, 0), MaxTermMs)
			s.Permits[c.Target] = p
		}
		return Result{OK: true, Permit: &p}
	case SetTargets:
		if len(c.Targets) > MaxTargets {
			return refuse("%d targets, want at most %d", len(c.Targets), MaxTargets)
		}
		s.Targets = make(map[string]Target, len(c.Targets))
		for _, t := range c.Targets {
			if s.Format < ReleasesFormat { // voters of the previous program version store only these fields
				t = Target{Name: t.Name, Zone: t.Zone, Group: t.Group, Out: t.Out}
			}
			s.Targets[t.Name] = t
		}
		return Result{OK: true}
	}
	return refuse("unknown operation %d", c.Op)
}

// acquire issues a permit if the rules and budgets allow one more target to be out.
func (m *Machine) acquire(c *Command) Result {
	s := &m.s
	own := strings.HasPrefix(c.Actor, "release/") && s.Permits[c.Target].Holder == c.Actor && s.Permits[c.Target].Overdue
	if why := m.blockedBy(c.Target); why != "" && !own {
		return Result{Refused: why}
	}
	t := Target{Name: c.Target}
	if known, ok := s.Targets[c.Target]; ok {
		t = known
	}
	switch {
	case !strings.HasPrefix(c.Target, "gateway/") && !strings.HasPrefix(c.Target, "db/"):
		return refuse("target is %q, want gateway/NAME or db/NAME", c.Target)
	case c.Term <= 0 || c.Term > MaxTermMs:
		return refuse("term is %d ms, want from 1 to %d", c.Term, MaxTermMs)
	case len(s.Permits) >= MaxPermits:
		return refuse("there are %d permits already", len(s.Permits))
	}
	if p, ok := s.Permits[c.Target]; ok && m.guarded(GuardHeld) && !own { // a release may retry a target that it left out: it counts as out already
		if p.Overdue {
			return refuse("%s is out since the permit %d of %s ended, and not seen back", c.Target, p.Fence, p.Holder)
		}
		return refuse("%s holds %s until %d ms", p.Holder, c.Target, p.Until)
	}
	for _, k := range slices.Sorted(maps.Keys(s.Budgets)) {
		b := s.Budgets[k]
		if !b.covers(&t) || !m.guarded(GuardBudget) || own {
			continue
		}
		out, all, holder := m.countOut(&b, c.Target)
		if most, ok := b.limit(all); ok && out+1 > most {
			why := fmt.Sprintf("budget of %s", b.Kind)
			if b.Zone != "" {
				why += " in zone " + b.Zone
			}
			if b.Group != "" {
				why += " of group " + b.Group
			}
			return refuse("%s: %d may be out, %d are: %s", why, most, out, holder)
		}
	}
	s.Fence++
	p := Permit{Target: c.Target, Holder: c.Actor, Reason: c.Reason, Fence: s.Fence, Until: s.Time + c.Term}
	s.Permits[c.Target] = p
	return Result{OK: true, Permit: &p}
}

// covers reports whether a budget applies to a target. A target of unknown zone or group counts in every one.
func (b *Budget) covers(t *Target) bool {
	return b.Kind == t.kind() && (b.Zone == "" || t.Zone == "" || b.Zone == t.Zone) && (b.Group == "" || t.Group == "" || b.Group == t.Group)
}

// limit returns how many of all targets may be out; ok is false if the budget sets no limit.
func (b *Budget) limit(all int) (most int, ok bool) {
	most = b.MaxOut
	if b.MaxFraction > 0 {
		if n := int(b.MaxFraction * float64(all)); most < 0 || n < most {
			most = n
		}
	}
	return most, most >= 0
}

// countOut counts the targets of a budget that are out by permit or have failed, each once, without the target but. all is the
// number of known targets; holder describes up to three of those that are out.
func (m *Machine) countOut(b *Budget, but string) (out, all int, holder string) {
	s := &m.s
	names := map[string]bool{}
	var some []string
	for _, target := range slices.Sorted(maps.Keys(s.Permits)) {
		p := s.Permits[target]
		t := Target{Name: target}
		if known, ok := s.Targets[target]; ok {
			t = known
		}
		if target != but && b.covers(&t) {
			names[target] = true
			until := fmt.Sprintf("until %d ms", p.Until)
			if p.Overdue {
				until = "overdue"
			}
			some = append(some, fmt.Sprintf("%s by %s %s", target, p.Holder, until))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.Targets)) {
		t := s.Targets[name]
		if !b.covers(&t) {
			continue
		}
		all++
		if t.Out && name != but && !names[name] && m.guarded(GuardFailed) {
			names[name] = true
			some = append(some, name+" by itself")
		}
	}
	if len(some) > 3 {
		some = append(some[:3], "...")
	}
	return len(names), all, strings.Join(some, ", ")
}
