// Package fleet has a gateway know its peers: it runs the group's part on one
// goroutine, behind sockets, and joins it to the gateway. No request waits for it
// or fails by it; without it, or without any peer, the gateway serves as ever.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"reachwind/internal/fleet/drain"
	"reachwind/internal/fleet/group"
	"reachwind/internal/fleet/observation"
	"reachwind/internal/fleet/peers"
	"reachwind/internal/fleet/quota"
	"reachwind/internal/fleet/subscribe"
	"reachwind/internal/fleet/swim"
	"reachwind/internal/fleet/view"
	"reachwind/internal/logthrottle"
)

const (
	tick       = 100 * time.Millisecond
	asksMost   = 64 // callers that wait for the owner
	adminWait  = 2 * time.Second
	sawMost    = 256 // observations that wait for the owner; more are dropped and counted
	seedsEvery = 5 * time.Second
	shareEvery = time.Second
	shareStep  = 0.05 // by which a part must change to be told to the gateway
)

// Gateway is what the fleet needs of the gateway. Its methods must not block.
type Gateway interface {
	// ApplyAdvice takes advice on a member.
	ApplyAdvice(member string, look, try, guess bool)
	// SetQuotas takes what this gateway may use of each shared budget, 1 being its own part, and returns how much of its
	// own part it asked for lately, by done, which may be called later.
	SetQuotas(parts [quota.BudgetCount]float64, done func(used [quota.BudgetCount]float64))
	// CollectCounts gives, by done, which may be called later, the final answers since the start and what is known of some
	// members, of all in turn.
	CollectCounts(done func(subscribe.Counts, []subscribe.MemberReport, []subscribe.ZoneAttempts))
	// SetZonesAway takes which parts of the zones' load go elsewhere; zones that are not named keep theirs.
	SetZonesAway(away map[string]float64)
	// ProbeZonesAway tries some members of zones that load goes away from. It is called each second.
	ProbeZonesAway()
	// SetDrainingMembers takes all members that the council permits to go out now.
	SetDrainingMembers(members []string)
	// SetConnectionFraction opens the clients' side for a part of the connections it may have, 0 = it is shut and connections end.
	SetConnectionFraction(part float64)
	// OpenConnections is how many client connections are open.
	OpenConnections() int
}

// Deps are what a fleet part is made of.
type Deps struct {
	Log     *slog.Logger
	Gateway Gateway                            // nil: none, for processes that are peers only
	Wall    func() time.Time                   // the process's own wall clock
	Zone    string                             // the gateway's, if the block names none
	Load    func() float64                     // how busy the gateway is; may be nil
	Longest time.Duration                      // the longest that a request may take
	Listen  func(string) (net.Listener, error) // for the admin address
}

// Fleet is the part at work.
type Fleet struct {
	conf       Config
	deps       Deps
	log        *slog.Logger
	net        *peers.Sockets
	group      *group.Group // the owner's
	begin      time.Time
	epoch      uint64
	number     uint64
	events     *eventLog
	saw        chan group.MemberObservation
	asks       chan func()
	stop       chan struct{}
	ended      chan struct{}
	admin      *http.Server
	seeds      []string
	parts      [quota.BudgetCount]float64
	subscribed *subscribe.Subscription
	drain      *drain.Machine
	asker      subscribe.PermitRequester
	waits      []func(drain.Status, string) // for the end of a drain that was asked for
	part       float64                      // of the door
	counts     subscribe.Counts
	seen       []subscribe.MemberReport
	tried      []subscribe.ZoneAttempts
	zones      zones
	drains     map[string]time.Duration // members permitted to go out, and until when by this clock
	leaves     bool
	grantedAt  uint64 // index below which nothing told knows of the newest grant

	member, discovery atomic.Int64 // last answers, on the fleet's clock
	hot               atomic.Pointer[map[string]bool]
	dropped           atomic.Int64
	once              sync.Once

	suspects, looks logthrottle.Line
}

