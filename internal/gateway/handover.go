package gateway

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/discovery"
	"reachwind/internal/handover"
	"reachwind/internal/logthrottle"
	"reachwind/internal/pgfront"
	"reachwind/internal/pgwire"
	"reachwind/internal/suspend"
)

const (
	pollAlone        = 50 * time.Millisecond   // between checks for another process of this gateway, while there is none
	pollTogether     = 20 * time.Millisecond   // between checks of the shared state, while there is one
	pollsPerCount    = 5                       // checks per count of the descriptors in use, while there is one
	maxDiscoveryWait = 1500 * time.Millisecond // that a successor waits for discovery before it accepts: the former process still serves
	minAcceptDelay   = 3 * pollAlone           // that a successor waits in any case, so that the former process notices it

	listFile       = "reachwind.list"     // last list of members
	suspensionFile = "reachwind.machines" // members suspended or resumed by operators

	configFile = "reachwind.config" // last accepted configuration

	maxAckWait      = 250 * time.Millisecond // that a suspension waits for the other processes' acknowledgment
	minAckWait      = 50 * time.Millisecond  // the same, where the operator's deadline is closer
	pollsPerReading = 5                      // checks per reading of suspensionFile, where its changes can't be counted
)

// SocketError reports that the listening socket passed on by the platform can't be used.
type SocketError struct {
	Found string
	Err   error
}

func (e *SocketError) Error() string {
	return fmt.Sprintf("NODE_SOCKET_FD is %q (%v), wanted the number of an open listening TCP socket: have the platform pass it on, or unset NODE_SOCKET_FD to listen on the address", e.Found, e.Err)
}

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Err }

// listen listens on addr, or on the socket passed on by the platform if fd is not empty. That fails with a *SocketError if
// fd is not the number of a listening TCP socket.
func listen(addr, fd string) (net.Listener, error) {
	if fd == "" {
		return net.Listen("tcp", addr)
	}
	n, err := strconv.ParseUint(fd, 10, 16)
	if err != nil {
		return nil, &SocketError{fd, errors.New("not the number of a descriptor")}
	}
	f := os.NewFile(uintptr(n), "clients")
	if f == nil {
		return nil, &SocketError{fd, errors.New("not a descriptor")}
	}
	defer func() { _ = f.Close() }() // FileListener duplicates the descriptor
	l, err := net.FileListener(f)
	if err != nil {
		return nil, &SocketError{fd, err}
	}
	if _, ok := l.(*net.TCPListener); !ok {
		_ = l.Close()
		return nil, &SocketError{fd, errors.New("a socket, but not of TCP")}
	}
	return l, nil
}

// processHandover is this process's side of the handover from one process of the gateway to the next: it shares state
// with the other processes, passes client connections on and takes them over. See docs/design/handover.md. A nil
// processHandover does nothing.
type processHandover struct {
	shared        *handover.SharedState
	log           *slog.Logger
	now           func() core.Time
	discoveryAddr string
	memoryBytes   int64
	done          chan struct{}    // closed by stop
	shareFailure  logthrottle.Line // limits the log lines on failures to share
	passed        atomic.Int64     // connections passed on
	notPassed     atomic.Int64     // connections that could not be passed on

	readFloor         atomic.Int64                              // position that session reads must see where commits are not shared; unboundedFloor while another process lives
	otherCount        atomic.Int32                              // number of other processes
	listReceived      chan struct{}                             // closed with the first list that discovery sends
	closeListReceived sync.Once                                 // closes listReceived
	applyLimits       func(memoryFraction float64, sockets int) // limits this process to a fraction of the memory and to so many descriptors
	importSuspensions func(count uint64)                        // reads the shared suspensions and acknowledges that count changes of them were seen

	mu           sync.Mutex
	adopt        func(net.Conn, bool) // takes over a connection; nil: not serving yet
	stopAdopting func()               // stops taking connections over; nil: not started, or stopped
	leaving      bool                 // no more connections are taken over
	listed       map[string]core.ListedMember
	listVersion  func() int64
	saving       bool // the list is being saved, or will be
	saveAgain    bool // the list changed meanwhile and must be saved once more
}

// openHandover opens the state shared in folder dir. It returns nil if dir is empty or the folder can't be used at all.
func openHandover(dir string, c *Config, now func() core.Time, log *slog.Logger) *processHandover {
	if dir == "" {
		return nil
	}
	state, err := handover.Open(dir)
	if err != nil {
		log.Error("handover: nothing is shared with another process of this gateway", "err", err)
		if state == nil {
			return nil
		}
	}
	s := &processHandover{shared: state, log: log, now: now, discoveryAddr: c.Discovery, memoryBytes: c.memoryBytes, done: make(chan struct{}),
		listReceived: make(chan struct{}), listed: map[string]core.ListedMember{}}
	s.checkOthers()
	return s
}

