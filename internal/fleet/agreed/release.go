package agreed

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Limits of releases.
const (
	MaxReleases      = 64
	MaxSteps         = 32
	MaxItems         = 4096
	MaxCommandWords  = 64
	MaxDriverTermMs  = 60 * 1000 // of a driver, in ms
	EndedRetentionMs = 7 * 24 * 3600 * 1000
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

// States of an item. Rolling out: waiting, granted, out, then done or failed; rolling back: undo, granted, out, then undone
// or failed.
const (
	ItemWaiting = "waiting"
	ItemGranted = "granted" // has a permit; the driver has not begun
	ItemOut     = "out"
	ItemDone    = "done"
	ItemFailed  = "failed"
	ItemUndo    = "undo"
	ItemUndone  = "undone"
)

// Step is a stage of a release. Its targets are chosen when the release is planned, from Zone or from all zones in turn:
// as many of those not in an earlier step as bring the release to Count, or to Share of the targets in the step's scope.
type Step struct {
	Name    string  `cbor:"1,keyasint" json:"name"`
	Zone    string  `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`
	Count   int     `cbor:"3,keyasint,omitempty" json:"count,omitempty"`
	Share   float64 `cbor:"4,keyasint,omitempty" json:"share,omitempty"`
	PauseMs int64   `cbor:"5,keyasint,omitempty" json:"pause_ms,omitempty"` // wait after its last target is back
}

// Item is a target of a release and its progress.
type Item struct {
	Target       string `cbor:"1,keyasint" json:"target"`
	Zone         string `cbor:"2,keyasint,omitempty" json:"zone,omitempty"`
	Step         int    `cbor:"3,keyasint" json:"step"`
	State        string `cbor:"4,keyasint" json:"state"`
	Fence        uint64 `cbor:"5,keyasint,omitempty" json:"fence,omitempty"`
	Epoch        uint64 `cbor:"6,keyasint,omitempty" json:"epoch,omitempty"` // of the target's process before it was taken out
	ReportedBack bool   `cbor:"7,keyasint,omitempty" json:"said,omitempty"`  // its driver reports that it brought it back
	RollBack     bool   `cbor:"8,keyasint,omitempty" json:"back,omitempty"`  // it returns to the former version
	WasOut       bool   `cbor:"10,keyasint,omitempty" json:"left,omitempty"` // it was already out when its permit was issued
	TimesOut     int    `cbor:"9,keyasint,omitempty" json:"times,omitempty"` // how often it was taken out, rolling out or back
}

// Release is a plan (the fields before State) and its progress.
type Release struct {
	Name         string       `cbor:"1,keyasint" json:"name"`
	Kind         string       `cbor:"2,keyasint" json:"of"`                          // gateways or members
	Version      string       `cbor:"3,keyasint,omitempty" json:"version,omitempty"` // that a gateway must report when it is back
	Former       string       `cbor:"4,keyasint,omitempty" json:"former,omitempty"`
	Command      []string     `cbor:"5,keyasint" json:"command"` // {target} and {version} are filled in
	UndoCommand  []string     `cbor:"6,keyasint,omitempty" json:"back,omitempty"`
	TermMs       int64        `cbor:"7,keyasint" json:"term_ms"` // of a target's permit: the target must be back within it
	MaxTogether  int          `cbor:"8,keyasint" json:"together"`
	Steps        []Step       `cbor:"9,keyasint" json:"steps"`
	HealthLimits HealthLimits `cbor:"10,keyasint" json:"health"`
	AutoBack     bool         `cbor:"11,keyasint,omitempty" json:"auto_back,omitempty"` // roll back automatically once halted by health or a failed target

	State        string     `cbor:"20,keyasint" json:"state"`
	Reason       string     `cbor:"21,keyasint,omitempty" json:"why,omitempty"`
	StateSince   int64      `cbor:"22,keyasint" json:"since_ms"` // council time in ms when State was entered
	Step         int        `cbor:"23,keyasint" json:"step"`
	StepDoneAt   int64      `cbor:"24,keyasint,omitempty" json:"step_done_ms,omitempty"` // council time in ms since when all its targets are back; 0 = not yet
	Reverse      bool       `cbor:"25,keyasint,omitempty" json:"reverse,omitempty"`      // it rolls back, or did when it was halted
	Items        []Item     `cbor:"26,keyasint" json:"items"`
	Driver       string     `cbor:"27,keyasint,omitempty" json:"driver,omitempty"`
	DriverClient string     `cbor:"28,keyasint,omitempty" json:"-"`
	DriverFence  uint64     `cbor:"29,keyasint,omitempty" json:"driver_fence,omitempty"`
	DriverUntil  int64      `cbor:"30,keyasint,omitempty" json:"driver_until_ms,omitempty"`
	Counts       Comparison `cbor:"31,keyasint" json:"seen"` // since the step began or its last target came back
}

// Ended reports whether a release has reached a final state; only an operator can still roll back a finished one.
func (r *Release) Ended() bool {
	return r.State == Finished || r.State == RolledBack || r.State == Failed
}

// active reports whether targets may be taken out.
func (r *Release) active() bool { return r.State == Running || r.State == RollingBack }

func (r *Release) setState(now int64, state, why string) {
	r.State, r.Reason, r.StateSince = state, why, now
}

// halt stops a release; the targets that are out come back first.
func (r *Release) halt(now int64, why string) {
	if r.active() {
		r.Reverse = r.State == RollingBack
		r.setState(now, Halting, why)
	}
}

// count returns how many items are in one of the given states.
func (r *Release) count(states ...string) (n int) {
	for i := range r.Items {
		if slices.Contains(states, r.Items[i].State) {
			n++
		}
	}
	return n
}

// Releases returns all releases, ordered by name.
func (m *Machine) Releases() (all []Release) {
	for _, k := range slices.Sorted(maps.Keys(m.s.Releases)) {
		all = append(all, m.s.Releases[k])
	}
	return all
}

// Release returns the release of that name.
func (m *Machine) Release(name string) (Release, bool) {
	r, ok := m.s.Releases[name]
	return r, ok
}

// NeedsTicks reports whether a term is running, so that Tick commands must advance council time.
func (m *Machine) NeedsTicks() bool {
	return len(m.s.Permits) > 0 || m.ReleaseActive() || m.s.Zones != nil && m.s.Time < m.s.Zones.Until
}

// ReleaseActive reports whether a release is running, rolling back or halting.
func (m *Machine) ReleaseActive() bool {
	for _, r := range m.s.Releases {
		if r.active() || r.State == Halting {
			return true
		}
	}
	return false
}

// Format returns the format version that the council works in.
func (m *Machine) Format() int { return m.s.Format }

// Check returns why a plan is invalid, empty if it is valid.
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
	case len(r.Command) == 0 || len(r.Command) > MaxCommandWords || len(r.UndoCommand) > MaxCommandWords || bytes > MaxCommandWords*MaxTextBytes:
		return fmt.Sprintf("the command has %d words and %d bytes with that of the way back, want 1 to %d words", len(r.Command), bytes, MaxCommandWords)
	case r.TermMs < 1000 || r.TermMs > MaxTermMs:
		return fmt.Sprintf("a target's term is %d ms, want from 1000 to %d", r.TermMs, MaxTermMs)
	case r.MaxTogether < 1:
		return fmt.Sprintf("%d targets together, want 1 at least", r.MaxTogether)
	case len(r.Steps) == 0 || len(r.Steps) > MaxSteps:
		return fmt.Sprintf("%d steps, want from 1 to %d", len(r.Steps), MaxSteps)
	}
	for _, s := range r.Steps {
		if len(s.Name) > MaxTextBytes || s.Count < 0 || s.Share < 0 || s.Share > 1 || math.IsNaN(s.Share) || (s.Count > 0) == (s.Share > 0) || s.PauseMs < 0 || s.PauseMs > MaxTermMs {
			return fmt.Sprintf("step %q has count %d, share %g and a pause of %d ms, want a count or a share", s.Name, s.Count, s.Share, s.PauseMs)
		}
	}
	return r.HealthLimits.check()
}

