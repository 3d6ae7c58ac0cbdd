// Package fleet connects a gateway to its peers: it runs the group state on one goroutine, behind sockets, and
// connects it to the gateway. No request waits for it or fails because of it; without it, or without any peer,
// the gateway serves as usual.
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
	tickInterval          = 100 * time.Millisecond
	maxQueuedCalls        = 64 // functions queued for the owner goroutine
	adminTimeout          = 2 * time.Second
	maxQueuedObservations = 256 // observations queued for the owner goroutine; further ones are dropped and counted
	seedsInterval         = 5 * time.Second
	quotaInterval         = time.Second
	quotaStep             = 0.05 // increase of a quota that is passed on to the gateway
)

// Gateway is what the fleet component needs of the gateway. Its methods must not block.
type Gateway interface {
	// ApplyAdvice applies advice on a member: look asks for a probe, try tells that others had answers from
	// it, guess that it may be its group's primary.
	ApplyAdvice(member string, look, try, guess bool)
	// SetQuotas sets what this gateway may use of each shared budget, 1 being its base share, and returns by
	// done, which may be called later, how much it asked for recently, in base shares.
	SetQuotas(quotas [quota.BudgetCount]float64, done func(used [quota.BudgetCount]float64))
	// CollectCounts returns by done, which may be called later, the final answers since the start and what
	// is known of some members, covering all members in rotation.
	CollectCounts(done func(subscribe.Counts, []subscribe.MemberReport, []subscribe.ZoneAttempts))
	// SetZonesAway sets the fraction of each zone's load that goes elsewhere; zones that are not named keep
	// theirs.
	SetZonesAway(away map[string]float64)
	// ProbeZonesAway probes some members of zones that load is moved away from. It is called every second.
	ProbeZonesAway()
	// SetDrainingMembers sets the members that the council permits to go out now.
	SetDrainingMembers(members []string)
	// SetConnectionFraction sets the fraction of the permitted client connections that may be open. At 0 no
	// connections are accepted and open ones end.
	SetConnectionFraction(fraction float64)
	// OpenConnections returns the number of open client connections.
	OpenConnections() int
}

// Deps are the dependencies of a Fleet.
type Deps struct {
	Log     *slog.Logger
	Gateway Gateway                            // nil for processes that are only peers
	Wall    func() time.Time                   // the process's wall clock
	Zone    string                             // the gateway's zone, used if the block names none
	Load    func() float64                     // load of the gateway from 0 to 1; may be nil
	Longest time.Duration                      // the longest that a request may take
	Listen  func(string) (net.Listener, error) // opens the admin API's listener
}

// Fleet is a running fleet component.
type Fleet struct {
	config             Config
	deps               Deps
	log                *slog.Logger
	sockets            *peers.Sockets
	group              *group.Group // owned by the run goroutine
	startedAt          time.Time
	epoch              uint64
	eventNumber        uint64
	events             *eventLog
	observations       chan group.MemberObservation
	calls              chan func()
	stop               chan struct{}
	stopped            chan struct{}
	admin              *http.Server
	seeds              []string
	quotas             [quota.BudgetCount]float64
	subscription       *subscribe.Subscription
	drain              *drain.Machine
	permitRequester    subscribe.PermitRequester
	drainWaiters       []func(drain.Status, string) // called when a requested drain ends or changes state
	connectionFraction float64                      // fraction of the connections that may be open
	counts             subscribe.Counts
	memberReports      []subscribe.MemberReport
	zoneAttempts       []subscribe.ZoneAttempts
	zones              zonePlan
	memberDrains       map[string]time.Duration // members permitted to go out, and until when by this clock
	leaving            bool
	grantIndex         uint64 // log index below which updates may not reflect the latest grant

	memberAnswered, discoveryAnswered atomic.Int64 // times of the last answers, on the fleet's clock
	reportedMembers                   atomic.Pointer[map[string]bool]
	droppedObservations               atomic.Int64
	closeOnce                         sync.Once

	suspectLog, probeLog logthrottle.Line
}