// loadList replaces the list of c with the former process's if that is of the same discovery and not older.
func (s *processHandover) loadList(c *Config) {
	if s == nil {
		return
	}
	c.listUsable = s.listUsableUntil()
	text, err := s.shared.Load(listFile)
	var list struct {
		Discovery string
		discovery.List
	}
	if err == nil {
		err = json.Unmarshal(text, &list)
	}
	switch members, listErr := list.Members(); {
	case errors.Is(err, handover.ErrMissing):
	case cmp.Or(err, listErr) != nil:
		s.log.Warn("handover: the list of the former process is not used", "err", cmp.Or(err, listErr))
	case list.Discovery == c.Discovery && list.Generation >= c.listVersion:
		c.Known, c.listVersion, c.listCurrent = members, list.Generation, s.otherCount.Load() > 0
		s.log.Info("handover: the list of the former process is taken over", "version", list.Generation, "entries", len(members))
	}
}

// listUsableUntil returns the time until which the other processes use their list of members as it is, by the earliest of
// them; 0 = not known.
func (s *processHandover) listUsableUntil() (until time.Duration) {
	for _, p := range s.shared.Peers() {
		if p.ListUsableUntil != 0 && (until == 0 || p.ListUsableUntil < until) {
			until = p.ListUsableUntil
		}
	}
	return until
}

// savedListEvent returns the event that tells how another process of this gateway uses its list.
func (c *Config) savedListEvent() decide.Event {
	e := decide.Event{Kind: decide.SavedListLimit}
	if c.listCurrent {
		e.Kind = decide.SavedListCurrent
	}
	if c.listUsable != 0 {
		e.Remaining = max(c.listUsable-handover.MonotonicNow(), 1) // 0 would mean that it is not known
	}
	return e
}

// saveConfig saves the text of an accepted configuration, which the next process uses if it finds the file unusable.
func (s *processHandover) saveConfig(text []byte) {
	if s == nil || len(text) == 0 {
		return
	}
	if err := s.shared.Save(configFile, text); err != nil {
		s.log.Warn("handover: the configuration is not kept for the next process", "err", err)
	}
}

