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
	lookAlone    = 50 * time.Millisecond   // between looks for another process of this gateway
	lookTogether = 20 * time.Millisecond   // and at what it changed, while there is one
	countEach    = 5                       // such looks between two counts of the descriptors in use
	warmMost     = 1500 * time.Millisecond // a successor waits so long for discovery before it accepts: the other still serves
	warmLeast    = 3 * lookAlone           // and so long in any case, till the other has seen it

	listFile    = "reachwind.list"
	machineFile = "reachwind.machines" // what operators said of db machines

	configFile = "reachwind.config" // the configuration as last taken

	takeWait  = 250 * time.Millisecond // for another process to take over what operators said
	takeLeast = 50 * time.Millisecond
	readEach  = 5 // looks between two readings of that where changes can't be counted
)

// SocketError says that the listening socket that the platform holds can't be used.
type SocketError struct {
	Found string
	Err   error
}

func (e *SocketError) Error() string {
	return fmt.Sprintf("NODE_SOCKET_FD is %q (%v), wanted the number of an open listening TCP socket: have the platform pass it on, or unset NODE_SOCKET_FD to listen on the address", e.Found, e.Err)
}

// Unwrap gives the cause.
func (e *SocketError) Unwrap() error { return e.Err }

// listen opens the clients' listener, or takes the one that the platform holds.
func listen(addr, fd string) (net.Listener, error) {
	if fd == "" {
		return net.Listen("tcp", addr)
	}
	n, err := strconv.ParseUint(fd, 10, 16)
	if err != nil {
		return nil, &SocketError{fd, errors.New("no number of a descriptor")}
	}
	f := os.NewFile(uintptr(n), "clients")
	if f == nil {
		return nil, &SocketError{fd, errors.New("no descriptor")}
	}
	defer func() { _ = f.Close() }() // FileListener has its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, &SocketError{fd, err}
	}
	if _, ok := l.(*net.TCPListener); !ok {
		_ = l.Close()
		return nil, &SocketError{fd, errors.New("a socket, but none of TCP")}
	}
	return l, nil
}

// succession is this process's part in the replacement of one process by another: it shares what binds both. See
// docs/design/handover.md. A nil succession shares nothing and costs nothing.
type succession struct {
	board   *handover.SharedState
	log     *slog.Logger
	now     func() core.Time
	addr    string // of discovery
	memory  int64
	done    chan struct{}
	failing logthrottle.Line
	passed  atomic.Int64
	kept    atomic.Int64

	floor   atomic.Int64 // what session reads must see where commits can't be shared; forever while another lives
	others  atomic.Int32
	heard   chan struct{} // closed with the first whole list of discovery
	once    sync.Once
	apply   func(part float64, sockets int)
	changed func(count uint64) // what operators said is to be read, and then count to be said to be seen

	mu      sync.Mutex
	adopt   func(net.Conn, bool) // takes over a connection; nil: not serving yet
	end     func()               // of taking connections over; nil: not begun, or over
	leaving bool                 // it takes over none any more
	listed  map[string]core.ListedMember
	version func() int64 // of the list
	pending bool         // a save is on, or will be
	again   bool         // and once more after it
}

// succeed takes part in the succession in folder dir, "" being none.
func succeed(dir string, c *Config, now func() core.Time, log *slog.Logger) *succession {
	if dir == "" {
		return nil
	}
	b, err := handover.Open(dir)
	if err != nil {
		log.Error("handover: nothing is shared with another process of this gateway", "err", err)
		if b == nil {
			return nil
		}
	}
	s := &succession{board: b, log: log, now: now, addr: c.Discovery, memory: c.memory, done: make(chan struct{}),
		heard: make(chan struct{}), listed: map[string]core.ListedMember{}}
	s.look()
	return s
}

// inherit gives the list that the former process had, if it is newer than what the configuration says.
func (s *succession) inherit(c *Config) {
	if s == nil {
		return
	}
	text, err := s.board.Load(listFile)
	var l struct {
		Discovery string
		discovery.List
	}
	if err == nil {
		err = json.Unmarshal(text, &l)
	}
	switch members, e := l.Members(); {
	case errors.Is(err, handover.ErrMissing):
	case cmp.Or(err, e) != nil:
		s.log.Warn("handover: the list of the former process is not used", "err", cmp.Or(err, e))
	case l.Discovery == c.Discovery && l.Generation >= c.version:
		c.Known, c.version = members, l.Generation
		s.log.Info("handover: the list of the former process is taken over", "version", l.Generation, "entries", len(members))
	}
}

// keep keeps the text of a configuration that was taken for the next process, should it find a file that can't be used.
func (s *succession) keep(text []byte) {
	if s == nil || len(text) == 0 {
		return
	}
	if err := s.board.Save(configFile, text); err != nil {
		s.log.Warn("handover: the configuration is not kept for the next process", "err", err)
	}
}

