package simfanout

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"

	"reachwind/internal/fanout/rules"
)

// The checker is written from the rules of docs/design/fanout.md, not from the code: it
// numbers everything that happened and keeps who can know of what, by the exchanges that
// were carried. It knows no vectors, floors, ranks or removals that are kept.

// mostEvents is how many events a day may have.
const mostEvents = 512

// set is a set of events.
type set [mostEvents / 64]uint64

func (s *set) has(e int) bool { return s[e/64]>>(e%64)&1 == 1 }
func (s *set) put(e int)      { s[e/64] |= 1 << (e % 64) }
func (s *set) del(e int)      { s[e/64] &^= 1 << (e % 64) }

func (s *set) add(o set) {
	for i := range s {
		s[i] |= o[i]
	}
}

// all yields the events in the order in which they came.
func (s *set) all(yield func(int) bool) {
	for i, w := range s {
		for ; w != 0; w &= w - 1 {
			if !yield(i*64 + bits.TrailingZeros64(w)) {
				return
			}
		}
	}
}

// known is what a region has been told: surely (by whole messages), and at most (also by
// parts of one).
type known struct{ surely, most set }

type kind int

const (
	subscribed kind = iota
	renewed         // a device was heard, with a subscription or without
	withdrawn
	blocked
	lifted
	endedLease
)

type event struct {
	kind   kind
	key    rules.Key // of renewed and endedLease the device alone
	target rules.Target
	region int
	at     rules.Time // by the region's clock
	p      rules.Presence
	saw    known // when it was made
}

type checker struct {
	cfg      rules.Config
	events   []event
	knows    []known
	arrival  [][]rules.Time // [of whom heard][by whom]: when news of it last came, by play time
	news     [][]int        // [by whom][of whom]: the newest message that is known of
	healed   []rules.Time
	ran      []rules.Time
	reopened []bool // from an old copy or empty
	gone     []bool // some region had reason to count it out
	evs      map[string]bool
}

func newChecker(cfg rules.Config) *checker {
	n := len(cfg.Regions)
	c := &checker{cfg: cfg, healed: make([]rules.Time, n), ran: make([]rules.Time, n), reopened: make([]bool, n), gone: make([]bool, n), evs: map[string]bool{}}
	for range n {
		c.knows = append(c.knows, known{})
		c.arrival = append(c.arrival, make([]rules.Time, n))
		c.news = append(c.news, make([]int, n))
	}
	return c
}

func (c *checker) note(e event) int {
	id := len(c.events)
	k := &c.knows[e.region]
	e.saw = *k
	c.events = append(c.events, e)
	k.surely.put(id)
	k.most.put(id)
	return id
}

// carried takes in that a device tells r of a withdrawal, and of those of its key that it
// came after.
func (c *checker) carried(r, id int) {
	w, k := c.events[id], &c.knows[r]
	for _, s := range [][2]*set{{&k.surely, &w.saw.surely}, {&k.most, &w.saw.most}} {
		s[0].put(id)
		for o := range s[1].all {
			if e := c.events[o]; e.kind == withdrawn && e.key == w.key {
				s[0].put(o)
			}
		}
	}
}

// runs takes in that r runs at now: while it was stopped it missed nobody.
func (c *checker) runs(r int, now rules.Time) {
	if gap := now - c.ran[r]; gap > c.cfg.CutOffAfter {
		for x := range c.arrival {
			c.arrival[x][r] += gap
		}
		c.healed[r] = now
	}
	c.ran[r] = now
	c.passes(now)
}

// hears takes in that r got news of others.
func (c *checker) hears(r int, news []int, now rules.Time) {
	c.runs(r, now)
	for x, n := range news {
		if x == r || n <= c.news[r][x] {
			continue
		}
		c.news[r][x] = n
		if now-c.arrival[x][r] > c.cfg.CutOffAfter {
			c.healed[r] = now
		}
		c.arrival[x][r] = now
	}
	c.passes(now)
}