// Start opens the sockets and starts the component.
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
			d.Log.Warn("fleet epoch file not readable, a new epoch is derived from the clock", "err", err)
		}
	}
	f := &Fleet{config: c, deps: d, log: d.Log, startedAt: time.Now(), observations: make(chan group.MemberObservation, maxQueuedObservations), calls: make(chan func(), maxQueuedCalls),
		stop: make(chan struct{}), stopped: make(chan struct{})}
	f.epoch = group.NewEpoch(d.Wall().UnixMilli(), uint16(rand.Uint32()), last)
	f.storeEpoch()
	f.memberAnswered.Store(int64(view.DistantPast))
	f.discoveryAnswered.Store(int64(view.DistantPast))
	f.reportedMembers.Store(&map[string]bool{})
	for i := range f.quotas {
		f.quotas[i] = 1
	}
	var err error
	if f.events, err = newEventLog(c.Events); err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	if f.sockets, err = peers.Listen(peers.Config{Listen: c.Listen, Advertise: c.Advertise, Keys: c.Keys, BytesPerSecond: c.Bytes, Routes: c.Routes}, d.Log); err != nil {
		return nil, err
	}
	f.seeds = f.allSeeds()
	f.group = group.New(group.Config{Region: c.Region, Version: c.Version, Started: 0,
		Swim: swim.Config{Name: c.Name, Addr: f.sockets.AdvertisedAddr(), Zone: c.Zone, Epoch: f.epoch, Seeds: f.seeds, Seed: rand.Uint64(), KeepFailed: c.KeepFailed}})
	if err := f.listenAdmin(); err != nil {
		f.sockets.Close()
		return nil, fmt.Errorf("admin: %w", err)
	}
	f.logEvent(Event{Kind: "start"})
	f.subscription = subscribe.New()
	f.drain = drain.New(drain.Config{LongestRequest: d.Longest, SignalWait: c.SignalWait})
	f.connectionFraction = 1
	f.log.Info("fleet begins", "name", c.Name, "epoch", f.epoch, "listen", c.Listen, "advertise", f.sockets.AdvertisedAddr(), "seeds", len(f.seeds))
	go f.run()
	return f, nil
}

func (f *Fleet) storeEpoch() {
	if f.config.Folder == "" {
		return
	}
	if err := writeEpoch(f.config.Folder, f.epoch); err != nil {
		f.log.Warn("fleet epoch not kept", "err", err)
	}
}

