package rules

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// lease is how long a region serves a device that it heard, for that hearing only.
type lease struct {
	epoch, count uint64
	until        Time
}

// departed is where a device was last heard, remembered until no late copy can come.
type departed struct {
	presence Presence
	lease    lease // of it, if it was held here: it goes on should the device's entries come back
	until    Time
}

// List is what one region knows. Not safe for concurrent use.
type List struct {
	cfg         Config
	guards      Guards
	me          Replica
	lastNumber  uint64 // the last number given
	highestTurn uint64 // of the highest rank known

	entries      map[Key]Entry
	devices      map[string]Presence // of those with an entry
	byDevice     map[string]map[Key]struct{}
	blocks       map[Target]Marks
	withRemovals map[Key]struct{}    // entries that hold withdrawals
	ended        map[string]struct{} // devices whose lease has ended
	leases       map[string]lease
	departed     map[string]departed // devices whose last entry is gone: this region's own memory, not merged

	seen       Vector            // removals that are in the list, or under the floor
	floor      Vector            // removals that every region that counts has seen
	acked      map[Region]Vector // what each is known to have seen
	heartbeats Vector            // messages of each
	life       map[Region]uint64 // that each is in
	lastHeard  map[Region]Time   // when its beats grew
	healedAt   Time              // the last cut's end
	lastRun    Time              // when it was last called with a time

	waiting map[Key]Target // nil: to be worked out
}

// New returns an empty list for a region's life.
func New(cfg Config, g Guards, life uint64, now Time) *List {
	l := &List{
		cfg: cfg, guards: g, me: Replica{cfg.Region, life},
		entries: map[Key]Entry{}, devices: map[string]Presence{}, byDevice: map[string]map[Key]struct{}{},
		blocks: map[Target]Marks{}, withRemovals: map[Key]struct{}{}, ended: map[string]struct{}{}, leases: map[string]lease{}, departed: map[string]departed{},
		seen: Vector{}, floor: Vector{}, acked: map[Region]Vector{}, heartbeats: Vector{}, life: map[Region]uint64{}, lastHeard: map[Region]Time{}, healedAt: now, lastRun: now,
	}
	for _, r := range cfg.Regions {
		l.lastHeard[r] = now
	}
	return l
}

// Reopen returns a copy of l as a new life takes it up from its folder, which may be an
// old copy. The life must never have been used in the region.
func (l *List) Reopen(life uint64, now Time) *List {
	c := New(l.cfg, l.guards, life, now)
	c.highestTurn, c.seen, c.floor, c.heartbeats = l.highestTurn, maps.Clone(l.seen), maps.Clone(l.floor), maps.Clone(l.heartbeats)
	for r, v := range l.acked {
		c.acked[r] = maps.Clone(v)
	}
	for k, e := range l.entries {
		c.setEntry(k, e.clone())
	}
	for d, p := range l.devices {
		c.setDevice(d, p)
	}
	for t, b := range l.blocks {
		c.blocks[t] = maps.Clone(b)
	}
	c.life = maps.Clone(l.life)
	c.leases, c.departed = maps.Clone(l.leases), maps.Clone(l.departed)
	return c
}

// nextDot numbers a removal.
func (l *List) nextDot() Dot {
	l.lastNumber++
	l.seen[l.me] = l.lastNumber
	l.waiting = nil
	return Dot{By: l.me, N: l.lastNumber}
}

// setEntry sets an entry, or takes it out if nothing of it is left.
func (l *List) setEntry(k Key, e Entry) {
	l.waiting = nil
	delete(l.withRemovals, k)
	if len(e.Gone) > 0 {
		l.withRemovals[k] = struct{}{}
	} else if !e.Granted {
		delete(l.entries, k)
		delete(l.byDevice[k.Device], k)
		if len(l.byDevice[k.Device]) == 0 {
			delete(l.byDevice, k.Device)
		}
		return
	}
	l.entries[k] = e
	if l.byDevice[k.Device] == nil {
		l.byDevice[k.Device] = map[Key]struct{}{}
	}
	l.byDevice[k.Device][k] = struct{}{}
	if was, ok := l.departed[k.Device]; ok {
		if _, is := l.devices[k.Device]; !is {
			l.setDevice(k.Device, was.presence)
		}
	}
}