// countedOut tells whether q has reason to count x out.
func (c *checker) countedOut(q, x int, now rules.Time) bool {
	near := 1
	for o := range c.cfg.Regions {
		if o != q && now-c.arrival[o][q] <= c.cfg.CutOffAfter {
			near++
		}
	}
	return q != x && now-c.arrival[x][q] > c.cfg.ExcludeAfter && 2*near > len(c.cfg.Regions)
}

func (c *checker) passes(now rules.Time) {
	for q := range c.cfg.Regions {
		for x := range c.cfg.Regions {
			c.gone[x] = c.gone[x] || c.countedOut(q, x, now)
		}
	}
}

// told takes in that r took what from knew.
func (c *checker) told(r int, m known, whole bool, took rules.MergeResult) error {
	k := &c.knows[r]
	if took.Joined {
		if !c.reopened[r] && !c.gone[r] {
			return fmt.Errorf("rule 6: region %d joins anew, but was never gone past the term, old or empty", r)
		}
		// Its subscriptions are dropped, and what it heard of devices that the other doesn't know.
		for e := range k.most.all {
			switch c.events[e].kind {
			case subscribed:
				k.surely.del(e)
				k.most.del(e)
			case renewed:
				k.surely.del(e)
			}
		}
	}
	if whole {
		k.surely.add(m.surely)
	}
	k.most.add(m.most)
	return nil
}

func (c *checker) valid(s event, among *set, surely bool) bool {
	saw := &s.saw.most
	if surely {
		saw = &s.saw.surely
	}
	for w := range among.all {
		if e := c.events[w]; e.kind == withdrawn && e.key == s.key && !saw.has(w) {
			return false
		}
	}
	return true
}

func heard(e event, device string) bool {
	return e.key.Device == device && e.kind == renewed
}

// subscribes judges that r took a subscription: a late copy of what a device had asked
// for before it withdrew is none.
func (c *checker) subscribes(r int, k rules.Key, req rules.Presence) error {
	for id := range c.knows[r].surely.all {
		e := c.events[id]
		if e.kind == withdrawn && e.key == k && cmp.Or(cmp.Compare(e.p.Epoch, req.Epoch), cmp.Compare(e.p.Count, req.Count)) >= 0 {
			return fmt.Errorf("rule 1: region %d took a copy of a request of %v that is not after its withdrawal", r, k)
		}
	}
	return nil
}

// later tells whether hearing a comes after hearing b.
func (c *checker) later(a, b event) bool {
	return cmp.Or(cmp.Compare(a.p.Epoch, b.p.Epoch), cmp.Compare(a.p.Count, b.p.Count),
		cmp.Compare(c.cfg.Regions[b.region], c.cfg.Regions[a.region])) > 0
}

func (c *checker) lastHeard(device string, among *set) (last event, ok bool) {
	for id := range among.all { // of a repeat the first
		if e := c.events[id]; heard(e, device) && (!ok || c.later(e, last)) {
			last, ok = e, true
		}
	}
	return last, ok
}

func about(t rules.Target, k rules.Key) bool {
	return t == rules.Target{Kind: rules.Topic, Name: k.Topic} || t == rules.Target{Kind: rules.Tenant, Name: k.Tenant} ||
		t == rules.Target{Kind: rules.Device, Name: k.Device}
}

// barred tells whether a block of k is in blocks that none of lifts saw.
func (c *checker) barred(k rules.Key, blocks, lifts *set, surely bool) bool {
next:
	for id := range blocks.all {
		b := c.events[id]
		if b.kind != blocked || !about(b.target, k) {
			continue
		}
		for l := range lifts.all {
			if e := c.events[l]; e.kind == lifted && e.target == b.target && (e.saw.surely.has(id) || !surely && e.saw.most.has(id)) {
				continue next
			}
		}
		return true
	}
	return false
}

