// Package agreed is the state that the council agrees on: budgets of what may be
// out at once, and permits to be out. It is a deterministic state machine: it does
// no I/O, starts no goroutine, reads no clock and draws no chance, and the same
// commands in the same order give the same bytes. Time comes with the commands, as
// the council's own: it never goes back, and stands still while there is no leader.
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

// NewestFormat is the newest form of commands and snapshots that this program knows. What is newer is refused, not guessed.
// Form 1 has budgets and permits; form 2 releases, rules, health and changes of voters too. A council uses what its
// state says: it begins at the form of the program that founded it, and is raised once all voters speak the newer one.
const NewestFormat = 2

// ReleasesFormat is the form from which on there are releases, rules and changes of voters.
const ReleasesFormat = 2

// Op is what a command does. Numbers are in the log: they are never used anew.
type Op uint8

// The operations.
const (
	Tick       Op = 1 // time passes
	SetBudget  Op = 2
	Acquire    Op = 3 // a permit
	Renew      Op = 4
	GiveBack   Op = 5 // the target is seen back
	SetTargets Op = 6 // who is there, and who is out by itself
	Revoke     Op = 7 // an operator takes a permit back: its holder is fenced at once

	// From form 2 on.
	RaiseFormat   Op = 8 // all voters speak a newer form
	SetRules      Op = 9
	PlanRelease   Op = 10 // a release
	DriveRelease  Op = 11 // a process drives a release, or goes on driving it
	NextTarget    Op = 12 // the driver asks for the next target to go out
	TargetStarted Op = 13 // the driver is about to take a target out
	TargetEnded   Op = 14 // the driver has brought a target back, or not
	SteerRelease  Op = 15 // halt, resume, back
	ReportHealth  Op = 16 // how the versions serve, as gateways count
	SetZones      Op = 17 // where the zones' load goes
	OverrideZone  Op = 18 // an operator's word on a zone
	lastOp           = OverrideZone
)

// Bounds of what the state holds.
const (
	BudgetsMost  = 256
	PermitsMost  = 4096
	HistoryMost  = 4096
	DedupeMost   = 4096
	TargetsMost  = 8192
	MaxTextBytes = 256
	TermMost     = 24 * 3600 * 1000 // ms
	HistoryKeep  = 7 * 24 * 3600 * 1000
)

// Budget is how many of some targets may be out at once.
type Budget struct {
	Kind        string  `cbor:"1,keyasint" json:"of"` // gateways or members
	Zone        string  `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`
	Group       string  `cbor:"3,keyasint,omitempty" json:"group,omitempty"`
	MaxOut      int     `cbor:"4,keyasint" json:"most"`                      // -1 = no bound by number
	MaxFraction float64 `cbor:"5,keyasint,omitempty" json:"share,omitempty"` // of those that are there, rounded down; 0 = no bound by share
}

// Key names a budget: there is one for each set of targets.
func (b *Budget) Key() string { return b.Kind + "|" + b.Zone + "|" + b.Group }

func (b *Budget) key() string {
	if b == nil {
		return ""
	}
	return b.Key()
}

// Target is something that may go out.
type Target struct {
	Name  string `cbor:"1,keyasint" json:"name"` // gateway/NAME or db/NAME
	Zone  string `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`
	Group string `cbor:"3,keyasint,omitempty" json:"group,omitempty"`
	Out   bool   `cbor:"4,keyasint,omitempty" json:"out,omitempty"` // failed by itself

	// From form 2 on.
	Version       string `cbor:"5,keyasint,omitempty" json:"version,omitempty"`
	Epoch         uint64 `cbor:"6,keyasint,omitempty" json:"epoch,omitempty"`
	Primary       bool   `cbor:"7,keyasint,omitempty" json:"primary,omitempty"`
	CaughtUp      bool   `cbor:"8,keyasint,omitempty" json:"caught_up,omitempty"` // a replica that lacks little of what its group has
	BestSuccessor bool   `cbor:"9,keyasint,omitempty" json:"best,omitempty"`      // the replica that lacks least
}

func (t *Target) of() string {
	if strings.HasPrefix(t.Name, "gateway/") {
		return "gateways"
	}
	return "members"
}

