package agreed

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Bounds of releases.
const (
	ReleasesMost = 64
	StepsMost    = 32
	MaxItems     = 4096
	WordsMost    = 64
	DriveMost    = 60 * 1000 // ms, a driver's term
	EndedKeep    = 7 * 24 * 3600 * 1000
)

// States of a release.
const (
	Planned     = "planned"
	Running     = "running"
	Halting     = "halting"
	Halted      = "halted"
	RollingBack = "going back"
	RolledBack  = "back"
	Finished    = "done"
	Failed      = "failed"
)

// States of an item. Forwards: waiting, granted, out, done or failed; backwards: undo, granted, out, undone or failed.
const (
	ItemWaiting = "waiting"
	ItemGranted = "granted" // may go out; the driver has not begun
	ItemOut     = "out"
	ItemDone    = "done"
	ItemFailed  = "failed"
	ItemUndo    = "undo"
	ItemUndone  = "undone"
)

// Step is a part of a release. Its targets are drawn when the release is planned: of Zone, or of all zones in turn, and
// of those not in an earlier step as many as bring the release to Count, or to Share of those that the step is of.
type Step struct {
	Name    string  `cbor:"1,keyasint" json:"name"`
	Zone    string  `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`
	Count   int     `cbor:"3,keyasint,omitempty" json:"count,omitempty"`
	Share   float64 `cbor:"4,keyasint,omitempty" json:"share,omitempty"`
	PauseMs int64   `cbor:"5,keyasint,omitempty" json:"pause_ms,omitempty"` // after its last target is back
}

// Item is a target of a release.
type Item struct {
	Target       string `cbor:"1,keyasint" json:"target"`
	Zone         string `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`
	Step         int    `cbor:"3,keyasint" json:"step"`
	State        string `cbor:"4,keyasint" json:"state"`
	Fence        uint64 `cbor:"5,keyasint,omitempty" json:"fence,omitempty"`
	Epoch        uint64 `cbor:"6,keyasint,omitempty" json:"epoch,omitempty"` // of its start before it went out
	ReportedBack bool   `cbor:"7,keyasint,omitempty" json:"said,omitempty"`  // its driver says that it brought it back
	RollBack     bool   `cbor:"8,keyasint,omitempty" json:"back,omitempty"`  // it goes back to the former version
	WasOut       bool   `cbor:"10,keyasint,omitempty" json:"left,omitempty"` // it was out already when it was granted
	TimesOut     int    `cbor:"9,keyasint,omitempty" json:"times,omitempty"` // it was taken out, either way
}

// Release is a plan and how far it has come.
type Release struct {
	Name         string       `cbor:"1,keyasint" json:"name"`
	Kind         string       `cbor:"2,keyasint" json:"of"`                          // gateways or members
	Version      string       `cbor:"3,keyasint,omitempty" json:"version,omitempty"` // what a gateway must say when it is back
	Former       string       `cbor:"4,keyasint,omitempty" json:"former,omitempty"`
	Command      []string     `cbor:"5,keyasint" json:"command"` // {target} and {version} are filled in
	UndoCommand  []string     `cbor:"6,keyasint,omitempty" json:"back,omitempty"`
	TermMs       int64        `cbor:"7,keyasint" json:"term_ms"` // of a target's permit: it must be back by then
	MaxTogether  int          `cbor:"8,keyasint" json:"together"`
	Steps        []Step       `cbor:"9,keyasint" json:"steps"`
	HealthLimits HealthLimits `cbor:"10,keyasint" json:"health"`
	AutoBack     bool         `cbor:"11,keyasint,omitempty" json:"auto_back,omitempty"` // goes back by itself once halted by health or a target

	State        string `cbor:"20,keyasint" json:"state"`
	Reason       string `cbor:"21,keyasint,omitempty" json:"why,omitempty"`
	StateSince   int64  `cbor:"22,keyasint" json:"since_ms"` // in this state
	Step         int    `cbor:"23,keyasint" json:"step"`
	StepDoneAt   int64  `cbor:"24,keyasint,omitempty" json:"step_done_ms,omitempty"` // all targets of it are back since
	Reverse      bool   `cbor:"25,keyasint,omitempty" json:"reverse,omitempty"`      // it goes, or went when it was halted, backwards
	Items        []Item `cbor:"26,keyasint" json:"items"`
	Driver       string `cbor:"27,keyasint,omitempty" json:"driver,omitempty"`
	DriverClient string `cbor:"28,keyasint,omitempty" json:"-"`
	DriverFence  uint64 `cbor:"29,keyasint,omitempty" json:"driver_fence,omitempty"`
	DriverUntil  int64  `cbor:"30,keyasint,omitempty" json:"driver_until_ms,omitempty"`
	Counts       Window `cbor:"31,keyasint" json:"seen"` // since the step began, or its last target came back
}