// delivers judges that region r would deliver to k at now, by its clock.
func (c *checker) delivers(r int, k rules.Key, now rules.Time) error {
	know := &c.knows[r]
	if !slices.ContainsFunc(c.events, func(e event) bool { return e.kind == subscribed && e.key == k }) {
		return fmt.Errorf("region %d delivers to %v, which never subscribed", r, k)
	}
	ok := false
	for id := range know.most.all {
		if e := c.events[id]; e.kind == subscribed && e.key == k && c.valid(e, &know.surely, false) {
			ok = true
			break
		}
	}
	if !ok {
		return fmt.Errorf("rule 1: region %d delivers to %v without a subscription that saw the withdrawals known there", r, k)
	}
	if last, is := c.lastHeard(k.Device, &know.surely); is && last.region != r {
		own := false
		for id := range know.most.all {
			e := c.events[id]
			own = own || heard(e, k.Device) && e.region == r && !c.later(last, e)
		}
		if !own {
			return fmt.Errorf("rule 2: region %d delivers to %s, known there to be last heard in %d", r, k.Device, last.region)
		}
	}
	if c.barred(k, &know.surely, &know.most, false) {
		return fmt.Errorf("rule 4: region %d delivers to %v against a block", r, k)
	}
	if !c.reopened[r] {
		fresh := false
		for _, e := range c.events {
			fresh = fresh || heard(e, k.Device) && e.region == r && now < e.at+e.p.Span
		}
		if !fresh {
			return fmt.Errorf("rule 5: region %d delivers to %s past its lease", r, k.Device)
		}
	}
	for id := range know.surely.all {
		e := c.events[id]
		if e.kind != endedLease || e.key.Device != k.Device {
			continue
		}
		if last, _ := c.lastHeard(k.Device, &know.most); !c.later(last, e) {
			return fmt.Errorf("rule 5: region %d delivers to %s after its lease was ended", r, k.Device)
		}
	}
	return nil
}

// ends judges that region r ends a device's lease; now is play time, at the region's.
func (c *checker) ends(r int, device string, now, at rules.Time) error {
	last, ok := c.lastHeard(device, &c.knows[r].most)
	if !ok {
		return nil // an old copy ends what it alone still holds
	}
	sure, known := c.lastHeard(device, &c.knows[r].surely)
	own := false
	for id := range c.knows[r].most.all { // its own, unless it surely knows of a later one
		if e := c.events[id]; heard(e, device) && e.region == r && (!known || !c.later(sure, e)) && (!own || c.later(e, last)) {
			last, own = e, true
		}
	}
	if last.region == r {
		if at < last.at+last.p.Span {
			return fmt.Errorf("rule 5: region %d ends the lease of %s early", r, device)
		}
	} else if sure.region != r && !c.countedOut(r, sure.region, now) &&
		!c.countedOut(r, last.region, now) {
		return fmt.Errorf("rule 5: region %d ends the lease of %s, held by %d", r, device, last.region)
	}
	if now < c.healed[r]+c.cfg.HealGrace {
		return fmt.Errorf("rule 5: region %d ends the lease of %s within the grace after a heal", r, device)
	}
	for x := range c.cfg.Regions {
		if x != r && now-c.arrival[x][r] > c.cfg.CutOffAfter && !c.countedOut(r, x, now) {
			return fmt.Errorf("rule 5: region %d ends the lease of %s while cut off from %d", r, device, x)
		}
	}
	last.kind, last.key = endedLease, rules.Key{Device: device}
	id := c.note(event{kind: endedLease, key: last.key, region: r, at: at, p: last.p})
	c.events[id].region = last.region // the hearing that is over
	c.evs[device] = true
	return nil
}

