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
	"reachwind/internal/often"
	"reachwind/internal/pgfront"
	"reachwind/internal/pgwire"
	"reachwind/internal/suspend"
)

const (
	lookAlone    = 50 * time.Millisecond   // between checks for another process of this gateway, while there is none
	lookTogether = 20 * time.Millisecond   // between checks of the shared state, while there is one
	countEach    = 5                       // checks per count of the descriptors in use, while there is one
	warmMost     = 1500 * time.Millisecond // that a successor waits for discovery before it accepts: the former process still serves
	warmLeast    = 3 * lookAlone           // that a successor waits in any case, so that the former process notices it

	listFile    = "reachwind.list"     // last list of members
	machineFile = "reachwind.machines" // members suspended or resumed by operators

	configFile = "reachwind.config" // last accepted configuration

	takeWait  = 250 * time.Millisecond // that a suspension waits for the other processes' acknowledgment
	takeLeast = 50 * time.Millisecond  // the same, where the operator's deadline is closer
	readEach  = 5                      // checks per reading of machineFile, where its changes can't be counted
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

// succession is this process's side of the handover from one process of the gateway to the next: it shares state with the
// other processes, passes client connections on and takes them over. See docs/design/handover.md. A nil succession does
// nothing.
type succession struct {
	board   *handover.Board
	log     *slog.Logger
	now     func() core.Time
	addr    string // of discovery
	memory  int64
	done    chan struct{} // closed by stop
	failing often.Line    // limits the log lines on failures to share
	passed  atomic.Int64  // connections passed on
	kept    atomic.Int64  // connections that could not be passed on

	floor   atomic.Int64                    // position that session reads must see where commits are not shared; forever while another process lives
	others  atomic.Int32                    // number of other processes
	heard   chan struct{}                   // closed with the first list that discovery sends
	once    sync.Once                       // closes heard
	apply   func(part float64, sockets int) // limits this process to part of the memory and to so many descriptors
	changed func(count uint64)              // reads the shared suspensions and acknowledges that count changes of them were seen

	mu      sync.Mutex
	adopt   func(net.Conn, bool) // takes over a connection; nil: not serving yet
	end     func()               // stops taking connections over; nil: not started, or stopped
	leaving bool                 // no more connections are taken over
	listed  map[string]core.Listed
	version func() int64 // of the list
	pending bool         // the list is being saved, or will be
	again   bool         // the list changed meanwhile and must be saved once more
}

// succeed opens the state shared in folder dir. It returns nil if dir is empty or the folder can't be used at all.
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
		heard: make(chan struct{}), listed: map[string]core.Listed{}}
	s.look()
	return s
}

// inherit replaces the list of c with the former process's if that is of the same discovery and not older.
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

// keep saves the text of an accepted configuration, which the next process uses if it finds the file unusable.
func (s *succession) keep(text []byte) {
	if s == nil || len(text) == 0 {
		return
	}
	if err := s.board.Save(configFile, text); err != nil {
		s.log.Warn("handover: the configuration is not kept for the next process", "err", err)
	}
}