// Ended tells that nothing more comes of a release by itself.
func (r *Release) Ended() bool {
	return r.State == Finished || r.State == RolledBack || r.State == Failed
}

// moves tells that targets may go out.
func (r *Release) moves() bool { return r.State == Running || r.State == RollingBack }

func (r *Release) set(now int64, state, why string) {
	r.State, r.Reason, r.StateSince = state, why, now
}

// halt stops a release; what is out comes back first.
func (r *Release) halt(now int64, why string) {
	if r.moves() {
		r.Reverse = r.State == RollingBack
		r.set(now, Halting, why)
	}
}

// count is how many items are in one of some states.
func (r *Release) count(states ...string) (n int) {
	for i := range r.Items {
		if slices.Contains(states, r.Items[i].State) {
			n++
		}
	}
	return n
}

// Releases are all releases, in the order of their names.
func (m *Machine) Releases() (all []Release) {
	for _, k := range slices.Sorted(maps.Keys(m.s.Releases)) {
		all = append(all, m.s.Releases[k])
	}
	return all
}

// Release is one release.
func (m *Machine) Release(name string) (Release, bool) {
	r, ok := m.s.Releases[name]
	return r, ok
}

// NeedsTicks tells that some term runs, so that council time must be told.
func (m *Machine) NeedsTicks() bool {
	return len(m.s.Permits) > 0 || m.ReleaseActive() || m.s.Zones != nil && m.s.Time < m.s.Zones.Until
}

// ReleaseActive tells that some release moves or halts.
func (m *Machine) ReleaseActive() bool {
	for _, r := range m.s.Releases {
		if r.moves() || r.State == Halting {
			return true
		}
	}
	return false
}

// Format is the form that the council works in.
func (m *Machine) Format() int { return m.s.Form }

// Check finds what is wrong with a plan, empty if nothing.
func (r *Release) Check() string {
	bytes := 0
	for _, w := range append(slices.Clone(r.Command), r.UndoCommand...) {
		bytes += len(w)
	}
	switch {
	case r.Name == "" || len(r.Name) > MaxTextBytes || r.Name == "*":
		return fmt.Sprintf("a release's name is %q, want from 1 to %d bytes", r.Name, MaxTextBytes)
	case r.Kind != "gateways" && r.Kind != "members":
		return fmt.Sprintf("a release is of %q, want gateways or members", r.Kind)
	case len(r.Version) > MaxTextBytes || len(r.Former) > MaxTextBytes:
		return "a version is too long"
	case len(r.Command) == 0 || len(r.Command) > WordsMost || len(r.UndoCommand) > WordsMost || bytes > WordsMost*MaxTextBytes:
		return fmt.Sprintf("the command has %d words and %d bytes with that of the way back, want 1 to %d words", len(r.Command), bytes, WordsMost)
	case r.TermMs < 1000 || r.TermMs > TermMost:
		return fmt.Sprintf("a target's term is %d ms, want from 1000 to %d", r.TermMs, TermMost)
	case r.MaxTogether < 1:
		return fmt.Sprintf("%d targets together, want 1 at least", r.MaxTogether)
	case len(r.Steps) == 0 || len(r.Steps) > StepsMost:
		return fmt.Sprintf("%d steps, want from 1 to %d", len(r.Steps), StepsMost)
	}
	for _, s := range r.Steps {
		if len(s.Name) > MaxTextBytes || s.Count < 0 || s.Share < 0 || s.Share > 1 || math.IsNaN(s.Share) || (s.Count > 0) == (s.Share > 0) || s.PauseMs < 0 || s.PauseMs > TermMost {
			return fmt.Sprintf("step %q has count %d, share %g and a pause of %d ms, want a count or a share", s.Name, s.Count, s.Share, s.PauseMs)
		}
	}
	return r.HealthLimits.check()
}