// setDevice sets where a device was last heard.
func (l *List) setDevice(d string, p Presence) {
	if l.devices[d] == p {
		return
	}
	l.waiting = nil
	l.devices[d] = p
	delete(l.leases, d)
	delete(l.ended, d)
	if was := l.departed[d].lease; was.until > 0 && was.epoch == p.Epoch && was.count == p.Count && p.Home == l.cfg.Region {
		l.leases[d] = was
	}
	delete(l.departed, d)
	if p.End != (Dot{}) {
		l.ended[d] = struct{}{}
	}
}

// forgetSettled forgets what a device's record needs no more: the grants of one whose end all
// have seen, and the record of one without entries.
func (l *List) forgetSettled(d string) {
	if l.seenByAll(l.devices[d].End) {
		for k := range l.byDevice[d] {
			e := l.entries[k]
			e.Granted, e.Rank = false, Rank{}
			l.setEntry(k, e)
		}
	}
	if p, ok := l.devices[d]; ok && len(l.byDevice[d]) == 0 {
		l.departed[d] = departed{p, l.leases[d], l.lastRun + l.cfg.MaxRequestDelay}
		delete(l.devices, d)
		delete(l.leases, d)
		delete(l.ended, d)
	}
}

// greater tells whether a presence holds against another.
func (l *List) greater(a, b Presence) bool {
	if l.guards.Home && a.Home != b.Home {
		return a.Home < b.Home
	}
	return a.Compare(b) > 0
}

// checkFresh refuses what is older than the last that is known of a device, and what must be
// newer (a subscription to what it has not) also if it is as old: it may be a late copy
// of a request that a withdrawal came after.
func (l *List) checkFresh(d string, p Presence, newer bool) error {
	k, ok := l.devices[d]
	if !ok {
		k.Epoch, k.Count = l.departed[d].presence.Epoch, l.departed[d].presence.Count
		newer = true
	}
	if c := cmp.Or(cmp.Compare(p.Epoch, k.Epoch), cmp.Compare(p.Count, k.Count)); c < 0 || newer && c == 0 {
		return &StaleError{d, p.Epoch, p.Count, k}
	}
	return nil
}

// recordHeard takes in that a device was heard here. A repeat of the same count moves nothing
// and lengthens no lease.
func (l *List) recordHeard(now Time, d string, p Presence) {
	p.Home, p.End = l.cfg.Region, Dot{}
	k, ok := l.devices[d]
	if ok && p.Epoch == k.Epoch && p.Count == k.Count && k.Home == p.Home {
		return
	}
	if !ok || l.greater(p, k) {
		l.setDevice(d, p)
		l.leases[d] = lease{p.Epoch, p.Count, now + p.Span}
	}
}

// Subscribe takes a subscription of a device that was heard here; of p its epoch, its
// count (from 1, one for each request) and a span over 0 are used. Token holds what
// withdrawals of this key the device was told of (as Withdraw returned it); the
// subscription has seen these and those known here. One that stands keeps its rank. The
// error is a *StaleError; then nothing was taken.
func (l *List) Subscribe(now Time, k Key, p Presence, token Vector) error {
	e := l.entries[k].clone()
	if err := l.checkFresh(k.Device, p, !e.Granted); err != nil {
		return err
	}
	told := Marks{}
	for r, n := range token {
		if n > max(l.floor[r], e.Gone[r].N) {
			told[r] = Mark{N: n}
		}
	}
	if len(told) > 0 {
		e.Granted, e.Gone = false, joined(e.Gone, told)
	}
	if !e.Granted {
		l.highestTurn++
		e.Granted, e.Rank = true, Rank{l.highestTurn, l.me}
	}
	l.setEntry(k, e)
	l.recordHeard(now, k.Device, p)
	return nil
}

// Renew takes in that a device was heard here, and tells whether it has a grant here; one
// that has not must subscribe, and its hearing would be lost with the removals that are
// kept of it. The error is a *StaleError.
func (l *List) Renew(now Time, device string, p Presence) (bool, error) {
	if err := l.checkFresh(device, p, false); err != nil {
		return false, err
	}
	for k := range l.byDevice[device] {
		if l.entries[k].Granted {
			l.recordHeard(now, device, p)
			return true, nil
		}
	}
	return false, nil
}