// Start opens the sockets and begins.
func Start(c Config, d Deps) (*Fleet, error) {
	if c.Zone == "" {
		c.Zone = d.Zone
	}
	if d.Wall == nil {
		d.Wall = time.Now
	}
	last := uint64(0)
	if c.Folder != "" {
		var err error
		if last, err = readEpoch(c.Folder); err != nil {
			d.Log.Warn("fleet epoch not read, the clock gives a new one", "err", err)
		}
	}
	f := &Fleet{conf: c, deps: d, log: d.Log, begin: time.Now(), saw: make(chan group.MemberObservation, sawMost), asks: make(chan func(), asksMost),
		stop: make(chan struct{}), ended: make(chan struct{})}
	f.epoch = group.NewEpoch(d.Wall().UnixMilli(), uint16(rand.Uint32()), last)
	f.keepEpoch()
	f.member.Store(int64(view.DistantPast))
	f.discovery.Store(int64(view.DistantPast))
	f.hot.Store(&map[string]bool{})
	for i := range f.parts {
		f.parts[i] = 1
	}
	var err error
	if f.events, err = newEventLog(c.Events); err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	if f.net, err = peers.Listen(peers.Config{Listen: c.Listen, Advertise: c.Advertise, Keys: c.Keys, BytesPerSecond: c.Bytes, Routes: c.Routes}, d.Log); err != nil {
		return nil, err
	}
	f.seeds = f.allSeeds()
	f.group = group.New(group.Config{Region: c.Region, Version: c.Version, Started: 0,
		Swim: swim.Config{Name: c.Name, Addr: f.net.AdvertisedAddr(), Zone: c.Zone, Epoch: f.epoch, Seeds: f.seeds, Seed: rand.Uint64(), KeepFailed: c.Keep}})
	if err := f.listenAdmin(); err != nil {
		f.net.Close()
		return nil, fmt.Errorf("admin: %w", err)
	}
	f.event(Event{Kind: "start"})
	f.subscribed = subscribe.New()
	f.drain = drain.New(drain.Config{Longest: d.Longest, SignalWait: c.SignalWait})
	f.part = 1
	f.log.Info("fleet begins", "name", c.Name, "epoch", f.epoch, "listen", c.Listen, "advertise", f.net.AdvertisedAddr(), "seeds", len(f.seeds))
	go f.run()
	return f, nil
}

func (f *Fleet) keepEpoch() {
	if f.conf.Folder == "" {
		return
	}
	if err := writeEpoch(f.conf.Folder, f.epoch); err != nil {
		f.log.Warn("fleet epoch not kept", "err", err)
	}
}

func (f *Fleet) allSeeds() []string {
	seeds := slices.Clone(f.conf.Seeds)
	if f.conf.SeedFile != "" {
		more, err := readSeeds(f.conf.SeedFile)
		if err != nil {
			f.log.Warn("fleet seeds not read, the old ones hold", "err", err)
			return f.seeds
		}
		seeds = append(seeds, more...)
	}
	if seeds == nil {
		seeds = []string{}
	}
	return seeds
}

func (f *Fleet) now() time.Duration { return time.Since(f.begin) }

// run owns the group.
func (f *Fleet) run() {
	defer close(f.ended)
	t := time.NewTicker(tick)
	defer t.Stop()
	var seedsAt, shareAt, reportAt time.Duration
	for {
		select {
		case <-f.stop:
			f.leaves = true
			f.report(f.now())
			f.carry(f.group.Step(f.now(), group.Event{Leave: true}))
			f.event(Event{Kind: "leave"})
			return
		case m := <-f.net.Received():
			if len(m.Frame) > 1 && m.Frame[0] == subscribe.FrameUpdate {
				f.told(m.Frame[1:])
				continue
			}
			if len(m.Frame) > 1 && m.Frame[0] == subscribe.FramePermitAnswer {
				f.got(m.Frame[1:])
				continue
			}
			f.carry(f.group.Step(f.now(), group.Event{Frame: m.Frame, Stream: m.Stream, Refused: m.RefusedAddr}))
		case s := <-f.saw:
			if !s.Quiet && !s.Looked {
				f.event(Event{Kind: "member", Member: s.Member, State: s.Kind.String()})
			}
			f.carry(f.group.Step(f.now(), group.Event{Saw: &s}))
		case ask := <-f.asks:
			ask()
		case <-t.C:
			now := f.now()
			f.group.SetLastAnswers(time.Duration(f.member.Load()), time.Duration(f.discovery.Load()))
			if f.deps.Load != nil {
				f.group.SetLoad(f.deps.Load())
			}
			f.carry(f.group.Step(now))
			if now >= seedsAt {
				seedsAt = now + seedsEvery
				if s := f.allSeeds(); !slices.Equal(s, f.seeds) {
					f.seeds = s
					f.carry(f.group.Step(now, group.Event{Seeds: s}))
				}
				f.warm()
			}
			if now >= reportAt && len(f.conf.Council) > 0 {
				reportAt = now + subscribe.ReportInterval
				f.report(now)
			}
			f.drained(now, drain.Event{})
			f.zonesEnd(now)
			if now >= shareAt && f.deps.Gateway != nil {
				shareAt = now + shareEvery
				f.share(now)
			}
		}
	}
}