// AssignTargets draws a plan's items from those that are there: by steps, over zones in turn.
func (r *Release) AssignTargets(all []Target) {
	r.Items = nil
	taken := map[string]bool{}
	for i, s := range r.Steps {
		byZone := map[string][]string{}
		size, had := 0, 0
		for _, t := range all {
			if t.of() != r.Kind || s.Zone != "" && t.Zone != s.Zone {
				continue
			}
			size++
			if taken[t.Name] {
				had++
			} else {
				byZone[t.Zone] = append(byZone[t.Zone], t.Name)
			}
		}
		want := s.Count
		if s.Share > 0 {
			want = int(math.Ceil(s.Share*float64(size) - 1e-9))
		}
		zones := slices.Sorted(maps.Keys(byZone))
		for turn := 0; had < want; turn++ {
			any := false
			for _, z := range zones {
				if turn >= len(byZone[z]) || had >= want {
					continue
				}
				name := byZone[z][turn]
				taken[name], any = true, true
				had++
				r.Items = append(r.Items, Item{Target: name, Zone: z, Step: i, State: ItemWaiting})
			}
			if !any {
				break
			}
		}
	}
}

// plan takes a new release.
func (m *Machine) plan(c *Command) Result {
	s := &m.s
	if c.Release == nil {
		return refuse("no plan")
	}
	r := *c.Release
	if why := r.Check(); why != "" {
		return Result{Refused: why}
	}
	if old, ok := s.Releases[r.Name]; ok {
		return refuse("release %s is there already, %s since %d ms", r.Name, old.State, old.StateSince)
	}
	r.AssignTargets(m.Targets())
	switch {
	case len(r.Items) == 0:
		return refuse("release %s has no targets: no %s are known in its zones", r.Name, r.Kind)
	case len(r.Items) > MaxItems:
		return refuse("release %s has %d targets, want at most %d", r.Name, len(r.Items), MaxItems)
	}
	if why := m.rival(&r); why != "" {
		return Result{Refused: why, State: CompetingRelease}
	}
	if len(s.Releases) >= ReleasesMost && !m.forgetRelease() {
		return refuse("there are %d releases that have not ended", len(s.Releases))
	}
	r.Step, r.StepDoneAt, r.Reverse, r.Driver, r.DriverClient, r.DriverFence, r.DriverUntil, r.Counts = 0, 0, false, "", "", 0, 0, Window{}
	r.set(s.Time, Planned, "")
	m.keep(&r)
	return Result{OK: true, State: r.State}
}

// CompetingRelease is the state told to a release that may not move as another one moves targets of its own.
const CompetingRelease = "rival"

// rival names a release that moves, or comes to a halt, with targets of r; empty: there is none.
func (m *Machine) rival(r *Release) string {
	for _, o := range m.Releases() {
		if o.Name != r.Name && (o.moves() || o.State == Halting) && overlap(&o, r) {
			return fmt.Sprintf("release %s, which is %s, has targets of %s", o.Name, o.State, r.Name)
		}
	}
	return ""
}

func overlap(a, b *Release) bool {
	in := map[string]bool{}
	for i := range a.Items {
		in[a.Items[i].Target] = true
	}
	for i := range b.Items {
		if in[b.Items[i].Target] {
			return true
		}
	}
	return false
}

// forgetRelease drops the release that ended first.
func (m *Machine) forgetRelease() bool {
	first := ""
	for _, r := range m.Releases() {
		if r.Ended() && (first == "" || r.StateSince < m.s.Releases[first].StateSince) {
			first = r.Name
		}
	}
	delete(m.s.Releases, first)
	return first != ""
}

func (m *Machine) keep(r *Release) {
	if m.s.Releases == nil {
		m.s.Releases = map[string]Release{}
	}
	m.s.Releases[r.Name] = *r
}

// own is a copy of a release, whose items may be changed before keep.
func (m *Machine) own(name string) (r Release, ok bool) {
	r, ok = m.s.Releases[name]
	r.Items = slices.Clone(r.Items)
	return r, ok
}