// Withdraw takes back the consent for a key, known here or not, and returns what the
// device may carry as its token. It is never refused, however late; p as in Subscribe
// if the device itself was heard, else zero; heard tells whether that was news of it.
func (l *List) Withdraw(now Time, k Key, p Presence) (token Vector, heard bool) {
	e := l.entries[k].clone()
	e.Gone = joined(e.Gone, Marks{l.me: {N: l.nextDot().N}})
	e.Granted, e.Rank = false, Rank{}
	l.setEntry(k, e)
	if heard = p.Count > 0 && l.checkFresh(k.Device, p, false) == nil; heard {
		l.recordHeard(now, k.Device, p)
	}
	token = Vector{}
	for r, m := range e.Gone {
		token[r] = m.N
	}
	return token, heard
}

// Block bars deliveries to all that t names. The dot is its fence.
func (l *List) Block(t Target) Dot {
	d := l.nextDot()
	if l.blocks[t] == nil {
		l.blocks[t] = Marks{}
	}
	l.blocks[t][l.me] = Mark{N: d.N}
	return d
}

// Unblock lifts those blocks of t that are known here, and tells whether there were any.
func (l *List) Unblock(t Target) bool {
	if !l.blocked(t) {
		return false
	}
	d := l.nextDot()
	for r, m := range l.blocks[t] {
		if m.Past == (Dot{}) {
			m.Past = d
			l.blocks[t][r] = m
		}
	}
	return true
}

func (l *List) blocked(t Target) bool {
	held, lifted := false, false
	for _, m := range l.blocks[t] {
		held = held || m.Past == (Dot{})
		lifted = lifted || m.Past != (Dot{})
	}
	return held && !(l.guards.Block && lifted)
}

func joined(a, b Marks) Marks {
	out := Marks{}
	out.join(a)
	out.join(b)
	return out
}

// seenByAll tells whether all have seen what a dot numbers.
func (l *List) seenByAll(d Dot) bool { return d.N > 0 && d.N <= l.floor[d.By] }

// dropSeenByAll leaves out withdrawals that all have seen.
func (l *List) dropSeenByAll(m Marks) Marks {
	maps.DeleteFunc(m, func(r Replica, k Mark) bool { return k.N <= l.floor[r] || l.seenByAll(k.Past) })
	return m
}

// mergeEntry joins two, both without what the floor has passed.
func (l *List) mergeEntry(a, b Entry) Entry {
	out := Entry{Gone: joined(a.Gone, b.Gone)}
	for _, e := range []Entry{a, b} {
		if e.Granted && (l.guards.Withdraw || e.Gone.covers(out.Gone)) &&
			(!out.Granted || e.Rank.compare(out.Rank) < 0) {
			out.Granted, out.Rank = true, e.Rank
		}
	}
	return out
}

// settleBlock forgets lifted blocks that all have seen lifted.
func (l *List) settleBlock(t Target) {
	maps.DeleteFunc(l.blocks[t], func(_ Replica, m Mark) bool { return l.seenByAll(m.Past) })
	if len(l.blocks[t]) == 0 {
		delete(l.blocks, t)
	}
}

// excluded tells whether a region is counted out: gone past the term, while this one is in
// contact with more than half.
func (l *List) excluded(r Region, now Time) bool {
	if r == l.cfg.Region || now-l.lastHeard[r] <= l.cfg.ExcludeAfter {
		return false
	}
	near := 0
	for _, o := range l.cfg.Regions {
		if o == l.cfg.Region || now-l.lastHeard[o] <= l.cfg.CutOffAfter {
			near++
		}
	}
	return l.guards.Majority || 2*near > len(l.cfg.Regions)
}