// Permit lets a holder take a target out.
type Permit struct {
	Target  string `cbor:"1,keyasint" json:"target"`
	Holder  string `cbor:"2,keyasint" json:"holder"`
	Reason  string `cbor:"3,keyasint,omitempty" json:"reason,omitempty"`
	Fence   uint64 `cbor:"4,keyasint" json:"fence"`
	Until   int64  `cbor:"5,keyasint" json:"until_ms"`                    // council time
	Overdue bool   `cbor:"6,keyasint,omitempty" json:"overdue,omitempty"` // its term ended: the target counts as out until it is seen back
}

// Command is an entry of the log.
type Command struct {
	Format  int      `cbor:"1,keyasint"`
	Op      Op       `cbor:"2,keyasint"`
	At      int64    `cbor:"3,keyasint"` // council time in ms, by the leader that took it
	Client  string   `cbor:"4,keyasint,omitempty"`
	Number  uint64   `cbor:"5,keyasint,omitempty"` // of the client, growing: a command that comes twice is done once
	Actor   string   `cbor:"6,keyasint,omitempty"` // for the history
	Budget  *Budget  `cbor:"7,keyasint,omitempty"`
	Target  string   `cbor:"8,keyasint,omitempty"`
	Reason  string   `cbor:"9,keyasint,omitempty"`
	Term    int64    `cbor:"10,keyasint,omitempty"` // ms
	Fence   uint64   `cbor:"11,keyasint,omitempty"`
	Targets []Target `cbor:"12,keyasint,omitempty"`

	// From form 2 on.
	Rules    *Rules          `cbor:"13,keyasint,omitempty"`
	Release  *Release        `cbor:"14,keyasint,omitempty"` // the plan
	Name     string          `cbor:"15,keyasint,omitempty"` // of a release; "*" = all
	OK       bool            `cbor:"16,keyasint,omitempty"`
	Steer    string          `cbor:"17,keyasint,omitempty"`
	Versions []VersionHealth `cbor:"18,keyasint,omitempty"`
	To       int             `cbor:"19,keyasint,omitempty"` // the form that Raise raises to
	Zones    *ZonePlan       `cbor:"20,keyasint,omitempty"`
}

// Result is what a command gave.
type Result struct {
	OK       bool    `cbor:"1,keyasint" json:"ok"`
	Refused  string  `cbor:"2,keyasint,omitempty" json:"refused,omitempty"` // why not: the budget, who holds it and until when
	Permit   *Permit `cbor:"3,keyasint,omitempty" json:"permit,omitempty"`
	Fence    uint64  `cbor:"4,keyasint,omitempty" json:"fence,omitempty"` // of a driver
	State    string  `cbor:"5,keyasint,omitempty" json:"state,omitempty"` // of a release
	RollBack bool    `cbor:"6,keyasint,omitempty" json:"back,omitempty"`  // the target goes back to the former version
}

// Entry is a line of the history.
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

// Guard is one of the checks that keep the budgets. A checker switches them off one at a time.
type Guard uint16

// The guards.
const (
	GuardBudget  Guard = 1 << iota // no more out than the budgets say
	GuardOverdue                   // an overdue target counts as out
	GuardFence                     // only the newest fence renews or gives back
	GuardOnce                      // a command that comes twice is done once
	GuardFailed                    // who fails by itself counts as out
	GuardHeld                      // a target is held once
	GuardDriver                    // only the newest driver takes targets out
	GuardStart                     // nothing starts under a permit that ended, or after a halt
	GuardTwice                     // a target is taken out once in a step, whoever drives
	GuardBack                      // a target counts as done once it is seen back, in the version wanted
	GuardTold                      // a step is left only when its health can be told and is good
	GuardLast                      // never the last caught-up replica, never a primary beside its best successor
)

// Guards are all of them, with what each keeps.
var Guards = []struct {
	Guard Guard
	Name  string
}{
	{GuardBudget, "no more out than the budgets say"}, {GuardOverdue, "an overdue target counts as out until it is seen back"},
	{GuardFence, "only the newest fence renews or gives back"}, {GuardOnce, "a command that comes twice is done once"},
	{GuardFailed, "who fails by itself counts as out"}, {GuardHeld, "a target is held once"},
	{GuardDriver, "only the newest driver takes targets out"}, {GuardStart, "nothing starts under a permit that ended, or after a halt"},
	{GuardTwice, "a target is taken out once in a step"}, {GuardBack, "a target is done once it is seen back in the version wanted"},
	{GuardTold, "a step is left only when its health is told and good"}, {GuardLast, "never the last caught-up replica, nor primary and successor"},
}