func (f *Fleet) allSeeds() []string {
	seeds := slices.Clone(f.config.Seeds)
	if f.config.SeedFile != "" {
		more, err := readSeeds(f.config.SeedFile)
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

func (f *Fleet) now() time.Duration { return time.Since(f.startedAt) }

// run is the goroutine that owns the group and all fields that are not safe for concurrent use.
func (f *Fleet) run() {
	defer close(f.stopped)
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var nextSeeds, nextQuotas, nextReport time.Duration
	for {
		select {
		case <-f.stop:
			f.leaving = true
			f.report(f.now())
			f.perform(f.group.Step(f.now(), group.Event{Leave: true}))
			f.logEvent(Event{Kind: "leave"})
			return
		case m := <-f.sockets.Received():
			if len(m.Frame) > 1 && m.Frame[0] == subscribe.FrameUpdate {
				f.handleUpdate(m.Frame[1:])
				continue
			}
			if len(m.Frame) > 1 && m.Frame[0] == subscribe.FramePermitAnswer {
				f.handlePermitAnswer(m.Frame[1:])
				continue
			}
			f.perform(f.group.Step(f.now(), group.Event{Frame: m.Frame, Stream: m.Stream, Refused: m.RefusedAddr}))
		case s := <-f.observations:
			if !s.Quiet && !s.Looked {
				f.logEvent(Event{Kind: "member", Member: s.Member, State: s.Kind.String()})
			}
			f.perform(f.group.Step(f.now(), group.Event{Saw: &s}))
		case call := <-f.calls:
			call()
		case <-t.C:
			now := f.now()
			f.group.SetLastAnswers(time.Duration(f.memberAnswered.Load()), time.Duration(f.discoveryAnswered.Load()))
			if f.deps.Load != nil {
				f.group.SetLoad(f.deps.Load())
			}
			f.perform(f.group.Step(now))
			if now >= nextSeeds {
				nextSeeds = now + seedsInterval
				if s := f.allSeeds(); !slices.Equal(s, f.seeds) {
					f.seeds = s
					f.perform(f.group.Step(now, group.Event{Seeds: s}))
				}
				f.updateReportedMembers()
			}
			if now >= nextReport && len(f.config.Council) > 0 {
				nextReport = now + subscribe.ReportInterval
				f.report(now)
			}
			f.stepDrain(now, drain.Event{})
			f.expirePlan(now)
			if now >= nextQuotas && f.deps.Gateway != nil {
				nextQuotas = now + quotaInterval
				f.updateQuotas(now)
			}
		}
	}
}

// updateQuotas passes the quotas to the gateway and records what it used.
func (f *Fleet) updateQuotas(now time.Duration) {
	for i := range f.quotas {
		if p := f.group.Ledger.Quota(now, i); p < f.quotas[i] || p > f.quotas[i]+quotaStep {
			f.quotas[i] = p // decreases apply at once, increases in steps
		}
	}
	f.deps.Gateway.SetQuotas(f.quotas, func(used [quota.BudgetCount]float64) {
		select {
		case f.calls <- func() {
			for i, u := range used {
				f.group.Ledger.RecordUse(i, u)
			}
		}:
		default:
		}
	})
}

// updateReportedMembers updates the set of members that have reports: answers of other members need not be
// recorded.
func (f *Fleet) updateReportedMembers() {
	reported := map[string]bool{}
	for _, m := range f.group.Book.Members() {
		reported[m] = true
	}
	if len(reported) > 0 || len(*f.reportedMembers.Load()) > 0 {
		f.reportedMembers.Store(&reported)
	}
}

// perform carries out the group's actions.
func (f *Fleet) perform(actions []group.Action) {
	for i := range actions {
		a := &actions[i]
		switch {
		case a.Frame != nil && a.Stream != 0:
			f.sockets.Reply(a.Stream, a.To, a.Frame, a.Spare)
		case a.Frame != nil:
			f.sockets.Send(a.Name, a.To, a.Frame, a.Dial, a.Spare)
		case a.Change != nil:
			f.handleChange(a.Change)
		case a.Verdict:
			s := f.group.View.Status()
			f.log.Info("fleet verdict", "verdict", s.Verdict.String(), "number", s.Number, "reasons", s.Reasons)
			f.logEvent(Event{Kind: "verdict", State: s.Verdict.String(), Reasons: s.Reasons})
		case a.Advice != nil:
			v := a.Advice
			if v.Look {
				f.probeLog.Info(f.log, "fleet has members looked at", "member", v.Member, "witnesses", v.Witnesses)
				f.logEvent(Event{Kind: "look", Member: v.Member})
				reported := map[string]bool{v.Member: true}
				for m := range *f.reportedMembers.Load() {
					reported[m] = true
				}
				f.reportedMembers.Store(&reported)
			}
			if f.deps.Gateway != nil {
				f.deps.Gateway.ApplyAdvice(v.Member, v.Look, v.Try, v.Guess)
			}
		}
	}
}

func (f *Fleet) handleChange(c *swim.Change) {
	switch {
	case c.PausedFor > 0:
		f.log.Warn("this gateway was stopped a while", "span", c.PausedFor)
		f.logEvent(Event{Kind: "paused", For: int64(c.PausedFor)})
	case c.Displaced:
		f.log.Error("another gateway has this name", "name", f.config.Name, "its_epoch", c.Peer.Epoch, "its_address", c.Peer.Addr)
		f.logEvent(Event{Kind: "displaced", Peer: c.Peer.Name, PeerEpoch: c.Peer.Epoch})
	case c.NewEpoch != 0:
		f.epoch = c.NewEpoch
		f.storeEpoch()
		f.log.Info("fleet epoch is new", "epoch", c.NewEpoch)
		f.logEvent(Event{Kind: "epoch"})
	case c.PreviousState == c.Peer.State:
	default:
		previous := ""
		if c.PreviousState != 0 {
			previous = c.PreviousState.String()
		}
		f.logEvent(Event{Kind: "peer", Peer: c.Peer.Name, PeerEpoch: c.Peer.Epoch, State: c.Peer.State.String(), PreviousState: previous})
		if c.Peer.State == swim.Suspect || c.PreviousState == swim.Suspect && c.Peer.State == swim.Alive {
			f.suspectLog.Info(f.log, "fleet peer", "peer", c.Peer.Name, "state", c.Peer.State.String(), "was", previous)
			return
		}
		f.log.Info("fleet peer", "peer", c.Peer.Name, "state", c.Peer.State.String(), "was", previous, "epoch", c.Peer.Epoch)
	}
}

func (f *Fleet) logEvent(e Event) {
	if f.events == nil {
		return
	}
	f.eventNumber++
	e.Name, e.Epoch, e.Number, e.MonoNs, e.WallNs = f.config.Name, f.epoch, f.eventNumber, int64(f.now()), f.deps.Wall().UnixNano()
	f.events.enqueue(e)
}

// Observations of the gateway. These methods may be called from any goroutine and never block.

// RecordObservation records what the gateway itself concluded about a member.
func (f *Fleet) RecordObservation(member string, k observation.Kind, position int64) {
	f.enqueueObservation(group.MemberObservation{Member: member, Kind: k, Position: position})
}

// RecordProbe records the result of a probe of a member.
func (f *Fleet) RecordProbe(member string, answered bool) {
	if (*f.reportedMembers.Load())[member] {
		k := observation.Silent
		if answered {
			k = observation.Answers
		}
		f.enqueueObservation(group.MemberObservation{Member: member, Kind: k, Looked: true})
	}
}

// RecordAnswer records that a member answered a request. It is called for every request: one atomic store, and no
// more for members without reports.
func (f *Fleet) RecordAnswer(member string) {
	f.memberAnswered.Store(int64(f.now()))
	if reported := *f.reportedMembers.Load(); len(reported) > 0 && reported[member] {
		f.enqueueObservation(group.MemberObservation{Member: member, Kind: observation.Answers, Quiet: true})
	}
}

// RecordDiscovery records an answer of discovery.
func (f *Fleet) RecordDiscovery() { f.discoveryAnswered.Store(int64(f.now())) }

func (f *Fleet) enqueueObservation(s group.MemberObservation) {
	select {
	case f.observations <- s:
	default:
		f.droppedObservations.Add(1)
	}
}

// Reload and shutdown.

// ErrRestart is returned for changes that need a restart.
var ErrRestart = errors.New("changes of listen, advertise, admin, council, zone, region, folder, events or bytes_per_second need a restart")

// Prepare checks a new configuration and returns the function that applies it: keys, routes and seeds.
func (f *Fleet) Prepare(c Config) (func(), error) {
	o := &f.config
	if c.Zone == "" {
		c.Zone = f.deps.Zone
	}
	if !slices.Equal(c.Council, o.Council) || c.Listen != o.Listen || c.Advertise != o.Advertise || c.Admin != o.Admin || c.Zone != o.Zone || c.Region != o.Region || c.Folder != o.Folder ||
		c.Events != o.Events || c.Bytes != o.Bytes {
		return nil, ErrRestart
	}
	return func() {
		f.sockets.SetKeys(c.Keys, c.Routes)
		_ = f.runOnOwner(func() { f.config.Seeds, f.config.SeedFile = c.Seeds, c.SeedFile })
	}, nil
}

// Close announces to the peers that this gateway leaves, and stops the component.
func (f *Fleet) Close(ctx context.Context) {
	f.closeOnce.Do(func() {
		close(f.stop)
		<-f.stopped
		if f.admin != nil {
			_ = f.admin.Shutdown(ctx)
		}
		f.sockets.Close()
		f.events.close()
	})
}

// runOnOwner runs a function on the owner goroutine and waits for it.
func (f *Fleet) runOnOwner(do func()) error {
	done := make(chan struct{})
	t := time.NewTimer(adminTimeout)
	defer t.Stop()
	select {
	case f.calls <- func() { do(); close(done) }:
	case <-t.C:
		return errors.New("the fleet component is overloaded: no answer within 2 s")
	case <-f.stopped:
		return errors.New("the fleet component has stopped")
	}
	select {
	case <-done:
	case <-t.C:
		return errors.New("the fleet component is overloaded: no answer within 2 s")
	case <-f.stopped:
		return errors.New("the fleet component has stopped")
	}
	return nil
}

// Admin API.

// Member is a row of `reachwind fleet members`.
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

// View is the output of `reachwind fleet view`.
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
	Council         *subscribe.State   `json:"council,omitempty"` // what was last received from it, and how old that is
	Drain           drain.Status       `json:"drain"`
	MembersDraining []string           `json:"members_draining,omitempty"` // members that the council permits to go out
	ZonePlan        uint64             `json:"zone_plan,omitempty"`
	ZonesAway       map[string]float64 `json:"zones_away,omitempty"` // fractions of zones' load that go elsewhere
}

func (f *Fleet) listMembers() []Member {
	now := f.now()
	self := f.group.Swim.Self()
	all := []Member{{Name: self.Name, Zone: f.config.Zone, Region: f.config.Region, State: self.State.String(), Epoch: self.Epoch, Version: f.config.Version,
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

func (f *Fleet) currentView() View {
	now := f.now()
	s := f.group.View.Status()
	c := &f.sockets.Counts
	d := f.group.Swim.Dropped
	v := View{Name: f.config.Name, Epoch: f.epoch, Verdict: s.Verdict.String(), Number: s.Number, SinceMs: (now - s.Since).Milliseconds(), Reasons: s.Reasons,
		Digest: fmt.Sprintf("%016x", f.group.Swim.Digest()), Doubt: f.group.Swim.Doubt(), Quotas: map[string]float64{},
		Counts: map[string]int64{"sent": c.Sent.Load(), "sent_bytes": c.SentBytes.Load(), "taken": c.Received.Load(), "taken_bytes": c.ReceivedBytes.Load(),
			"unauthentic": c.Unauthentic.Load(), "repeated": c.Repeated.Load(), "unknown_key": c.UnknownKey.Load(), "overflow": c.Overflow.Load(),
			"throttled": c.Throttled.Load(), "streams_refused": c.StreamsRefused.Load(), "unknown_kind": int64(f.group.Unknown + d.Kind),
			"garbled": int64(f.group.Garbled), "old_epoch": int64(d.Epoch), "wrong_address": int64(d.Address), "impossible": int64(d.Incarnation),
			"table_full": int64(d.Full), "claims_full": int64(f.group.Book.Dropped.Full), "claims_old": int64(f.group.Book.Dropped.Old),
			"looks": int64(f.group.Book.Looks), "looks_wrong": int64(f.group.Book.Wrong), "looks_held": int64(f.group.Book.Dropped.Rate),
			"saw_dropped": f.droppedObservations.Load(), "loans_out": int64(f.group.Ledger.Lent), "loans_in": int64(f.group.Ledger.Taken),
			"loans_refused": int64(f.group.Ledger.Refused)}}
	if f.events != nil {
		v.Counts["events_dropped"] = f.events.Dropped.Load()
	}
	if len(f.config.Council) > 0 {
		s := f.subscription.State(now)
		v.Council = &s
	}
	v.Drain = f.drain.Status(now)
	v.ZonePlan, v.ZonesAway = f.zones.number, maps.Clone(f.zones.away)
	v.MembersDraining = slices.Sorted(maps.Keys(f.memberDrains))
	for i, n := range quota.BudgetNames {
		v.Quotas[n] = f.group.Ledger.Quota(now, i)
	}
	return v
}

// listenAdmin starts the admin API that `reachwind fleet` uses.
func (f *Fleet) listenAdmin() error {
	if f.config.Admin == "" {
		return nil
	}
	l, err := net.Listen("tcp", f.config.Admin)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	handle := func(path string, get func() any) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
			var v any
			if err := f.runOnOwner(func() { v = get() }); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(v)
		})
	}
	handle("/v1/members", func() any { return f.listMembers() })
	handle("/v1/view", func() any { return f.currentView() })
	handle("/v1/beliefs", func() any { return f.group.Book.Summaries(f.now()) })
	mux.HandleFunc("POST /v1/drain", f.serveDrain)
	f.admin = &http.Server{Handler: mux, ReadHeaderTimeout: adminTimeout, ReadTimeout: adminTimeout, WriteTimeout: maxDrainWait + adminTimeout, IdleTimeout: adminTimeout,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelDebug)}
	go func() { _ = f.admin.Serve(l) }()
	return nil
}