// release does what is asked of a release.
func (m *Machine) release(c *Command) Result {
	s := &m.s
	if c.Op == SteerRelease && c.Name == "*" {
		for _, r := range m.Releases() {
			r.Items = slices.Clone(r.Items)
			if c.Steer == "halt" {
				r.halt(s.Time, c.Reason)
				m.keep(&r)
			}
		}
		return Result{OK: true}
	}
	r, ok := m.own(c.Name)
	if !ok {
		return refuse("there is no release %q", c.Name)
	}
	res := Result{OK: true}
	switch c.Op {
	case SteerRelease:
		res = m.steer(&r, c)
	case DriveRelease:
		res = m.drive(&r, c)
	default:
		if m.on(GuardDriver) && (c.Fence != r.DriverFence || c.Client != r.DriverClient || s.Time >= r.DriverUntil) {
			return refuse("%s drives %s under fence %d; fence %d is of the past", r.Driver, r.Name, r.DriverFence, c.Fence)
		}
		switch c.Op {
		case NextTarget:
			res = m.next(&r)
		case TargetStarted:
			res = m.started(&r, c.Target)
		case TargetEnded:
			res = m.ended(&r, c)
		}
	}
	if res.OK {
		m.keep(&r)
		res.State = r.State
	}
	return res
}

// steer is an operator's word, or the council's own.
func (m *Machine) steer(r *Release, c *Command) Result {
	now := m.s.Time
	why := cmp.Or(c.Reason, "by "+c.Actor)
	if other := m.rival(r); other != "" && c.Steer != "halt" {
		return Result{Refused: other, State: CompetingRelease}
	}
	switch {
	case c.Steer == "halt" && r.State == Planned:
		r.set(now, Halted, why)
	case c.Steer == "halt" && r.moves():
		r.halt(now, why)
	case c.Steer == "halt" && (r.State == Halting || r.State == Halted):
	case c.Steer == "resume" && r.State == Halted: // the operator has looked at what failed: it is tried anew
		for i := range r.Items {
			it := &r.Items[i]
			if it.State == ItemFailed {
				it.State = ItemWaiting
				if r.Reverse {
					it.State = ItemUndo
				}
			}
		}
		r.Counts = Window{}
		if r.StepDoneAt > 0 {
			r.StepDoneAt = now
		}
		r.set(now, Running, why)
		if r.Reverse {
			r.State = RollingBack
		}
	case c.Steer == "back" && (r.State == Running || r.State == Halted || r.State == Halting && !r.Reverse || r.State == Finished):
		if len(r.UndoCommand) == 0 {
			return refuse("release %s has no way back: its plan names no command for it", r.Name)
		}
		m.turn(r, why)
	default:
		return refuse("release %s is %s, it can't be told to %s", r.Name, r.State, c.Steer)
	}
	return Result{OK: true}
}

// turn has a release go back. What is out forwards ends that way first.
func (m *Machine) turn(r *Release, why string) {
	for i := range r.Items {
		if it := &r.Items[i]; it.State == ItemDone || it.State == ItemFailed {
			it.State = ItemUndo
		}
	}
	r.Reverse = true
	r.set(m.s.Time, RollingBack, why)
}

// drive makes a process the driver, or renews its term. What the former driver was granted and had not begun waits
// again: its fence is of the past, so it can't begin now.
func (m *Machine) drive(r *Release, c *Command) Result {
	now := m.s.Time
	switch {
	case r.Ended():
		return refuse("release %s is %s", r.Name, r.State)
	case c.Term <= 0 || c.Term > DriveMost:
		return refuse("a driver's term is %d ms, want from 1 to %d", c.Term, DriveMost)
	case r.State == Planned && m.rival(r) != "":
		return Result{Refused: m.rival(r), State: CompetingRelease}
	case r.DriverClient == c.Client && r.DriverFence == c.Fence && r.DriverFence > 0 && now < r.DriverUntil: // renewed
	case r.DriverClient != "" && now < r.DriverUntil && m.on(GuardDriver):
		return refuse("%s drives release %s until %d ms", r.Driver, r.Name, r.DriverUntil)
	default:
		m.s.Fence++
		r.Driver, r.DriverClient, r.DriverFence = c.Actor, c.Client, m.s.Fence
		for i := range r.Items {
			if r.Items[i].State == ItemGranted {
				m.ungrant(&r.Items[i])
			}
		}
	}
	r.DriverUntil = now + c.Term
	if r.State == Planned {
		r.set(now, Running, "")
	}
	return Result{OK: true, Fence: r.DriverFence}
}