// List implements discovery.Sink. It keeps the list and saves it for the next process.
func (s *processHandover) List(kind decide.EventKind, members []core.ListedMember) {
	if s == nil || !kind.HasList() {
		return
	}
	changed := len(members) > 0
	if kind != decide.ListSaved {
		s.closeListReceived.Do(func() {
			changed = true
			close(s.listReceived)
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind.IsWholeList() {
		clear(s.listed)
	}
	for _, m := range members {
		if m.State == decide.Removed {
			delete(s.listed, m.ID)
		} else if len(s.listed) < maxListed {
			s.listed[m.ID] = m
		}
	}
	if kind == decide.ListSaved || !changed {
		return
	}
	if s.saveAgain = s.saving; !s.saving {
		s.saving = true
		go s.saveList()
	}
}

// saveList writes the list to the shared state, and repeats that while the list changes.
func (s *processHandover) saveList() {
	for {
		s.mu.Lock()
		list := struct {
			Discovery string
			discovery.List
		}{s.discoveryAddr, discovery.List{Generation: s.listVersion(), Reset: true}}
		for _, id := range slices.Sorted(maps.Keys(s.listed)) {
			list.Instances = append(list.Instances, discovery.EntryOf(s.listed[id]))
		}
		s.saveAgain = false
		s.mu.Unlock()
		text, err := json.Marshal(list)
		if err == nil {
			err = s.shared.Save(listFile, text)
		}
		if err != nil {
			s.log.Warn("handover: the list is not kept for the next process", "err", err)
		}
		s.mu.Lock()
		s.saving = s.saveAgain
		again := s.saving
		s.mu.Unlock()
		if !again {
			return
		}
	}
}

// RecordCommit implements core.SharedCommits.
func (s *processHandover) RecordCommit(group int64, session string, p core.Time) {
	s.shared.RecordCommit(group, session, p)
}

// LastCommit implements core.SharedCommits.
func (s *processHandover) LastCommit(group int64, session string) core.Time {
	at := s.shared.LastCommit(group, session)
	if floor := core.Time(s.readFloor.Load()); floor > at {
		at = min(floor, s.now())
	}
	return at
}

// deadlineSharer is a decision module that publishes to the other processes until when this one uses its list of members as
// it is.
type deadlineSharer struct {
	*decide.Router
	shared    *handover.SharedState
	published core.Time
}

// shareDeadlines returns the decision module that runs router and publishes its deadlines, which is router without handover.
func (s *processHandover) shareDeadlines(router *decide.Router) core.Decider {
	if s == nil {
		return router
	}
	return &deadlineSharer{Router: router, shared: s.shared}
}

// Step implements core.Decider.
func (d *deadlineSharer) Step(now core.Time, events []decide.Event, out []decide.Action) []decide.Action {
	out = d.Router.Step(now, events, out)
	if until := d.ListUsableUntil(); until != d.published {
		d.published = until
		d.shared.SetListUsableUntil(handover.MonotonicNow() + min(until-now, maxSharedDeadline))
	}
	return out
}

// maxSharedDeadline stands for a list that is used without limit.
const maxSharedDeadline = 24 * time.Hour

const unboundedFloor = 1<<63 - 1 // floor while there is another process and commits are not shared with it

// checkOthers finds the other processes, retries sharing where it failed, and sets the floor of session reads.
func (s *processHandover) checkOthers() []handover.Peer {
	others := s.shared.Peers()
	n := int32(len(others))
	if was := s.otherCount.Swap(n); was != n {
		s.log.Info("handover: processes of this gateway", "others", n)
	}
	if n == 0 && !s.shared.Joined() {
		if err := s.shared.Join(); err != nil {
			s.shareFailure.Warn(s.log, "handover: still nothing can be shared", "err", err)
		} else {
			s.startAdopting()
		}
	}
	shared := s.shared.Joined()
	for _, o := range others {
		shared = shared && o.Joined
	}
	switch floor := s.readFloor.Load(); {
	case !shared && n > 0:
		s.readFloor.Store(unboundedFloor)
	case floor == unboundedFloor:
		s.readFloor.Store(int64(s.now()))
	}
	return others
}

// run checks for other processes, and adapts this process's limits to them, until stop. sockets is the descriptors that
// all processes divide.
func (s *processHandover) run(sockets int) {
	lastAllowed, polls, seenChanges := sockets, 0, uint64(0)
	for {
		others := s.checkOthers()
		if n := s.shared.ChangeCount(); s.importSuspensions != nil && (n != seenChanges || s.readFloor.Load() == unboundedFloor && polls%pollsPerReading == 0) {
			s.importSuspensions(n)
			seenChanges = n
		}
		wait := pollAlone
		if len(others) > 0 {
			wait = pollTogether
			if polls%pollsPerCount == 0 {
				s.shared.SetDescriptors(countDescriptors(ownDescriptorDir, sockets))
			}
			polls++
		}
		older := len(others) > 0 && !others[0].Older
		if allowed := handover.AllowedShare(sockets, others, older); allowed != lastAllowed {
			memoryFraction := 1.0
			if len(others) > 0 {
				memoryFraction = 0.5
			}
			s.applyLimits(memoryFraction, allowed)
			lastAllowed = allowed
		}
		select {
		case <-s.done:
			return
		case <-time.After(wait):
		}
	}
}

// refuseAdoptions stops taking connections over, as this process begins to end: former processes keep theirs or pass
// them on to another process. Connections received by then are taken over and answered. It may be called more than
// once.
func (s *processHandover) refuseAdoptions() {
	s.mu.Lock()
	stopAdopting := s.stopAdopting
	s.leaving, s.stopAdopting = true, nil
	s.mu.Unlock()
	s.shared.SetReady(false)
	if stopAdopting != nil {
		stopAdopting()
	}
}

// stop ends run and the taking over of connections, and logs how many were passed on.
func (s *processHandover) stop() {
	if s == nil {
		return
	}
	close(s.done)
	s.refuseAdoptions()
	s.log.Info("handover: ending", "passed_on", s.passed.Load(), "not_passed_on", s.notPassed.Load())
}

const ownDescriptorDir = "/proc/self/fd" // has an entry for each descriptor that this process holds

// countDescriptors counts the entries of a folder, which is ownDescriptorDir outside tests. It returns limit if the
// folder can't be read, most likely for lack of a descriptor: reporting too few would let another process use
// descriptors that are not free.
func countDescriptors(folder string, limit int) int {
	d, err := os.Open(folder)
	if err != nil {
		return limit
	}
	defer func() { _ = d.Close() }()
	names, err := d.Readdirnames(-1)
	if err != nil {
		return limit
	}
	return len(names)
}

// importSuspensions takes over the suspensions that operators made through other processes, and then acknowledges that
// it has seen count changes of them.
func (o *adminOperator) importSuspensions(count uint64) {
	all, err := o.handover.loadSuspensions()
	if err != nil && !errors.Is(err, handover.ErrMissing) {
		o.log.Error("handover: what operators said to other processes is not known", "err", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	change, dropped := o.suspensions.Import(all)
	if dropped > 0 {
		o.log.Error("handover: some db machines that operators took out are not known here", "entries", dropped)
	}
	if len(change) > 0 {
		o.core.List(decide.ListOverride, change)
		o.log.Info("handover: db machines taken out or called back through another process", "changes", len(change))
	}
	o.core.Post(func() { o.handover.shared.SetAppliedChanges(count) })
}

// loadSuspensions reads the suspensions that operators made through any process.
func (s *processHandover) loadSuspensions() (all []suspend.Entry, err error) {
	text, err := s.shared.Load(suspensionFile)
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	return all, err
}

// shareSuspensions publishes this process's suspensions to the other processes of this gateway, unless err says that
// the operator's call failed; it returns err then. It waits for their acknowledgment for a short time only: a process
// that is stopped sends nothing to members either, and reads the suspensions first when it continues.
func (o *adminOperator) shareSuspensions(ctx context.Context, err error) error {
	if err != nil || o.handover == nil {
		return err
	}
	count, err := o.handover.shared.Update(suspensionFile, func(saved []byte) ([]byte, error) {
		var all []suspend.Entry
		if saved != nil {
			if err := json.Unmarshal(saved, &all); err != nil {
				o.log.Error("handover: what operators said to other processes is not known", "err", err)
			}
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		merged := suspend.New()
		merged.Import(all)
		merged.Import(o.suspensions.Export())
		return json.Marshal(merged.Export())
	})
	if err != nil {
		o.log.Error("handover: what operators said is not kept for the next process", "err", err)
		if o.handover.otherCount.Load() > 0 {
			return err
		}
		return nil
	}
	wait := maxAckWait
	if until, ok := ctx.Deadline(); ok {
		wait = min(max(time.Until(until), minAckWait), maxAckWait)
	}
	if !o.handover.shared.AwaitApplied(count, wait) {
		o.log.Warn("handover: another process has not yet said that it took this over", "waited", wait)
	}
	return nil
}

// awaitDiscovery delays the first accept while another process serves: until discovery has sent a list, at most
// maxDiscoveryWait. Once term is closed no more connections are taken over.
func (s *processHandover) awaitDiscovery(term <-chan struct{}) {
	if s == nil {
		return
	}
	go func() {
		select {
		case <-term:
			s.refuseAdoptions()
		case <-s.done:
		}
	}()
	if s.otherCount.Load() == 0 {
		return
	}
	minDelay, maxDelay := time.After(minAcceptDelay), time.After(maxDiscoveryWait)
	select {
	case <-s.listReceived:
		select {
		case <-minDelay:
		case <-term:
		}
	case <-maxDelay:
		s.log.Info("handover: serving before discovery answered")
	case <-term:
	}
}

// setReady announces that this process serves, and starts to take over the connections of processes that end.
func (s *processHandover) setReady(adopt func(net.Conn, bool)) {
	if s != nil {
		s.mu.Lock()
		s.adopt = adopt
		s.mu.Unlock()
		s.startAdopting()
	}
}

// startAdopting starts to take connections over, once this process serves and shares its state.
func (s *processHandover) startAdopting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.adopt == nil || s.leaving || s.stopAdopting != nil || !s.shared.Joined() {
		return
	}
	stop, err := s.shared.ReceiveConns(s.adopt)
	if err != nil {
		s.log.Warn("handover: clients' connections can't be taken over", "err", err)
	}
	s.stopAdopting = stop
	s.shared.SetReady(true)
}

// passFunc returns the function that passes a client connection to the successor, nil if there is no handover.
func (s *processHandover) passFunc() pgfront.TransferFunc {
	if s == nil {
		return nil
	}
	p := s.shared.NewConnSender()
	return func(nc net.Conn, began bool) bool {
		err := p.Send(nc, began)
		if err == nil {
			s.passed.Add(1)
		} else if s.notPassed.Add(1) == 1 {
			s.log.Warn("handover: connections are closed when they are idle", "err", err)
		}
		return err == nil
	}
}

// hasSuccessor reports whether a newer process of this gateway is ready to serve.
func (s *processHandover) hasSuccessor() bool {
	return s != nil && slices.ContainsFunc(s.shared.Peers(), func(o handover.Peer) bool { return o.Ready && !o.Older })
}

// limiter returns a function that limits the gateway to a fraction of its memory and to a number of descriptors, which are
// divided as in budget.
func (g *instance) limiter(buffers *pgwire.Pool, budget Budget) func(memoryFraction float64, sockets int) {
	return func(memoryFraction float64, sockets int) {
		buffers.SetLimits(int(memoryFraction*float64(budget.Buffers)), int(memoryFraction*float64(budget.SmallBuffers)))
		g.front.SetMaxConnections(int(clientFraction * float64(sockets)))
		g.core.Post(func() { g.pool.SetMaxConns(int(memberFraction * float64(sockets))) })
		if g.config.memoryBytes > 0 {
			debug.SetMemoryLimit(int64(memoryFraction * float64(softMemoryLimit(g.config.memoryBytes))))
		}
	}
}
