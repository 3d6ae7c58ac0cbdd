// Package simfanout plays days of regions' subscriber lists, drawn from a seed, against
// a checker of the rules: cuts each way and one way, messages that break off or come
// late, devices that hop, repeat and reboot, withdrawals, blocks, full limits, leases,
// stopped processes, old and empty folders. Then all is healed and exchanged.
package simfanout

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"reachwind/internal/fanout/rules"
)

type sent struct {
	m     rules.Message
	knows known
	news  []int
	from  int
	to    int
}

type device struct {
	epoch, count uint64
	tokens       map[rules.Key]rules.Vector
	told         map[rules.Key]int // the event of the token
}

type play struct {
	*rand.Rand
	cfg      rules.Config
	guards   rules.Guards
	lists    []*rules.List
	copies   []*rules.List
	copied   []known
	stopped  []rules.Time // until
	offset   []rules.Time
	lives    uint64
	cut      [][]bool
	late     []sent
	devices  []device
	keys     []rules.Key
	msgs     int
	now      rules.Time
	diverged bool
	c        *checker
}

// Stats counts what plays came by.
type Stats struct{ Plays, Events, Messages, Refused, Joined, Dropped, Ended, Waits, Diverged int }

// Play plays the day of a seed with guards switched off, and returns the first rule
// broken. It adds to s.
func Play(seed uint64, g rules.Guards, s *Stats) error {
	p := &play{Rand: rand.New(rand.NewPCG(seed, 28)), guards: g}
	n := 2 + p.IntN(3)
	p.cfg = rules.Config{Limits: map[rules.Target]int{}, CutOffAfter: 3 * time.Second, HealGrace: 4 * time.Second, ExcludeAfter: 15 * time.Second,
		MaxRequestDelay: time.Hour}
	for i := range n {
		p.cfg.Regions = append(p.cfg.Regions, rules.Region(string(rune('a'+i))))
		p.offset = append(p.offset, time.Duration(p.IntN(100))*time.Hour)
		p.cut = append(p.cut, make([]bool, n))
	}
	p.stopped, p.copies, p.copied = make([]rules.Time, n), make([]*rules.List, n), make([]known, n)
	for _, t := range []rules.Target{{Kind: rules.Topic, Name: "t0"}, {Kind: rules.Tenant, Name: "c0"}, {Kind: rules.InRegion, Name: "a"}} {
		if p.IntN(2) == 0 {
			p.cfg.Limits[t] = 1 + p.IntN(3)
		}
	}
	p.c = newChecker(p.cfg)
	for i := range n {
		p.fresh(i)
	}
	for d := range 2 + p.IntN(4) {
		p.devices = append(p.devices, device{epoch: 1, tokens: map[rules.Key]rules.Vector{}, told: map[rules.Key]int{}})
		for t := range 2 {
			p.keys = append(p.keys, rules.Key{Topic: fmt.Sprintf("t%d", t), Tenant: fmt.Sprintf("c%d", d%2), Device: fmt.Sprintf("d%d", d)})
		}
	}
	s.Plays++
	defer func() { s.Events += len(p.c.events); s.Messages += p.msgs }()
	// Some days are about links alone, on some folders are lost too.
	folders, links := p.IntN(3) == 0, p.IntN(12)
	for range 40 + p.IntN(80) {
		span := time.Duration(p.IntN(900)) * time.Millisecond
		if p.IntN(30) == 0 {
			span += time.Duration(p.IntN(12)) * time.Second
		}
		err := p.pass(span, s)
		if err == nil {
			err = p.step(folders, links, s)
		}
		if err != nil {
			return fmt.Errorf("seed %d at %v: %w", seed, p.now, err)
		}
	}
	if err := p.heal(s); err != nil {
		return fmt.Errorf("seed %d after the heal: %w", seed, err)
	}
	return nil
}

func (p *play) clock(r int) rules.Time { return p.now + p.offset[r] }

// fresh gives a region an empty list.
func (p *play) fresh(r int) {
	cfg := p.cfg
	cfg.Region = cfg.Regions[r]
	p.lives++
	l := rules.New(cfg, p.guards, p.lives, p.clock(r))
	if r < len(p.lists) {
		p.lists[r] = l
		return
	}
	p.lists = append(p.lists, l)
}