// share tells the gateway its parts, and learns what it used.
func (f *Fleet) share(now time.Duration) {
	for i := range f.parts {
		if p := f.group.Ledger.Quota(now, i); p < f.parts[i] || p > f.parts[i]+shareStep {
			f.parts[i] = p // less at once, more by steps
		}
	}
	f.deps.Gateway.SetQuotas(f.parts, func(used [quota.BudgetCount]float64) {
		select {
		case f.asks <- func() {
			for i, u := range used {
				f.group.Ledger.RecordUse(i, u)
			}
		}:
		default:
		}
	})
}

// warm notes which members something is claimed of: answers of others need no look.
func (f *Fleet) warm() {
	hot := map[string]bool{}
	for _, m := range f.group.Book.Members() {
		hot[m] = true
	}
	if len(hot) > 0 || len(*f.hot.Load()) > 0 {
		f.hot.Store(&hot)
	}
}

// carry carries out what the group wants.
func (f *Fleet) carry(acts []group.Action) {
	for i := range acts {
		a := &acts[i]
		switch {
		case a.Frame != nil && a.Stream != 0:
			f.net.Reply(a.Stream, a.To, a.Frame, a.Spare)
		case a.Frame != nil:
			f.net.Send(a.Name, a.To, a.Frame, a.Dial, a.Spare)
		case a.Change != nil:
			f.change(a.Change)
		case a.Verdict:
			s := f.group.View.Status()
			f.log.Info("fleet verdict", "verdict", s.Verdict.String(), "number", s.Number, "reasons", s.Reasons)
			f.event(Event{Kind: "verdict", State: s.Verdict.String(), Reasons: s.Reasons})
		case a.Advice != nil:
			v := a.Advice
			if v.Look {
				f.looks.Info(f.log, "fleet has members looked at", "member", v.Member, "witnesses", v.Witnesses)
				f.event(Event{Kind: "look", Member: v.Member})
				hot := map[string]bool{v.Member: true}
				for m := range *f.hot.Load() {
					hot[m] = true
				}
				f.hot.Store(&hot)
			}
			if f.deps.Gateway != nil {
				f.deps.Gateway.ApplyAdvice(v.Member, v.Look, v.Try, v.Guess)
			}
		}
	}
}

func (f *Fleet) change(c *swim.Change) {
	switch {
	case c.PausedFor > 0:
		f.log.Warn("this gateway was stopped a while", "span", c.PausedFor)
		f.event(Event{Kind: "paused", For: int64(c.PausedFor)})
	case c.Displaced:
		f.log.Error("another gateway has this name", "name", f.conf.Name, "its_epoch", c.Peer.Epoch, "its_address", c.Peer.Addr)
		f.event(Event{Kind: "displaced", Peer: c.Peer.Name, PeerEpoch: c.Peer.Epoch})
	case c.NewEpoch != 0:
		f.epoch = c.NewEpoch
		f.keepEpoch()
		f.log.Info("fleet epoch is new", "epoch", c.NewEpoch)
		f.event(Event{Kind: "epoch"})
	case c.PreviousState == c.Peer.State:
	default:
		was := ""
		if c.PreviousState != 0 {
			was = c.PreviousState.String()
		}
		f.event(Event{Kind: "peer", Peer: c.Peer.Name, PeerEpoch: c.Peer.Epoch, State: c.Peer.State.String(), PreviousState: was})
		if c.Peer.State == swim.Suspect || c.PreviousState == swim.Suspect && c.Peer.State == swim.Alive {
			f.suspects.Info(f.log, "fleet peer", "peer", c.Peer.Name, "state", c.Peer.State.String(), "was", was)
			return
		}
		f.log.Info("fleet peer", "peer", c.Peer.Name, "state", c.Peer.State.String(), "was", was, "epoch", c.Peer.Epoch)
	}
}

func (f *Fleet) event(e Event) {
	if f.events == nil {
		return
	}
	f.number++
	e.Name, e.Epoch, e.Number, e.MonoNs, e.WallNs = f.conf.Name, f.epoch, f.number, int64(f.now()), f.deps.Wall().UnixNano()
	f.events.put(e)
}

// What the gateway saw. These may be called from any goroutine and never block.

// RecordObservation takes what the gateway came to believe of a member by its own experience.
func (f *Fleet) RecordObservation(member string, k observation.Kind, position int64) {
	f.look(group.MemberObservation{Member: member, Kind: k, Position: position})
}