// raiseFloor moves the floor to what all that count have seen, or to at least v, and forgets.
func (l *List) raiseFloor(now Time, v Vector) {
	l.acked[l.cfg.Region] = l.seen
	rose := false
	for by, n := range l.seen {
		for _, r := range l.cfg.Regions {
			if !l.guards.Keep && !l.excluded(r, now) {
				n = min(n, l.acked[r][by])
			}
		}
		if n > l.floor[by] {
			l.floor[by], rose = n, true
		}
	}
	if !rose && l.floor.Covers(v) {
		return
	}
	l.floor.join(v)
	// By copies of the keys: what is taken out and put back meanwhile might be passed over.
	for _, k := range slices.Collect(maps.Keys(l.withRemovals)) {
		e := l.entries[k]
		e.Gone = l.dropSeenByAll(e.Gone)
		l.setEntry(k, e)
		l.forgetSettled(k.Device)
	}
	for _, d := range slices.Collect(maps.Keys(l.ended)) {
		l.forgetSettled(d)
	}
	for t := range l.blocks {
		l.settleBlock(t)
	}
}

// noteRun guards against taking others for gone after the process itself was stopped: the
// time in which it did not run counts for nobody's absence. Leases run on.
func (l *List) noteRun(now Time) {
	if gap := now - l.lastRun; gap > l.cfg.CutOffAfter {
		for r := range l.lastHeard {
			l.lastHeard[r] += gap
		}
		l.healedAt = now
	}
	l.lastRun = now
}

// Tick ends leases and forgets; to be called several times within CutOffAfter. It returns the devices whose
// leases were ended.
func (l *List) Tick(now Time) (ended []string) {
	l.noteRun(now)
	calm := now >= l.healedAt+l.cfg.HealGrace
	for _, r := range l.cfg.Regions {
		if r != l.cfg.Region && now-l.lastHeard[r] > l.cfg.CutOffAfter && !l.excluded(r, now) {
			calm = false
		}
	}
	for d, p := range l.devices {
		if p.End != (Dot{}) || p.Home != l.cfg.Region && !l.excluded(p.Home, now) {
			continue
		}
		h, ok := l.leases[d]
		if !ok { // its home is this region, which has forgotten when it heard it, or one that is counted out
			l.leases[d] = lease{p.Epoch, p.Count, now + p.Span}
		} else if now >= h.until && (calm || l.guards.Grace) {
			ended = append(ended, d)
		}
	}
	slices.Sort(ended)
	for _, d := range ended {
		p := l.devices[d]
		p.End = l.nextDot()
		l.setDevice(d, p)
	}
	maps.DeleteFunc(l.departed, func(_ string, p departed) bool { return now >= p.until })
	l.renumberOrphans()
	l.raiseFloor(now, nil)
	return ended
}

// orphaned tells whether a number can't become known to all by itself: it is of a former
// life of this region, which has lost it; it came back by a part of a message or a token.
func (l *List) orphaned(by Replica, n uint64) bool {
	return n > l.seen[by] && by != l.me && by.Region == l.me.Region
}

// renumberOrphans numbers removals again whose own number nobody will ever have seen in full,
// else they would be kept for ever.
func (l *List) renumberOrphans() {
	again := func(by Replica, n uint64, d Dot) (Dot, bool) {
		if !l.orphaned(by, n) || d.N > 0 && !l.orphaned(d.By, d.N) {
			return d, false
		}
		a := l.nextDot()
		a.Anew = d.Anew + 1
		return a, true
	}
	for _, k := range slices.SortedFunc(maps.Keys(l.withRemovals), compareKeys) {
		e := l.entries[k]
		for _, r := range slices.SortedFunc(maps.Keys(e.Gone), compareReplicas) {
			m := e.Gone[r]
			if d, is := again(r, m.N, m.Past); is {
				e.Gone[r] = Mark{m.N, d}
			}
		}
	}
	for _, t := range slices.SortedFunc(maps.Keys(l.blocks), func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	}) {
		b := l.blocks[t]
		for _, r := range slices.SortedFunc(maps.Keys(b), compareReplicas) {
			m := b[r]
			if d, is := again(m.Past.By, m.Past.N, m.Past); is {
				b[r] = Mark{m.N, d}
			}
		}
	}
	for _, d := range slices.Sorted(maps.Keys(l.ended)) {
		p := l.devices[d]
		if a, is := again(p.End.By, p.End.N, p.End); is {
			p.End = a
			l.setDevice(d, p)
		}
	}
}