// pass lets time pass, in which regions that are not stopped are ticked.
func (p *play) pass(span rules.Time, s *Stats) error {
	for span > 0 {
		d := min(span, 900*time.Millisecond)
		p.now, span = p.now+d, span-d
		for r := range p.lists {
			if p.now >= p.stopped[r] {
				if err := p.tick(r, s); err != nil {
					return err
				}
				if err := p.judge(r); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (p *play) step(folders bool, links int, s *Stats) error {
	r := p.IntN(len(p.lists))
	if p.now < p.stopped[r] {
		return nil
	}
	switch x := p.IntN(40); {
	case x < 8:
		if err := p.subscribe(r); err != nil {
			return err
		}
	case x < 12:
		p.renew(r)
	case x < 14:
		k := p.keys[p.IntN(len(p.keys))]
		p.withdraw(r, k)
	case x < 16:
		t := p.target()
		if p.IntN(3) == 0 {
			p.lists[r].Block(t)
			p.c.note(event{kind: blocked, target: t, region: r})
		} else if p.lists[r].Unblock(t) {
			p.c.note(event{kind: lifted, target: t, region: r})
		}
	case x < 19:
		if a, b := p.IntN(len(p.lists)), p.IntN(len(p.lists)); p.IntN(12) < links {
			p.cut[a][b] = !p.cut[a][b]
			if p.IntN(2) == 0 {
				p.cut[b][a] = p.cut[a][b]
			}
		}
	case x < 20:
		p.stopped[r] = p.now + time.Duration(p.IntN(20))*time.Second
	case x < 21:
		if folders {
			p.folder(r)
		}
	default:
		if err := p.exchange(r, p.IntN(len(p.lists)), s); err != nil {
			return err
		}
	}
	return p.judge(r)
}

func (p *play) device(name string) *device { return &p.devices[int(name[1]-'0')] }

func (p *play) target() rules.Target {
	k := p.keys[p.IntN(4)]
	return []rules.Target{{Kind: rules.Topic, Name: k.Topic}, {Kind: rules.Tenant, Name: k.Tenant}, {Kind: rules.Device, Name: k.Device}}[p.IntN(3)]
}

// request draws the device's next request; at times it repeats its last.
func (p *play) request(d *device) rules.Presence {
	switch x := p.IntN(20); {
	case x == 0:
		d.epoch, d.count = d.epoch+1, 1
	case x > 2 || d.count == 0:
		d.count++
	}
	return rules.Presence{Epoch: d.epoch, Count: d.count, Span: time.Duration(5+p.IntN(20)) * time.Second}
}

func (p *play) subscribe(r int) error {
	k := p.keys[p.IntN(len(p.keys))]
	d := p.device(k.Device)
	req := p.request(d)
	if p.IntN(10) == 0 && req.Count > 1 { // a late copy of an older one
		req.Count -= 1 + p.Uint64N(req.Count-1)
	}
	token := d.tokens[k]
	if token != nil {
		if w := p.c.events[d.told[k]].p; req.Epoch == w.Epoch && req.Count <= w.Count || req.Epoch < w.Epoch {
			token = nil // this copy was sent before it withdrew
		}
	}
	if p.lists[r].Subscribe(p.clock(r), k, req, token) != nil {
		return nil
	}
	if token != nil {
		p.c.carried(r, d.told[k])
	}
	p.c.note(event{kind: subscribed, key: k, region: r})
	p.c.note(event{kind: renewed, key: rules.Key{Device: k.Device}, region: r, at: p.clock(r), p: req})
	return p.c.subscribes(r, k, req)
}

// withdraw is by the device or, at times, by an operator; then the device has no token.
func (p *play) withdraw(r int, k rules.Key) {
	if p.IntN(4) == 0 {
		p.lists[r].Withdraw(p.clock(r), k, rules.Presence{})
		p.c.note(event{kind: withdrawn, key: k, region: r})
		return
	}
	d := p.device(k.Device)
	req := p.request(d)
	token, heard := p.lists[r].Withdraw(p.clock(r), k, req)
	id := p.c.note(event{kind: withdrawn, key: k, region: r, p: req})
	if heard {
		p.c.note(event{kind: renewed, key: rules.Key{Device: k.Device}, region: r, at: p.clock(r), p: req})
	}
	if p.IntN(2) == 0 {
		d.tokens[k], d.told[k] = token, id
	}
}

func (p *play) renew(r int) {
	name := p.keys[p.IntN(len(p.keys))].Device
	d := p.device(name)
	req := p.request(d)
	if p.IntN(10) == 0 && req.Count > 1 { // a late copy of an older one
		req.Count--
	}
	if ok, err := p.lists[r].Renew(p.clock(r), name, req); ok && err == nil {
		p.c.note(event{kind: renewed, key: rules.Key{Device: name}, region: r, at: p.clock(r), p: req})
	}
}

// folder takes a copy, puts an old one back, or loses all.
func (p *play) folder(r int) {
	p.lives++
	switch x := p.IntN(4); {
	case x < 2:
		p.copies[r], p.copied[r] = p.lists[r].Reopen(0, p.clock(r)), p.c.knows[r]
	case x == 2 && p.copies[r] != nil:
		p.lists[r], p.c.knows[r] = p.copies[r].Reopen(p.lives, p.clock(r)), p.copied[r]
		p.reopened(r)
	case x == 3:
		p.fresh(r)
		p.c.knows[r] = known{}
		p.reopened(r)
	}
}

func (p *play) reopened(r int) {
	p.c.reopened[r], p.c.healed[r], p.c.ran[r] = true, p.now, p.now
	for x := range p.lists {
		p.c.arrival[x][r], p.c.news[r][x] = p.now, 0
	}
}

func (p *play) tick(r int, s *Stats) error {
	p.c.runs(r, p.now)
	for _, d := range p.lists[r].Tick(p.clock(r)) {
		s.Ended++
		if err := p.c.ends(r, d, p.now, p.clock(r)); err != nil {
			return err
		}
	}
	return nil
}

func (p *play) offer(from, to int) sent {
	p.msgs++
	p.c.news[from][from] = p.msgs
	return sent{p.lists[from].Snapshot(p.clock(from)), p.c.knows[from], append([]int(nil), p.c.news[from]...), from, to}
}

// exchange sends a message, whole, in part, or to come late.
func (p *play) exchange(from, to int, s *Stats) error {
	if len(p.late) > 0 && p.IntN(8) == 0 {
		i := p.IntN(len(p.late))
		m := p.late[i]
		p.late = append(p.late[:i], p.late[i+1:]...)
		if p.now >= p.stopped[m.to] {
			return p.take(m, s)
		}
		return nil
	}
	if from == to || p.cut[from][to] || p.now < p.stopped[to] {
		return nil
	}
	m := p.offer(from, to)
	switch p.IntN(8) {
	case 0:
		p.late = append(p.late, m)
		return nil
	case 1, 2:
		m.m.Whole = false
		maps.DeleteFunc(m.m.Entries, func(k rules.Key, _ rules.Entry) bool { return p.part(k.Topic + k.Device) })
		with := map[string]bool{}
		for k := range m.m.Entries {
			with[k.Device] = true
		}
		maps.DeleteFunc(m.m.Devices, func(d string, _ rules.Presence) bool { return !with[d] && p.part(d) })
		maps.DeleteFunc(m.m.Blocks, func(t rules.Target, _ rules.Marks) bool { return p.part(t.Name) })
	}
	return p.take(m, s)
}

// part draws by the name and the count of messages, so that a play is the same each time.
func (p *play) part(name string) bool {
	h := p.msgs * 31
	for _, b := range []byte(name) {
		h = (h ^ int(b)) * 16777619 & 0xffffff
	}
	return h>>8&1 == 0
}

func (p *play) take(m sent, s *Stats) error {
	took, err := p.lists[m.to].Merge(p.clock(m.to), m.m)
	p.c.hears(m.to, m.news, p.now)
	var d *rules.DivergedError
	p.diverged = p.diverged || errors.As(err, &d)
	if err != nil || took.NeedWhole {
		s.Refused++
		return nil
	}
	if took.Joined {
		s.Joined++
		s.Dropped += len(took.Dropped)
	}
	if err := p.c.told(m.to, m.knows, m.m.Whole, took); err != nil {
		return err
	}
	return p.judge(m.to)
}

// judge looks at what a region would deliver now.
func (p *play) judge(r int) error {
	for _, k := range p.keys {
		if p.lists[r].Status(p.clock(r), k).Reason == rules.Delivered {
			if err := p.c.delivers(r, k, p.clock(r)); err != nil {
				return err
			}
		}
	}
	return nil
}

// agree tells whether all lists are equal, without removals that are kept.
func (p *play) agree() error {
	first := p.lists[0].Digest()
	for r, l := range p.lists {
		if l.Digest() != first {
			return fmt.Errorf("regions 0 and %d differ", r)
		}
		if l.Kept() > 0 {
			return fmt.Errorf("rule 6: region %d still keeps %d removals that all have acknowledged", r, l.Kept())
		}
	}
	return nil
}

// heal lets all regions hear each other, whole, in a drawn order, and judges the end.
func (p *play) heal(s *Stats) error {
	n := len(p.lists)
	err := p.agree()
	for round := 0; round < 3*n && (round < 2 || err != nil); round++ {
		p.now += 50 * time.Millisecond
		for r := 0; round < n && r < n; r++ {
			if err := p.tick(r, s); err != nil {
				return err
			}
		}
		for _, i := range p.Perm(n * n) {
			if i/n == i%n {
				continue
			}
			if err := p.take(p.offer(i/n, i%n), s); err != nil {
				return err
			}
		}
		err = p.agree()
	}
	if p.diverged && slices.Contains(p.c.reopened, true) && slices.Contains(p.c.gone, true) {
		s.Diverged++ // told to an operator, who has to choose
		return nil
	}
	if err != nil {
		return err
	}
	why := func(r int, k rules.Key) rules.Status { return p.lists[r].Status(p.clock(r), k) }
	for _, k := range p.keys {
		if why(0, k).Reason == rules.Waiting {
			s.Waits++
		}
	}
	return p.c.agreed(p.keys, why, p.clock)
}