// ungrant takes back what was granted and not begun: the target did not go out by it.
func (m *Machine) ungrant(it *Item) {
	if p, ok := m.s.Permits[it.Target]; ok && p.Fence == it.Fence {
		delete(m.s.Permits, it.Target)
		if it.WasOut { // it is out still
			p.Overdue, p.Until = true, min(p.Until, m.s.Time)
			m.s.Permits[it.Target] = p
		}
	}
	it.State = ItemWaiting
	if it.RollBack {
		it.State = ItemUndo
	}
	it.Fence = 0
}

// next grants the next target that the budgets allow.
func (m *Machine) next(r *Release) Result {
	if !r.moves() {
		return Result{OK: true} // the driver sees the state and asks again, or ends
	}
	if n := r.count(ItemGranted, ItemOut); n >= r.MaxTogether {
		return refuse("%d are out, %d together as planned", n, r.MaxTogether)
	}
	why := ""
	try := func(it *Item) *Result {
		_, left := m.s.Permits[it.Target]
		res := m.acquire(&Command{Target: it.Target, Actor: "release/" + r.Name, Reason: r.State, Term: r.TermMs})
		if !res.OK {
			why = cmp.Or(why, res.Refused)
			return nil
		}
		it.Fence, it.State, it.RollBack, it.ReportedBack, it.Epoch = res.Permit.Fence, ItemGranted, r.Reverse, false, m.s.Targets[it.Target].Epoch
		it.WasOut, res.RollBack = left, r.Reverse
		return &res
	}
	if r.Reverse {
		for i := range slices.Backward(r.Items) {
			if it := &r.Items[i]; it.State == ItemUndo {
				if res := try(it); res != nil {
					return *res
				}
			}
		}
		return refuse("%s", cmp.Or(why, "all that remains is out"))
	}
	for i := range r.Items {
		it := &r.Items[i]
		if it.Step == r.Step && (it.State == ItemWaiting || !m.on(GuardTwice) && it.State == ItemDone) {
			if res := try(it); res != nil {
				return *res
			}
		}
	}
	if why == "" {
		why = m.waits(r)
	}
	return refuse("%s", why)
}

// waits says what a release that grants nothing now waits for.
func (m *Machine) waits(r *Release) string {
	step := r.Steps[r.Step].Name
	switch left := r.StepDoneAt + r.Steps[r.Step].PauseMs - m.s.Time; {
	case r.StepDoneAt == 0:
		return fmt.Sprintf("step %s: targets are out", step)
	case left > 0:
		return fmt.Sprintf("step %s is complete, it pauses for %d ms more", step, left)
	}
	_, why := r.HealthLimits.judge(r)
	return fmt.Sprintf("step %s is complete, its health is not told: %s", step, why)
}

// started notes that a target goes out now. A driver that was stopped past its term, or whose release was halted
// meanwhile, does not start it.
func (m *Machine) started(r *Release, target string) Result {
	it := r.item(target)
	if it == nil || it.State != ItemGranted {
		return refuse("%s is not granted to go out", target)
	}
	if p, ok := m.s.Permits[target]; m.on(GuardStart) && (!ok || p.Fence != it.Fence || p.Overdue || !r.moves()) {
		return refuse("the permit of %s is of the past, or the release is %s", target, r.State)
	}
	it.State = ItemOut
	it.TimesOut++
	return Result{OK: true}
}

func (r *Release) item(target string) *Item {
	for i := range r.Items {
		if r.Items[i].Target == target {
			return &r.Items[i]
		}
	}
	return nil
}

// ended takes a driver's word on how its command ended. Whether the target is back is seen, not believed.
func (m *Machine) ended(r *Release, c *Command) Result {
	it := r.item(c.Target)
	if it == nil || it.State != ItemOut {
		return refuse("%s is not out by release %s", c.Target, r.Name)
	}
	if !c.OK {
		it.State = ItemFailed
		r.halt(m.s.Time, fmt.Sprintf("%s failed: %s", c.Target, c.Reason))
		if p, ok := m.s.Permits[it.Target]; ok && p.Fence == it.Fence { // out until it is seen back
			p.Until, p.Overdue = m.s.Time, true
			m.s.Permits[it.Target] = p
		}
		return Result{OK: true}
	}
	it.ReportedBack = true
	return Result{OK: true}
}