// agreed judges what all regions hold after heal and exchange. why tells what a region
// holds of a key, clock its time.
func (c *checker) agreed(keys []rules.Key, why func(int, rules.Key) rules.Status, clock func(int) rules.Time) error {
	all, both := known{}, c.knows[0].surely
	for _, k := range c.knows {
		all.surely.add(k.surely)
		all.most.add(k.most)
		for i := range both {
			both[i] &= k.surely[i]
		}
	}
	used := map[rules.Target]int{}
	at := map[rules.Key]int{}
	wait := map[rules.Key]rules.Target{}
	for _, k := range keys {
		var by []int
		for r := range c.cfg.Regions {
			switch w := why(r, k); w.Reason {
			case rules.Delivered:
				by = append(by, r)
			case rules.Waiting:
				wait[k] = w.Target
			}
		}
		if len(by) > 1 {
			return fmt.Errorf("rule 2: %v is delivered to by regions %v", k, by)
		}
		if len(by) == 1 {
			at[k] = by[0]
			for _, t := range []rules.Target{{Kind: rules.Topic, Name: k.Topic}, {Kind: rules.Tenant, Name: k.Tenant},
				{Kind: rules.InRegion, Name: string(c.cfg.Regions[by[0]])}} {
				used[t]++
			}
		}
		if err := c.owed(k, by, &both, &all.most, why, clock); err != nil {
			return err
		}
	}
	for t, most := range c.cfg.Limits {
		if used[t] > most {
			return fmt.Errorf("rule 3: %d within %v, whose limit is %d", used[t], t, most)
		}
	}
	for x, t := range wait {
		for y, r := range at {
			in := t.Kind == rules.Topic && y.Topic == t.Name || t.Kind == rules.Tenant && y.Tenant == t.Name ||
				t.Kind == rules.InRegion && string(c.cfg.Regions[r]) == t.Name
			if in && c.before(x, y) {
				return fmt.Errorf("rule 3: %v waits for %v and was passed by %v", x, t, y)
			}
		}
	}
	return nil
}

// before tells whether every subscription of y knew one of x that always stood.
func (c *checker) before(x, y rules.Key) bool {
	first := -1
	for id, e := range c.events {
		if e.kind == withdrawn && e.key == x {
			return false
		}
		if first < 0 && e.kind == subscribed && e.key == x {
			first = id
		}
	}
	for _, k := range c.knows {
		if first < 0 || !k.surely.has(first) || c.evs[x.Device] {
			return false
		}
	}
	for _, e := range c.events {
		if e.kind == subscribed && e.key == y && !e.saw.surely.has(first) {
			return false
		}
	}
	return true
}

// twice tells whether a withdrawal of k may count twice, which docs/design/fanout.md
// admits: its region lost its folder, and some region was counted out.
func (c *checker) twice(k rules.Key) bool {
	return slices.Contains(c.gone, true) && slices.ContainsFunc(c.events, func(e event) bool {
		return e.kind == withdrawn && e.key == k && c.reopened[e.region]
	})
}

// owed judges that k is delivered to, where it is clear that it must be.
func (c *checker) owed(k rules.Key, by []int, both, most *set, why func(int, rules.Key) rules.Status, clock func(int) rules.Time) error {
	if c.evs[k.Device] || c.twice(k) {
		return nil
	}
	ok := false
	for id := range both.all {
		e := c.events[id]
		ok = ok || e.kind == subscribed && e.key == k && c.valid(e, most, true)
	}
	last, is := c.lastHeard(k.Device, both)
	if maybe, _ := c.lastHeard(k.Device, most); !ok || !is || c.later(maybe, last) || c.reopened[last.region] || clock(last.region) >= last.at+last.p.Span {
		return nil
	}
	if len(by) == 1 {
		if by[0] != last.region {
			return fmt.Errorf("rule 2: %v is delivered to by %d, last heard in %d", k, by[0], last.region)
		}
		return nil
	}
	switch w := why(last.region, k); w.Reason {
	case rules.Waiting:
		return nil
	case rules.Blocked:
		if !c.barred(k, most, both, true) {
			return fmt.Errorf("rule 4: %v is held by %v, which was lifted", k, w.Target)
		}
		return nil
	default:
		return fmt.Errorf("rule 3: %v vanished: region %d says %q", k, last.region, w.Reason)
	}
}