// state is what a snapshot holds.
type state struct {
	Form    int               `cbor:"1,keyasint"`
	Time    int64             `cbor:"2,keyasint"`
	Fence   uint64            `cbor:"3,keyasint"` // the last that was given
	Index   uint64            `cbor:"4,keyasint"` // of the last command
	Budgets map[string]Budget `cbor:"5,keyasint"`
	Permits map[string]Permit `cbor:"6,keyasint"` // by target
	Targets map[string]Target `cbor:"7,keyasint"`
	Done    map[string]done   `cbor:"8,keyasint"` // by client
	History []Entry           `cbor:"9,keyasint"`

	// From form 2 on.
	Rules    Rules                   `cbor:"10,keyasint,omitzero"`
	Releases map[string]Release      `cbor:"11,keyasint,omitempty"`
	Serves   FleetHealth             `cbor:"12,keyasint,omitzero"`
	Voters   map[uint64]Voter        `cbor:"13,keyasint,omitempty"` // that were added; the first are the configuration's
	Lineage  uint64                  `cbor:"14,keyasint,omitempty"` // changes when a council is restored from one folder
	Zones    *ZonePlan               `cbor:"15,keyasint,omitempty"`
	ZoneActs map[string]ZoneOverride `cbor:"16,keyasint,omitempty"`
}

type done struct {
	Number uint64 `cbor:"1,keyasint"`
	At     int64  `cbor:"2,keyasint"`
	Result Result `cbor:"3,keyasint"`
}

// Machine is the agreed state. It is its owner's alone.
type Machine struct {
	s   state
	off Guard
}

// New returns an empty state of a form, as the program that founds a council has it. Guards are switched off for
// checkers only.
func New(form int, off Guard) *Machine {
	return &Machine{off: off, s: state{Form: min(max(form, 1), NewestFormat), Budgets: map[string]Budget{}, Permits: map[string]Permit{}, Targets: map[string]Target{}, Done: map[string]done{}}}
}

func (m *Machine) on(g Guard) bool { return m.off&g == 0 }

var encoder = func() cbor.EncMode {
	e, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err) // constants
	}
	return e
}()

// Encode is the command as the log holds it.
func (c *Command) Encode() []byte {
	b, err := encoder.Marshal(c)
	if err != nil {
		panic(err) // plain fields
	}
	return b
}

var (
	errForm  = errors.New("agreed: of a form newer than this program knows")
	errState = errors.New("agreed: a snapshot that makes no sense")
)

// Decode reads a command. One of a newer form is an error: a process that can't do what was agreed must stop.
func Decode(b []byte) (*Command, error) {
	c := new(Command)
	if err := cbor.Unmarshal(b, c); err != nil {
		return nil, err
	}
	if c.Format > NewestFormat || c.Op < Tick || c.Op > lastOp {
		return nil, fmt.Errorf("%w: form %d, operation %d", errForm, c.Format, c.Op)
	}
	return c, nil
}

// Snapshot is the state's bytes.
func (m *Machine) Snapshot() []byte {
	b, err := encoder.Marshal(&m.s)
	if err != nil {
		panic(err) // plain fields
	}
	return b
}

// Restore takes over a snapshot.
func (m *Machine) Restore(b []byte) error {
	var s state
	if err := cbor.Unmarshal(b, &s); err != nil {
		return err
	}
	if s.Form > NewestFormat {
		return errForm
	}
	if s.Budgets == nil || s.Permits == nil || s.Targets == nil || s.Done == nil {
		return errState
	}
	m.s = s
	return nil
}

// Time is the council's time in milliseconds.
func (m *Machine) Time() int64 { return m.s.Time }

// Index is that of the last command.
func (m *Machine) Index() uint64 { return m.s.Index }

// Budgets are all budgets, in the order of their keys.
func (m *Machine) Budgets() (all []Budget) {
	for _, k := range slices.Sorted(maps.Keys(m.s.Budgets)) {
		all = append(all, m.s.Budgets[k])
	}
	return all
}