// advance moves releases on by what is known and by time.
func (m *Machine) advance() {
	if len(m.s.Releases) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(m.s.Releases)) {
		if old := m.s.Releases[name]; !old.Ended() && old.State != Planned && old.State != Halted {
			r, _ := m.own(name)
			m.look(&r)
			m.keep(&r)
		}
	}
}

// look looks at a release's items, then at what follows from them.
func (m *Machine) look(r *Release) {
	now := m.s.Time
	for i := range r.Items {
		it := &r.Items[i]
		switch it.State {
		case ItemGranted:
			if p, ok := m.s.Permits[it.Target]; r.State == Halting || !ok || p.Fence != it.Fence || p.Overdue {
				if m.on(GuardStart) {
					m.ungrant(it)
				}
			}
		case ItemOut:
			m.returned(r, it)
		}
	}
	if r.count(ItemGranted, ItemOut) > 0 && r.State != Running {
		return
	}
	switch r.State {
	case Halting:
		auto := r.AutoBack && !r.Reverse && len(r.UndoCommand) > 0 && !strings.HasPrefix(r.Reason, "by ")
		r.set(now, Halted, r.Reason)
		if auto {
			m.turn(r, r.Reason)
		}
	case RollingBack:
		if r.count(ItemUndo) > 0 {
			return
		}
		r.set(now, RolledBack, r.Reason)
		if r.count(ItemFailed) > 0 {
			r.State = Failed
		}
	case Running:
		m.step(r)
	}
}

// returned sees whether a target that is out is back.
func (m *Machine) returned(r *Release, it *Item) {
	p, held := m.s.Permits[it.Target]
	held = held && p.Fence == it.Fence
	t, known := m.s.Targets[it.Target]
	want := r.Version
	done := ItemDone
	if it.RollBack {
		want, done = r.Former, ItemUndone
	}
	back := it.ReportedBack && (!known || !t.Out)
	if known && strings.HasPrefix(it.Target, "gateway/") {
		back = !t.Out && t.Epoch > it.Epoch
	}
	if !m.on(GuardBack) {
		back, want = it.ReportedBack, ""
	}
	right := want == "" || t.Version == want
	switch {
	case back && right && (it.ReportedBack || !it.WasOut && want != ""): // of one that was out before, a later start may be of then
		it.State = done
		if !it.RollBack && r.Reverse { // the release turned round while it was out
			it.State = ItemUndo
		}
		if held {
			delete(m.s.Permits, it.Target)
		}
	case back && it.ReportedBack: // its driver is through with it, and this is what came of it
		it.State = ItemFailed
		if held {
			delete(m.s.Permits, it.Target)
		}
		r.halt(m.s.Time, fmt.Sprintf("%s came back as version %q, want %q", it.Target, t.Version, want))
	case !held || p.Overdue:
		it.State = ItemFailed
		r.halt(m.s.Time, fmt.Sprintf("%s did not come back in time", it.Target))
	}
}

// step sees whether a running release's step is through.
func (m *Machine) step(r *Release) {
	now := m.s.Time
	ok, why := r.HealthLimits.judge(r)
	if ok == bad && m.on(GuardTold) {
		r.halt(now, fmt.Sprintf("step %s: %s", r.Steps[r.Step].Name, why))
		return
	}
	for i := range r.Items {
		if it := &r.Items[i]; it.Step <= r.Step && it.State != ItemDone {
			r.StepDoneAt = 0
			return
		}
	}
	if r.StepDoneAt == 0 {
		r.StepDoneAt, r.Counts = max(now, 1), Window{Base: r.Counts.Base}
		return
	}
	if now < r.StepDoneAt+r.Steps[r.Step].PauseMs {
		return
	}
	if ok == untold && m.on(GuardTold) {
		if now > r.StepDoneAt+r.Steps[r.Step].PauseMs+r.HealthLimits.WithinMs {
			r.halt(now, fmt.Sprintf("step %s: health can't be told: %s", r.Steps[r.Step].Name, why))
		}
		return
	}
	if r.Step+1 == len(r.Steps) {
		r.set(now, Finished, "")
		return
	}
	r.Step++
	r.StepDoneAt, r.Counts = 0, Window{Base: r.Counts.Base}
}