// Status tells what holds for a key here.
func (l *List) Status(now Time, k Key) Status {
	p, ok := l.devices[k.Device]
	if !l.entries[k].Granted || !ok {
		return Status{Reason: Unknown}
	}
	if p.End != (Dot{}) {
		return Status{Reason: Ended}
	}
	if t, is := l.isBlocked(k); is {
		return Status{Blocked, t}
	}
	if l.waiting == nil {
		l.applyLimits()
	}
	if t, is := l.waiting[k]; is {
		return Status{Waiting, t}
	}
	if p.Home != l.cfg.Region {
		return Status{Elsewhere, Target{InRegion, string(p.Home)}}
	}
	if h, is := l.leases[k.Device]; (!is || now >= h.until) && !l.guards.Lease {
		return Status{Reason: Expired}
	}
	return Status{}
}

func (l *List) isBlocked(k Key) (Target, bool) {
	for _, t := range []Target{{Topic, k.Topic}, {Tenant, k.Tenant}, {Device, k.Device}} {
		if l.blocked(t) {
			return t, true
		}
	}
	return Target{}, false
}

// applyLimits gives places within the limits by rank. One that waits for a limit is passed by
// none within it, since those with a place there are all before it.
func (l *List) applyLimits() {
	l.waiting = map[Key]Target{}
	if len(l.cfg.Limits) == 0 || l.guards.Limit {
		return
	}
	var keys []Key
	for k, e := range l.entries {
		if p, ok := l.devices[k.Device]; ok && e.Granted && p.End == (Dot{}) {
			if _, is := l.isBlocked(k); !is {
				keys = append(keys, k)
			}
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		if l.guards.Order {
			return compareKeys(a, b)
		}
		return l.entries[a].Rank.compare(l.entries[b].Rank)
	})
	used := map[Target]int{}
next:
	for _, k := range keys {
		of := []Target{{Topic, k.Topic}, {Tenant, k.Tenant}, {InRegion, string(l.devices[k.Device].Home)}}
		for _, t := range of {
			if most, is := l.cfg.Limits[t]; is && used[t] >= most {
				l.waiting[k] = t
				continue next
			}
		}
		for _, t := range of {
			used[t]++
		}
	}
}

// Kept counts removals that are kept: withdrawn keys, ended devices, lifted blocks.
func (l *List) Kept() int {
	n := len(l.withRemovals) + len(l.ended)
	for _, b := range l.blocks {
		for _, m := range b {
			if m.Past.N > 0 {
				n++
			}
		}
	}
	return n
}

// Digest is the sum of the records' hashes: equal digests mean equal lists.
func (l *List) Digest() (sum uint64) {
	var b []byte
	text := func(s ...string) {
		for _, t := range s {
			b = binary.AppendUvarint(b, uint64(len(t)))
			b = append(b, t...)
		}
	}
	num := func(r Replica, n uint64) {
		text(string(r.Region))
		b = binary.AppendUvarint(binary.AppendUvarint(b, r.Life), n)
	}
	dot := func(d Dot) { num(d.By, d.N); b = append(b, d.Anew) }
	for k, e := range l.entries {
		b = append(b[:0], 'e')
		text(k.Topic, k.Tenant, k.Device)
		if e.Granted {
			num(e.Rank.By, e.Rank.Turn)
		}
		for _, r := range slices.SortedFunc(maps.Keys(e.Gone), compareReplicas) {
			num(r, e.Gone[r].N)
			dot(e.Gone[r].Past)
		}
		sum += xxhash.Sum64(b)
	}
	for d, p := range l.devices {
		b = append(b[:0], 'd')
		text(d, string(p.Home))
		for _, n := range []uint64{p.Epoch, p.Count, uint64(p.Span)} {
			b = binary.AppendUvarint(b, n)
		}
		dot(p.End)
		sum += xxhash.Sum64(b)
	}
	for t, block := range l.blocks {
		for r, m := range block {
			b = append(b[:0], 'b')
			text(string(t.Kind), t.Name)
			num(r, m.N)
			dot(m.Past)
			sum += xxhash.Sum64(b)
		}
	}
	return sum
}