// List notes what discovery says, for a process that follows.
func (s *succession) List(kind decide.EventKind, members []core.ListedMember) {
	if s == nil || !kind.HasList() {
		return
	}
	news := len(members) > 0
	if kind != decide.ListSaved {
		s.once.Do(func() {
			news = true
			close(s.heard)
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind != decide.ListChange {
		clear(s.listed)
	}
	for _, m := range members {
		if m.State == decide.Removed {
			delete(s.listed, m.ID)
		} else if len(s.listed) < listedMost {
			s.listed[m.ID] = m
		}
	}
	if kind == decide.ListSaved || !news {
		return
	}
	if s.again = s.pending; !s.pending {
		s.pending = true
		go s.save()
	}
}

// save writes the list, and once more where it changed meanwhile.
func (s *succession) save() {
	for {
		s.mu.Lock()
		l := struct {
			Discovery string
			discovery.List
		}{s.addr, discovery.List{Generation: s.version(), Reset: true}}
		for _, id := range slices.Sorted(maps.Keys(s.listed)) {
			l.Instances = append(l.Instances, discovery.EntryOf(s.listed[id]))
		}
		s.again = false
		s.mu.Unlock()
		text, err := json.Marshal(l)
		if err == nil {
			err = s.board.Save(listFile, text)
		}
		if err != nil {
			s.log.Warn("handover: the list is not kept for the next process", "err", err)
		}
		s.mu.Lock()
		s.pending = s.again
		more := s.pending
		s.mu.Unlock()
		if !more {
			return
		}
	}
}

// RecordCommit implements core.Ledger.
func (s *succession) RecordCommit(group int64, session string, p core.Time) {
	s.board.RecordCommit(group, session, p)
}

// LastCommit implements core.Ledger.
func (s *succession) LastCommit(group int64, session string) core.Time {
	at := s.board.LastCommit(group, session)
	if f := core.Time(s.floor.Load()); f > at {
		at = min(f, s.now())
	}
	return at
}

const forever = 1<<63 - 1 // floor while another process lives that does not share

// look sees who else lives, and takes the consequences.
func (s *succession) look() []handover.Peer {
	others := s.board.Peers()
	n := int32(len(others))
	if was := s.others.Swap(n); was != n {
		s.log.Info("handover: processes of this gateway", "others", n)
	}
	if n == 0 && !s.board.Joined() {
		if err := s.board.Join(); err != nil {
			s.failing.Warn(s.log, "handover: still nothing can be shared", "err", err)
		} else {
			s.receive()
		}
	}
	shared := s.board.Joined()
	for _, o := range others {
		shared = shared && o.Joined
	}
	switch f := s.floor.Load(); {
	case !shared && n > 0:
		s.floor.Store(forever)
	case f == forever:
		s.floor.Store(int64(s.now()))
	}
	return others
}

// run keeps to what this process may use beside others, until stop.
func (s *succession) run(sockets int) {
	last, ticks, seen := sockets, 0, uint64(0)
	for {
		others := s.look()
		if n := s.board.ChangeCount(); s.changed != nil && (n != seen || s.floor.Load() == forever && ticks%readEach == 0) {
			s.changed(n)
			seen = n
		}
		wait := lookAlone
		if len(others) > 0 {
			wait = lookTogether
			if ticks%countEach == 0 {
				s.board.SetDescriptors(descriptors(ownFolder, sockets))
			}
			ticks++
		}
		older := len(others) > 0 && !others[0].Older
		if may := handover.AllowedShare(sockets, others, older); may != last {
			part := 1.0
			if len(others) > 0 {
				part = 0.5
			}
			s.apply(part, may)
			last = may
		}
		select {
		case <-s.done:
			return
		case <-time.After(wait):
		}
	}
}

// leave has former processes keep their connections, or pass them on to others, as this one begins to end: what it has
// been given by then it takes over, and answers. It may be called more than once.
func (s *succession) leave() {
	s.mu.Lock()
	end := s.end
	s.leaving, s.end = true, nil
	s.mu.Unlock()
	s.board.SetReady(false)
	if end != nil {
		end()
	}
}

func (s *succession) stop() {
	if s == nil {
		return
	}
	close(s.done)
	s.leave()
	s.log.Info("handover: ending", "passed_on", s.passed.Load(), "not_passed_on", s.kept.Load())
}

const ownFolder = "/proc/self/fd" // a name for each descriptor that this process holds

// descriptors counts those in a folder. Where it can't be read, for want of a descriptor most likely, they are all that there
// may be: another process that is told of too few would take what is not free.
func descriptors(folder string, most int) int {
	d, err := os.Open(folder)
	if err != nil {
		return most
	}
	defer func() { _ = d.Close() }()
	names, err := d.Readdirnames(-1)
	if err != nil {
		return most
	}
	return len(names)
}

// inherit takes over what operators said to other processes, and then says that it has seen count changes.
func (o *operators) inherit(count uint64) {
	all, err := o.line.said()
	if err != nil && !errors.Is(err, handover.ErrMissing) {
		o.log.Error("handover: what operators said to other processes is not known", "err", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	change, dropped := o.set.Import(all)
	if dropped > 0 {
		o.log.Error("handover: some db machines that operators took out are not known here", "entries", dropped)
	}
	if len(change) > 0 {
		o.owner.List(decide.ListChange, change)
		o.log.Info("handover: db machines taken out or called back through another process", "changes", len(change))
	}
	o.owner.Post(func() { o.line.board.SetAppliedChanges(count) })
}

// said reads what operators said, to any process.
func (s *succession) said() (all []suspend.Entry, err error) {
	text, err := s.board.Load(machineFile)
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	return all, err
}

// share has the other processes of this gateway know what operators said here, err being how that went. While one
// lives it waits until they have taken it over, but not for long: one that does not run does not send either, and
// reads it first when it goes on.
func (o *operators) share(ctx context.Context, err error) error {
	if err != nil || o.line == nil {
		return err
	}
	count, err := o.line.board.Update(machineFile, func(was []byte) ([]byte, error) {
		var all []suspend.Entry
		if was != nil {
			if err := json.Unmarshal(was, &all); err != nil {
				o.log.Error("handover: what operators said to other processes is not known", "err", err)
			}
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		whole := suspend.New()
		whole.Import(all)
		whole.Import(o.set.Export())
		return json.Marshal(whole.Export())
	})
	if err != nil {
		o.log.Error("handover: what operators said is not kept for the next process", "err", err)
		if o.line.others.Load() > 0 {
			return err
		}
		return nil
	}
	wait := takeWait
	if until, ok := ctx.Deadline(); ok {
		wait = min(max(time.Until(until), takeLeast), takeWait)
	}
	if !o.line.board.AwaitApplied(count, wait) {
		o.log.Warn("handover: another process has not yet said that it took this over", "waited", wait)
	}
	return nil
}

// warm waits before the first accept while another process serves: for discovery's list, but not for long. From the end
// of term on nothing more is taken over.
func (s *succession) warm(term <-chan struct{}) {
	if s == nil {
		return
	}
	go func() {
		select {
		case <-term:
			s.leave()
		case <-s.done:
		}
	}()
	if s.others.Load() == 0 {
		return
	}
	least, most := time.After(warmLeast), time.After(warmMost)
	select {
	case <-s.heard:
		select {
		case <-least:
		case <-term:
		}
	case <-most:
		s.log.Info("handover: serving before discovery answered")
	case <-term:
	}
}

// ready says that this process serves, and takes over the connections of those that end.
func (s *succession) ready(adopt func(net.Conn, bool)) {
	if s != nil {
		s.mu.Lock()
		s.adopt = adopt
		s.mu.Unlock()
		s.receive()
	}
}

// receive begins to take connections over, once this process serves and has a board.
func (s *succession) receive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.adopt == nil || s.leaving || s.end != nil || !s.board.Joined() {
		return
	}
	stop, err := s.board.ReceiveConns(s.adopt)
	if err != nil {
		s.log.Warn("handover: clients' connections can't be taken over", "err", err)
	}
	s.end = stop
	s.board.SetReady(true)
}

// passes gives this process's connections to its successor, nil if there can't be one.
func (s *succession) passes() pgfront.TransferFunc {
	if s == nil {
		return nil
	}
	p := s.board.NewConnSender()
	return func(nc net.Conn, began bool) bool {
		err := p.Send(nc, began)
		if err == nil {
			s.passed.Add(1)
		} else if s.kept.Add(1) == 1 {
			s.log.Warn("handover: connections are closed when they are idle", "err", err)
		}
		return err == nil
	}
}

// succeeded tells whether another process of this gateway is ready to serve.
func (s *succession) succeeded() bool {
	return s != nil && slices.ContainsFunc(s.board.Peers(), func(o handover.Peer) bool { return o.Ready && !o.Older })
}

// limit has the gateway use so much of its memory and so many descriptors from now on.
func (g *running) limit(bufs *pgwire.Pool, share Budget) func(part float64, sockets int) {
	return func(part float64, sockets int) {
		bufs.SetLimits(int(part*float64(share.Buffers)), int(part*float64(share.Small)))
		g.front.SetMaxConnections(int(clientPart * float64(sockets)))
		g.owner.Post(func() { g.pool.SetMaxConns(int(memberPart * float64(sockets))) })
		if g.c.memory > 0 {
			debug.SetMemoryLimit(int64(part * softPart * float64(g.c.memory)))
		}
	}
}