// Permits are all permits, in the order of their targets.
func (m *Machine) Permits() (all []Permit) {
	for _, k := range slices.Sorted(maps.Keys(m.s.Permits)) {
		all = append(all, m.s.Permits[k])
	}
	return all
}

// Targets are those that were reported last, in the order of their names.
func (m *Machine) Targets() (all []Target) {
	for _, k := range slices.Sorted(maps.Keys(m.s.Targets)) {
		all = append(all, m.s.Targets[k])
	}
	return all
}

// History are the last entries, the oldest first.
func (m *Machine) History() []Entry { return m.s.History }

// Permit is that of a target.
func (m *Machine) Permit(target string) (Permit, bool) {
	p, ok := m.s.Permits[target]
	return p, ok
}

// Apply does a command. The same commands give the same results everywhere.
func (m *Machine) Apply(index uint64, c *Command) Result {
	s := &m.s
	s.Index = index
	s.Time = max(s.Time, c.At) // a leader counts on from what was agreed, so it never goes back; nor if a leader erred
	m.expire()
	m.advance()
	if c.Client != "" && m.on(GuardOnce) {
		if d, ok := s.Done[c.Client]; ok && c.Number <= d.Number {
			if c.Number < d.Number {
				return Result{Refused: "an older command of this client; its result is no longer known"}
			}
			return d.Result
		}
	}
	r := m.do(c)
	m.advance()
	if c.Client != "" {
		if len(s.Done) >= DedupeMost {
			m.forgetClient()
		}
		s.Done[c.Client] = done{c.Number, s.Time, r}
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
	drop := max(0, len(s.History)-HistoryMost)
	for drop < len(s.History) && s.Time-s.History[drop].At > HistoryKeep {
		drop++
	}
	s.History = slices.Delete(s.History, 0, drop)
}

// forgetClient drops the client that was heard of least lately; by name among those of one time, so that all drop the same.
func (m *Machine) forgetClient() {
	oldest, at := "", int64(0)
	for name, d := range m.s.Done {
		if oldest == "" || d.At < at || d.At == at && name < oldest {
			oldest, at = name, d.At
		}
	}
	delete(m.s.Done, oldest)
}

// expire has permits whose term ended become overdue: their targets count as out until they are seen back.
func (m *Machine) expire() {
	for _, target := range slices.Sorted(maps.Keys(m.s.Permits)) {
		p := m.s.Permits[target]
		if p.Overdue || m.s.Time < p.Until {
			continue
		}
		p.Overdue = true
		m.s.Permits[target] = p
		m.record(Entry{Index: m.s.Index, Action: "permit ended", Target: target, Fence: p.Fence, Result: "counts as out until it is seen back"})
		if !m.on(GuardOverdue) {
			delete(m.s.Permits, target)
		}
	}
}

func refuse(format string, args ...any) Result { return Result{Refused: fmt.Sprintf(format, args...)} }

func (m *Machine) do(c *Command) Result {
	s := &m.s
	if len(c.Target) > MaxTextBytes || len(c.Actor) > MaxTextBytes || len(c.Reason) > MaxTextBytes || len(c.Client) > MaxTextBytes {
		return refuse("a text is longer than %d bytes", MaxTextBytes)
	}
	if c.Op > Revoke && c.Op != RaiseFormat && s.Form < ReleasesFormat {
		return refuse("the council works in form %d until all its voters speak form %d: upgrade them, then `reachwind fleet raise`", s.Form, ReleasesFormat)
	}
	switch c.Op {
	case Tick:
		return Result{OK: true}
	case RaiseFormat:
		if c.To <= s.Form || c.To > NewestFormat {
			return refuse("the council works in form %d, it can't be raised to %d", s.Form, c.To)
		}
		s.Form = c.To
		return Result{OK: true}
	case SetRules:
		if c.Rules == nil || c.Rules.MinInTimeFraction < 0 || c.Rules.MinInTimeFraction > 1 {
			return refuse("no rules, or a worth that is not from 0 to 1")
		}
		s.Rules = *c.Rules
		return Result{OK: true}
	case PlanRelease:
		return m.plan(c)
	case DriveRelease, NextTarget, TargetStarted, TargetEnded, SteerRelease:
		return m.release(c)
	case SetZones:
		return m.setZones(c)
	case OverrideZone:
		return m.zoneAct(c)
	case ReportHealth:
		m.health(c.Versions)
		return Result{OK: true}
	case SetBudget:
		b := c.Budget
		_, again := s.Budgets[b.key()]
		switch {
		case b == nil || b.Kind != "gateways" && b.Kind != "members":
			return refuse("a budget is of gateways or of members")
		case b.MaxOut < -1 || b.MaxFraction < 0 || b.MaxFraction > 1 || b.MaxOut == -1 && b.MaxFraction == 0:
			return refuse("most %d and share %g bound nothing, want a number from 0 or a share up to 1", b.MaxOut, b.MaxFraction)
		case len(s.Budgets) >= BudgetsMost && !again:
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
		if c.Fence != p.Fence && m.on(GuardFence) {
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
			p.Until = s.Time + min(max(c.Term, 0), TermMost)
			s.Permits[c.Target] = p
		}
		return Result{OK: true, Permit: &p}
	case SetTargets:
		if len(c.Targets) > TargetsMost {
			return refuse("%d targets, want at most %d", len(c.Targets), TargetsMost)
		}
		s.Targets = make(map[string]Target, len(c.Targets))
		for _, t := range c.Targets {
			if s.Form < ReleasesFormat { // as a voter of the former program has it
				t = Target{Name: t.Name, Zone: t.Zone, Group: t.Group, Out: t.Out}
			}
			s.Targets[t.Name] = t
		}
		return Result{OK: true}
	}
	return refuse("unknown operation %d", c.Op)
}

// acquire gives a permit where the budgets allow one more out.
func (m *Machine) acquire(c *Command) Result {
	s := &m.s
	own := strings.HasPrefix(c.Actor, "release/") && s.Permits[c.Target].Holder == c.Actor && s.Permits[c.Target].Overdue
	if why := m.bars(c.Target); why != "" && !own {
		return Result{Refused: why}
	}
	t := Target{Name: c.Target}
	if known, ok := s.Targets[c.Target]; ok {
		t = known
	}
	switch {
	case !strings.HasPrefix(c.Target, "gateway/") && !strings.HasPrefix(c.Target, "db/"):
		return refuse("target is %q, want gateway/NAME or db/NAME", c.Target)
	case c.Term <= 0 || c.Term > TermMost:
		return refuse("term is %d ms, want from 1 to %d", c.Term, TermMost)
	case len(s.Permits) >= PermitsMost:
		return refuse("there are %d permits already", len(s.Permits))
	}
	if p, ok := s.Permits[c.Target]; ok && m.on(GuardHeld) && !own { // what a release left out, it may mend: it counts as out already
		if p.Overdue {
			return refuse("%s is out since the permit %d of %s ended, and not seen back", c.Target, p.Fence, p.Holder)
		}
		return refuse("%s holds %s until %d ms", p.Holder, c.Target, p.Until)
	}
	for _, k := range slices.Sorted(maps.Keys(s.Budgets)) {
		b := s.Budgets[k]
		if !b.covers(&t) || !m.on(GuardBudget) || own {
			continue
		}
		out, all, holder := m.out(&b, c.Target)
		if most, ok := b.allows(all); ok && out+1 > most {
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

// covers tells whether a budget is about a target. One that is not known counts for every zone and group.
func (b *Budget) covers(t *Target) bool {
	return b.Kind == t.of() && (b.Zone == "" || t.Zone == "" || b.Zone == t.Zone) && (b.Group == "" || t.Group == "" || b.Group == t.Group)
}

// allows is how many may be out of so many; ok is false where the budget bounds nothing.
func (b *Budget) allows(all int) (most int, ok bool) {
	most = b.MaxOut
	if b.MaxFraction > 0 {
		if n := int(b.MaxFraction * float64(all)); most < 0 || n < most {
			most = n
		}
	}
	return most, most >= 0
}

// out counts who is out under a budget, beside one target: by permit or by itself, each once. holder tells of some.
func (m *Machine) out(b *Budget, but string) (out, all int, holder string) {
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
		if t.Out && name != but && !names[name] && m.on(GuardFailed) {
			names[name] = true
			some = append(some, name+" by itself")
		}
	}
	if len(some) > 3 {
		some = append(some[:3], "...")
	}
	return len(names), all, strings.Join(some, ", ")
}