// List implements discovery.Sink. It keeps the list and saves it for the next process.
func (s *succession) List(kind decide.EventKind, members []core.Listed) {
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

// save writes the list to the shared state, and repeats that while the list changes.
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

// Commit implements core.Ledger.
func (s *succession) Commit(group int64, session string, p core.Time) {
	s.board.Commit(group, session, p)
}

// Committed implements core.Ledger.
func (s *succession) Committed(group int64, session string) core.Time {
	at := s.board.Committed(group, session)
	if f := core.Time(s.floor.Load()); f > at {
		at = min(f, s.now())
	}
	return at
}

const forever = 1<<63 - 1 // floor while there is another process and commits are not shared with it

// look finds the other processes, retries sharing where it failed, and sets the floor of session reads.
func (s *succession) look() []handover.Other {
	others := s.board.Others()
	n := int32(len(others))
	if was := s.others.Swap(n); was != n {
		s.log.Info("handover: processes of this gateway", "others", n)
	}
	if n == 0 && !s.board.Shared() {
		if err := s.board.Share(); err != nil {
			s.failing.Warn(s.log, "handover: still nothing can be shared", "err", err)
		} else {
			s.receive()
		}
	}
	shared := s.board.Shared()
	for _, o := range others {
		shared = shared && o.Shares
	}
	switch f := s.floor.Load(); {
	case !shared && n > 0:
		s.floor.Store(forever)
	case f == forever:
		s.floor.Store(int64(s.now()))
	}
	return others
}

// run checks for other processes, and adapts this process's limits to them, until stop. sockets is the descriptors that
// all processes divide.
func (s *succession) run(sockets int) {
	last, ticks, seen := sockets, 0, uint64(0)
	for {
		others := s.look()
		if n := s.board.Changes(); s.changed != nil && (n != seen || s.floor.Load() == forever && ticks%readEach == 0) {
			s.changed(n)
			seen = n
		}
		wait := lookAlone
		if len(others) > 0 {
			wait = lookTogether
			if ticks%countEach == 0 {
				s.board.Used(descriptors(ownFolder, sockets))
			}
			ticks++
		}
		older := len(others) > 0 && !others[0].Older
		if may := handover.Split(sockets, others, older); may != last {
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

// leave stops taking connections over, as this process begins to end: former processes keep theirs or pass them on to
// another process. Connections received by then are taken over and answered. It may be called more than once.
func (s *succession) leave() {
	s.mu.Lock()
	end := s.end
	s.leaving, s.end = true, nil
	s.mu.Unlock()
	s.board.Ready(false)
	if end != nil {
		end()
	}
}

// stop ends run and the taking over of connections, and logs how many were passed on.
func (s *succession) stop() {
	if s == nil {
		return
	}
	close(s.done)
	s.leave()
	s.log.Info("handover: ending", "passed_on", s.passed.Load(), "not_passed_on", s.kept.Load())
}

const ownFolder = "/proc/self/fd" // has an entry for each descriptor that this process holds

// descriptors counts the entries of a folder, which is ownFolder outside tests. It returns most if the folder can't be
// read, most likely for lack of a descriptor: reporting too few would let another process use descriptors that are not free.
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

// inherit takes over the suspensions that operators made through other processes, and then acknowledges that it has seen
// count changes of them.
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
	o.owner.Post(func() { o.line.board.Saw(count) })
}

// said reads the suspensions that operators made through any process.
func (s *succession) said() (all []suspend.Entry, err error) {
	text, err := s.board.Load(machineFile)
	if err == nil {
		err = json.Unmarshal(text, &all)
	}
	return all, err
}

// share publishes this process's suspensions to the other processes of this gateway, unless err says that the operator's
// call failed; it returns err then. It waits for their acknowledgment for a short time only: a process that is
// stopped sends nothing to members either, and reads the suspensions first when it continues.
func (o *operators) share(ctx context.Context, err error) error {
	if err != nil || o.line == nil {
		return err
	}
	count, err := o.line.board.Change(machineFile, func(was []byte) ([]byte, error) {
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
	if !o.line.board.Await(count, wait) {
		o.log.Warn("handover: another process has not yet said that it took this over", "waited", wait)
	}
	return nil
}

// warm delays the first accept while another process serves: until discovery has sent a list, at most warmMost. Once term
// is closed no more connections are taken over.
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

// ready announces that this process serves, and starts to take over the connections of processes that end.
func (s *succession) ready(adopt func(net.Conn, bool)) {
	if s != nil {
		s.mu.Lock()
		s.adopt = adopt
		s.mu.Unlock()
		s.receive()
	}
}

// receive starts to take connections over, once this process serves and shares its state.
func (s *succession) receive() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.adopt == nil || s.leaving || s.end != nil || !s.board.Shared() {
		return
	}
	stop, err := s.board.Receive(s.adopt)
	if err != nil {
		s.log.Warn("handover: clients' connections can't be taken over", "err", err)
	}
	s.end = stop
	s.board.Ready(true)
}

// passes returns the function that passes a client connection to the successor, nil if there is no handover.
func (s *succession) passes() pgfront.Pass {
	if s == nil {
		return nil
	}
	p := s.board.Passer()
	return func(nc net.Conn, began bool) bool {
		err := p.Pass(nc, began)
		if err == nil {
			s.passed.Add(1)
		} else if s.kept.Add(1) == 1 {
			s.log.Warn("handover: connections are closed when they are idle", "err", err)
		}
		return err == nil
	}
}

// succeeded reports whether a newer process of this gateway is ready to serve.
func (s *succession) succeeded() bool {
	return s != nil && slices.ContainsFunc(s.board.Others(), func(o handover.Other) bool { return o.Ready && !o.Older })
}

// limit returns a function that limits the gateway to a fraction of its memory and to a number of descriptors, which are
// divided as in share.
func (g *running) limit(bufs *pgwire.Pool, share Budget) func(part float64, sockets int) {
	return func(part float64, sockets int) {
		bufs.Limit(int(part*float64(share.Buffers)), int(part*float64(share.Small)))
		g.front.Limit(int(clientPart * float64(sockets)))
		g.owner.Post(func() { g.pool.Limit(int(memberPart * float64(sockets))) })
		if g.c.memory > 0 {
			debug.SetMemoryLimit(int64(part * softPart * float64(g.c.memory)))
		}
	}
}