// RecordProbe takes how a probe of a member ended.
func (f *Fleet) RecordProbe(member string, answered bool) {
	if (*f.hot.Load())[member] {
		k := observation.Silent
		if answered {
			k = observation.Answers
		}
		f.look(group.MemberObservation{Member: member, Kind: k, Looked: true})
	}
}

// RecordAnswer takes that a member answered a request. It is on each request's way: a store, and no more for members
// that nothing is claimed of.
func (f *Fleet) RecordAnswer(member string) {
	f.member.Store(int64(f.now()))
	if hot := *f.hot.Load(); len(hot) > 0 && hot[member] {
		f.look(group.MemberObservation{Member: member, Kind: observation.Answers, Quiet: true})
	}
}

// RecordDiscovery takes that discovery answered.
func (f *Fleet) RecordDiscovery() { f.discovery.Store(int64(f.now())) }

func (f *Fleet) look(s group.MemberObservation) {
	select {
	case f.saw <- s:
	default:
		f.dropped.Add(1)
	}
}

// Reload, and the end.

// ErrRestart is returned for a change that a reload can't make.
var ErrRestart = errors.New("listen, advertise, admin, council, zone, region, folder, events and bytes_per_second take a restart")

// Prepare checks a new configuration and returns what takes it over: keys, routes and seeds.
func (f *Fleet) Prepare(c Config) (func(), error) {
	o := &f.conf
	if c.Zone == "" {
		c.Zone = f.deps.Zone
	}
	if !slices.Equal(c.Council, o.Council) || c.Listen != o.Listen || c.Advertise != o.Advertise || c.Admin != o.Admin || c.Zone != o.Zone || c.Region != o.Region || c.Folder != o.Folder ||
		c.Events != o.Events || c.Bytes != o.Bytes {
		return nil, ErrRestart
	}
	return func() {
		f.net.SetKeys(c.Keys, c.Routes)
		_ = f.ask(func() { f.conf.Seeds, f.conf.SeedFile = c.Seeds, c.SeedFile })
	}, nil
}

// Close tells the peers that this gateway leaves, and ends.
func (f *Fleet) Close(ctx context.Context) {
	f.once.Do(func() {
		close(f.stop)
		<-f.ended
		if f.admin != nil {
			_ = f.admin.Shutdown(ctx)
		}
		f.net.Close()
		f.events.close()
	})
}

// ask has the owner run a function and waits for it.
func (f *Fleet) ask(do func()) error {
	done := make(chan struct{})
	t := time.NewTimer(adminWait)
	defer t.Stop()
	select {
	case f.asks <- func() { do(); close(done) }:
	case <-t.C:
		return errors.New("the fleet part is too busy")
	case <-f.ended:
		return errors.New("the fleet part has ended")
	}
	select {
	case <-done:
	case <-t.C:
		return errors.New("the fleet part is too busy")
	case <-f.ended:
		return errors.New("the fleet part has ended")
	}
	return nil
}

// Admin.

// Member is a line of `reachwind fleet members`.
type Member struct {
	Name       string  `json:"name"`
	Zone       string  `json:"zone"`
	Region     string  `json:"region"`
	State      string  `json:"state"`
	Epoch      uint64  `json:"epoch"`
	Version    string  `json:"version"`
	Address    string  `json:"address"`
	Verdict    string  `json:"verdict"`
	Load       float64 `json:"load"`
	Drain      bool    `json:"drain"`
	SinceMs    int64   `json:"since_ms"`
	RTTMs      float64 `json:"rtt_ms"`
	Confidence float64 `json:"sure"`
	Self       bool    `json:"self"`
}

// View is what `reachwind fleet view` shows.
type View struct {
	Name            string             `json:"name"`
	Epoch           uint64             `json:"epoch"`
	Verdict         string             `json:"verdict"`
	Number          uint64             `json:"number"`
	SinceMs         int64              `json:"since_ms"`
	Reasons         []string           `json:"reasons"`
	Digest          string             `json:"digest"`
	Doubt           int                `json:"doubt"`
	Quotas          map[string]float64 `json:"parts"`
	Counts          map[string]int64   `json:"counts"`
	Council         *subscribe.State   `json:"council,omitempty"` // what was last heard of it, and how old that is
	Drain           drain.Status       `json:"drain"`
	MembersDraining []string           `json:"members_draining,omitempty"` // as the council permits them to go out
	ZonePlan        uint64             `json:"zone_plan,omitempty"`
	ZonesAway       map[string]float64 `json:"zones_away,omitempty"` // parts of zones' load that go elsewhere
}