// AssignTargets chooses the items of a plan from the known targets: step by step, over the zones in turn.
func (r *Release) AssignTargets(all []Target) {
	r.Items = nil
	taken := map[string]bool{}
	for i, s := range r.Steps {
		byZone := map[string][]string{}
		size, had := 0, 0
		for _, t := range all {
			if t.kind() != r.Kind || s.Zone != "" && t.Zone != s.Zone {
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

// planRelease adds a new release.
func (m *Machine) planRelease(c *Command) Result {
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
	if why := m.competingRelease(&r); why != "" {
		return Result{Refused: why, State: CompetingRelease}
	}
	if len(s.Releases) >= MaxReleases && !m.evictRelease() {
		return refuse("there are %d releases that have not ended", len(s.Releases))
	}
	r.Step, r.StepDoneAt, r.Reverse, r.Driver, r.DriverClient, r.DriverFence, r.DriverUntil, r.Counts = 0, 0, false, "", "", 0, 0, Comparison{}
	r.setState(s.Time, Planned, "")
	m.storeRelease(&r)
	return Result{OK: true, State: r.State}
}

// CompetingRelease is the result state of a command for a release that may not proceed, as another active release has some of
// the same targets.
const CompetingRelease = "rival"

// competingRelease describes an active or halting release that shares targets with r; empty if there is none.
func (m *Machine) competingRelease(r *Release) string {
	for _, o := range m.Releases() {
		if o.Name != r.Name && (o.active() || o.State == Halting) && overlap(&o, r) {
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

// evictRelease drops the release that ended first; false if none has ended.
func (m *Machine) evictRelease() bool {
	first := ""
	for _, r := range m.Releases() {
		if r.Ended() && (first == "" || r.StateSince < m.s.Releases[first].StateSince) {
			first = r.Name
		}
	}
	delete(m.s.Releases, first)
	return first != ""
}

func (m *Machine) storeRelease(r *Release) {
	if m.s.Releases == nil {
		m.s.Releases = map[string]Release{}
	}
	m.s.Releases[r.Name] = *r
}

// copyRelease returns a copy of a release whose items may be changed before storeRelease.
func (m *Machine) copyRelease(name string) (r Release, ok bool) {
	r, ok = m.s.Releases[name]
	r.Items = slices.Clone(r.Items)
	return r, ok
}

// applyRelease executes a command on a release.
func (m *Machine) applyRelease(c *Command) Result {
	s := &m.s
	if c.Op == SteerRelease && c.Name == "*" {
		for _, r := range m.Releases() {
			r.Items = slices.Clone(r.Items)
			if c.Steer == "halt" {
				r.halt(s.Time, c.Reason)
				m.storeRelease(&r)
			}
		}
		return Result{OK: true}
	}
	r, ok := m.copyRelease(c.Name)
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
		if m.guarded(GuardDriver) && (c.Fence != r.DriverFence || c.Client != r.DriverClient || s.Time >= r.DriverUntil) {
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
		m.storeRelease(&r)
		res.State = r.State
	}
	return res
}

// steer executes an operator's halt, resume or back.
func (m *Machine) steer(r *Release, c *Command) Result {
	now := m.s.Time
	why := cmp.Or(c.Reason, "by "+c.Actor)
	if other := m.competingRelease(r); other != "" && c.Steer != "halt" {
		return Result{Refused: other, State: CompetingRelease}
	}
	switch {
	case c.Steer == "halt" && r.State == Planned:
		r.setState(now, Halted, why)
	case c.Steer == "halt" && r.active():
		r.halt(now, why)
	case c.Steer == "halt" && (r.State == Halting || r.State == Halted):
	case c.Steer == "resume" && r.State == Halted: // the operator has dealt with what failed: retry it
		for i := range r.Items {
			it := &r.Items[i]
			if it.State == ItemFailed {
				it.State = ItemWaiting
				if r.Reverse {
					it.State = ItemUndo
				}
			}
		}
		r.Counts = Comparison{}
		if r.StepDoneAt > 0 {
			r.StepDoneAt = now
		}
		r.setState(now, Running, why)
		if r.Reverse {
			r.State = RollingBack
		}
	case c.Steer == "back" && (r.State == Running || r.State == Halted || r.State == Halting && !r.Reverse || r.State == Finished):
		if len(r.UndoCommand) == 0 {
			return refuse("release %s has no way back: its plan names no command for it", r.Name)
		}
		m.startRollback(r, why)
	default:
		return refuse("release %s is %s, it can't be told to %s", r.Name, r.State, c.Steer)
	}
	return Result{OK: true}
}

// startRollback rolls a release back. Targets that are out for the new version finish that first.
func (m *Machine) startRollback(r *Release, why string) {
	for i := range r.Items {
		if it := &r.Items[i]; it.State == ItemDone || it.State == ItemFailed {
			it.State = ItemUndo
		}
	}
	r.Reverse = true
	r.setState(m.s.Time, RollingBack, why)
}

// drive makes a process the driver, or renews its term. Targets granted to the former driver and not begun wait again:
// its fence is stale, so it can no longer begin them.
func (m *Machine) drive(r *Release, c *Command) Result {
	now := m.s.Time
	switch {
	case r.Ended():
		return refuse("release %s is %s", r.Name, r.State)
	case c.Term <= 0 || c.Term > MaxDriverTermMs:
		return refuse("a driver's term is %d ms, want from 1 to %d", c.Term, MaxDriverTermMs)
	case r.State == Planned && m.competingRelease(r) != "":
		return Result{Refused: m.competingRelease(r), State: CompetingRelease}
	case r.DriverClient == c.Client && r.DriverFence == c.Fence && r.DriverFence > 0 && now < r.DriverUntil: // renewal by the current driver
	case r.DriverClient != "" && now < r.DriverUntil && m.guarded(GuardDriver):
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
		r.setState(now, Running, "")
	}
	return Result{OK: true, Fence: r.DriverFence}
}

// ungrant withdraws a permit that the driver has not used: the target was not taken out under it.
func (m *Machine) ungrant(it *Item) {
	if p, ok := m.s.Permits[it.Target]; ok && p.Fence == it.Fence {
		delete(m.s.Permits, it.Target)
		if it.WasOut { // it is still out from before
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

// next issues a permit for the next target that the budgets allow.
func (m *Machine) next(r *Release) Result {
	if !r.active() {
		return Result{OK: true} // the driver sees the state and asks again or stops
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
		if it.Step == r.Step && (it.State == ItemWaiting || !m.guarded(GuardOncePerStep) && it.State == ItemDone) {
			if res := try(it); res != nil {
				return *res
			}
		}
	}
	if why == "" {
		why = m.waitReason(r)
	}
	return refuse("%s", why)
}

// waitReason says what a release waits for that can issue no permit now.
func (m *Machine) waitReason(r *Release) string {
	step := r.Steps[r.Step].Name
	switch left := r.StepDoneAt + r.Steps[r.Step].PauseMs - m.s.Time; {
	case r.StepDoneAt == 0:
		return fmt.Sprintf("step %s: targets are out", step)
	case left > 0:
		return fmt.Sprintf("step %s is complete, it pauses for %d ms more", step, left)
	}
	_, why := r.HealthLimits.evaluate(r)
	return fmt.Sprintf("step %s is complete, its health is not told: %s", step, why)
}

// started records that a target is taken out now. It is refused if the permit expired while the driver was stopped, or
// the release was halted meanwhile.
func (m *Machine) started(r *Release, target string) Result {
	it := r.item(target)
	if it == nil || it.State != ItemGranted {
		return refuse("%s is not granted to go out", target)
	}
	if p, ok := m.s.Permits[target]; m.guarded(GuardStart) && (!ok || p.Fence != it.Fence || p.Overdue || !r.active()) {
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

// ended records the driver's report on its command. Whether the target is back is decided by checkReturned from the
// reported targets.
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

// advance moves all releases on by the current state and time.
func (m *Machine) advance() {
	if len(m.s.Releases) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(m.s.Releases)) {
		if old := m.s.Releases[name]; !old.Ended() && old.State != Planned && old.State != Halted {
			r, _ := m.copyRelease(name)
			m.advanceRelease(&r)
			m.storeRelease(&r)
		}
	}
}

// advanceRelease updates a release's items, then its state.
func (m *Machine) advanceRelease(r *Release) {
	now := m.s.Time
	for i := range r.Items {
		it := &r.Items[i]
		switch it.State {
		case ItemGranted:
			if p, ok := m.s.Permits[it.Target]; r.State == Halting || !ok || p.Fence != it.Fence || p.Overdue {
				if m.guarded(GuardStart) {
					m.ungrant(it)
				}
			}
		case ItemOut:
			m.checkReturned(r, it)
		}
	}
	if r.count(ItemGranted, ItemOut) > 0 && r.State != Running {
		return
	}
	switch r.State {
	case Halting:
		auto := r.AutoBack && !r.Reverse && len(r.UndoCommand) > 0 && !strings.HasPrefix(r.Reason, "by ")
		r.setState(now, Halted, r.Reason)
		if auto {
			m.startRollback(r, r.Reason)
		}
	case RollingBack:
		if r.count(ItemUndo) > 0 {
			return
		}
		r.setState(now, RolledBack, r.Reason)
		if r.count(ItemFailed) > 0 {
			r.State = Failed
		}
	case Running:
		m.advanceStep(r)
	}
}

// checkReturned decides whether a target that is out is back, has failed or is late.
func (m *Machine) checkReturned(r *Release, it *Item) {
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
	if !m.guarded(GuardSeenBack) {
		back, want = it.ReportedBack, ""
	}
	right := want == "" || t.Version == want
	switch {
	case back && right && (it.ReportedBack || !it.WasOut && want != ""): // a target that was out before may have restarted before this permit
		it.State = done
		if !it.RollBack && r.Reverse { // the rollback began while it was out
			it.State = ItemUndo
		}
		if held {
			delete(m.s.Permits, it.Target)
		}
	case back && it.ReportedBack: // its driver has finished, but the target runs another version
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

// advanceStep halts a running release on bad health, and moves it on once its step is complete.
func (m *Machine) advanceStep(r *Release) {
	now := m.s.Time
	ok, why := r.HealthLimits.evaluate(r)
	if ok == bad && m.guarded(GuardHealth) {
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
		r.StepDoneAt, r.Counts = max(now, 1), Comparison{Base: r.Counts.Base}
		return
	}
	if now < r.StepDoneAt+r.Steps[r.Step].PauseMs {
		return
	}
	if ok == undecided && m.guarded(GuardHealth) {
		if now > r.StepDoneAt+r.Steps[r.Step].PauseMs+r.HealthLimits.WithinMs {
			r.halt(now, fmt.Sprintf("step %s: health can't be told: %s", r.Steps[r.Step].Name, why))
		}
		return
	}
	if r.Step+1 == len(r.Steps) {
		r.setState(now, Finished, "")
		return
	}
	r.Step++
	r.StepDoneAt, r.Counts = 0, Comparison{Base: r.Counts.Base}
}