func (f *Fleet) members() []Member {
	now := f.now()
	self := f.group.Swim.Self()
	all := []Member{{Name: self.Name, Zone: f.conf.Zone, Region: f.conf.Region, State: self.State.String(), Epoch: self.Epoch, Version: f.conf.Version,
		Address: self.Addr, Verdict: f.group.View.Status().Verdict.String(), SinceMs: now.Milliseconds(), Confidence: 1, Self: true}}
	e := f.group.Evidence()
	for _, p := range f.group.Swim.Peers() {
		m := f.group.PeerMeta(&p)
		all = append(all, Member{Name: p.Name, Zone: m.Zone, Region: m.Region, State: p.State.String(), Epoch: p.Epoch, Version: m.Version, Address: p.Addr,
			Verdict: m.Verdict.String(), Load: float64(m.Load) / 8, Drain: m.Drain, SinceMs: (now - p.Since).Milliseconds(),
			RTTMs: float64(p.RTT.Microseconds()) / 1000, Confidence: f.group.View.Confidence(now, &p, e)})
	}
	slices.SortFunc(all, func(a, b Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

func (f *Fleet) view() View {
	now := f.now()
	s := f.group.View.Status()
	c := &f.net.Counts
	d := f.group.Swim.Dropped
	v := View{Name: f.conf.Name, Epoch: f.epoch, Verdict: s.Verdict.String(), Number: s.Number, SinceMs: (now - s.Since).Milliseconds(), Reasons: s.Reasons,
		Digest: fmt.Sprintf("%016x", f.group.Swim.Digest()), Doubt: f.group.Swim.Doubt(), Quotas: map[string]float64{},
		Counts: map[string]int64{"sent": c.Sent.Load(), "sent_bytes": c.SentBytes.Load(), "taken": c.Received.Load(), "taken_bytes": c.ReceivedBytes.Load(),
			"unauthentic": c.Unauthentic.Load(), "repeated": c.Repeated.Load(), "unknown_key": c.UnknownKey.Load(), "overflow": c.Overflow.Load(),
			"throttled": c.Throttled.Load(), "streams_refused": c.StreamsRefused.Load(), "unknown_kind": int64(f.group.Unknown + d.Kind),
			"garbled": int64(f.group.Garbled), "old_epoch": int64(d.Epoch), "wrong_address": int64(d.Address), "impossible": int64(d.Incarnation),
			"table_full": int64(d.Full), "claims_full": int64(f.group.Book.Dropped.Full), "claims_old": int64(f.group.Book.Dropped.Old),
			"looks": int64(f.group.Book.Looks), "looks_wrong": int64(f.group.Book.Wrong), "looks_held": int64(f.group.Book.Dropped.Rate),
			"saw_dropped": f.dropped.Load(), "loans_out": int64(f.group.Ledger.Lent), "loans_in": int64(f.group.Ledger.Taken),
			"loans_refused": int64(f.group.Ledger.Refused)}}
	if f.events != nil {
		v.Counts["events_dropped"] = f.events.Dropped.Load()
	}
	if len(f.conf.Council) > 0 {
		s := f.subscribed.State(now)
		v.Council = &s
	}
	v.Drain = f.drain.Status(now)
	v.ZonePlan, v.ZonesAway = f.zones.number, maps.Clone(f.zones.away)
	v.MembersDraining = slices.Sorted(maps.Keys(f.drains))
	for i, n := range quota.BudgetNames {
		v.Quotas[n] = f.group.Ledger.Quota(now, i)
	}
	return v
}

// listenAdmin serves what `reachwind fleet` asks for.
func (f *Fleet) listenAdmin() error {
	if f.conf.Admin == "" {
		return nil
	}
	l, err := net.Listen("tcp", f.conf.Admin)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	handle := func(path string, get func() any) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
			var v any
			if err := f.ask(func() { v = get() }); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(v)
		})
	}
	handle("/v1/members", func() any { return f.members() })
	handle("/v1/view", func() any { return f.view() })
	handle("/v1/beliefs", func() any { return f.group.Book.Summaries(f.now()) })
	mux.HandleFunc("POST /v1/drain", f.askDrain)
	f.admin = &http.Server{Handler: mux, ReadHeaderTimeout: adminWait, ReadTimeout: adminWait, WriteTimeout: drainAskMost + adminWait, IdleTimeout: adminWait,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug)}
	go func() { _ = f.admin.Serve(l) }()
	return nil
}
