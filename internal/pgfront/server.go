// Package pgfront is the clients' side of the gateway for clients that speak
// PostgreSQL. Each connection has a goroutine of its own, which reads a
// statement, hands it to the core and writes the one answer.
package pgfront

import (
	"errors"
	"log/slog"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"reachwind/internal/activesettings"
	"reachwind/internal/call"
	"reachwind/internal/core"
	"reachwind/internal/interruptible"
	"reachwind/internal/logthrottle"
	"reachwind/internal/pgwire"
	"reachwind/internal/record"
)

// Config holds what the front is told.
type Config struct {
	Settings           *activesettings.Holder
	MaxConnections     int             // client connections; for more, idle ones are ended
	SpareConnections   int             // connections above Max, half for those being ended, half for those being refused; those that linger have what is left
	ReservedBuffers    int             // buffers left to the members when statements take the rest
	StartupTimeout     time.Duration   // the startup and the first command must begin by then; no message may pause for longer
	WriteTimeout       time.Duration   // an answer must have been taken by then
	LingerTimeout      time.Duration   // how long a connection may linger once its last word is written, or wait to be refused
	IdleTimeout        time.Duration   // a connection idle for longer is ended,
	MaxIdleConnections int             // and the longest idle where so many are
	Transfer           TransferFunc    // nil: no other process takes connections over
	Claims             *call.ActiveIDs // ids in work, shared with other fronts; nil: none are
}

// TransferFunc gives a client's connection to another process that goes on with it, and tells whether it has. The connection
// began if its startup is over; it stands before a command then. It may be called from many goroutines.
type TransferFunc func(nc net.Conn, began bool) bool

// Core is the part of the core that a front uses.
type Core interface {
	Now() core.Time
	Arrive(*core.Request)
	Gone(*core.Request)
	Cancel(*core.Request)
	RecordFrontOutcome(front string, o record.Outcome, why record.Cause)
}

const front = "pg" // as records have it

// Server accepts client connections.
type Server struct {
	core Core
	log  *slog.Logger
	conf Config
	bufs *pgwire.Pool

	mu       sync.Mutex
	conns    map[*conn]bool
	refusing int
	lingered []net.Conn // ended but for what their clients may still send, longest first
	most     int        // conf.Max, or what Limit said
	closing  bool
	passing  bool // closing for good,
	last     bool // and in its last moments
	working  int  // goroutines of connections,
	lingers  int  // those among them that only wait for their client
	ended    sync.Cond

	cancels cancels
	ahead   atomic.Int64 // bytes that readers hold beyond their usual size

	refused, closed, broken, full, short, failing logthrottle.Line
}

// silentLeast is how long a connection that has sent nothing is left alone: clients send their startup at once.
// idleLeast is how long one is that has just been welcomed, as its first command takes a way there and back. Where clients
// come faster than that, they would else push each other out before any has asked, however often it tries.
const (
	silentLeast = 50 * time.Millisecond
	sweepEvery  = 100 * time.Millisecond
	idleLeast   = 200 * time.Millisecond // one that has just had its answer may be about to ask again, too
)

// New returns a server that hands its requests to c.
func New(c Core, conf Config, bufs *pgwire.Pool, log *slog.Logger) *Server {
	s := &Server{core: c, log: log, conf: conf, bufs: bufs, conns: map[*conn]bool{}, most: conf.MaxConnections}
	s.ended.L = &s.mu
	if s.conf.Claims == nil {
		s.conf.Claims = call.NewActiveIDs()
	}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	sweep := time.NewTicker(sweepEvery)
	done := make(chan struct{})
	defer close(done)
	defer sweep.Stop()
	go func() {
		for {
			select {
			case <-sweep.C:
				s.endIdle()
			case <-done:
				return
			}
		}
	}()
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, most likely: clients wait in the backlog meanwhile
			s.failing.Warn(s.log, "accept failed", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.Handle(nc)
	}
}

// Handle serves one connection in the background. At the limit the clients that
// ask once and keep their connection, or never ask, make room for those that ask now.
func (s *Server) Handle(nc net.Conn) {
	runtime.Gosched() // hundreds may come at once: what those before have sent is read first, and they count as asking
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.conns) < s.most, len(s.conns) < s.most+s.conf.SpareConnections/2 && s.makeRoom():
	case s.refusing < (s.conf.SpareConnections+1)/2:
		s.refusing++
		c.refuse = true
		stay := 0 // where another process passed on more than may be, the idle ones make room for the next
		for c := range s.conns {
			if !c.leaving {
				stay++
			}
		}
		for ; stay >= s.most && s.makeRoom(); stay-- {
		}
		s.refused.Warn(s.log, "client refused: too many connections", "open", len(s.conns))
	default:
		s.turnAway(c, false)
		return
	}
	s.evict()
	s.serve(c, false)
}

// turnAway ends a connection that there is no room for. One whose startup is not over is told so without having been
// read: a client that hears nothing at all may take its request for lost. The caller holds the lock.
func (s *Server) turnAway(c *conn, began bool) {
	s.closed.Warn(s.log, "client closed: too many connections", "open", len(s.conns))
	if !s.evict() {
		_ = c.Conn.Close()
		return
	}
	s.lingered = append(s.lingered, c.Conn.Conn)
	s.start(func() {
		if !began {
			_ = c.fatal(pgwire.TooManyConnections, "too many connections", c.comeBack())
		}
		s.seeOff(c)
	})
}

// evict makes room for one connection more, if there is none, by closing the one that has lingered longest. It tells
// whether there is room. The caller holds the lock.
func (s *Server) evict() bool {
	if len(s.conns)+s.refusing+len(s.lingered) < s.most+s.conf.SpareConnections {
		return true
	}
	if len(s.lingered) == 0 {
		return false
	}
	s.short.Info(s.log, "client closed before it had ended: too many connections", "lingering", len(s.lingered))
	_ = s.lingered[0].Close()
	s.lingered = s.lingered[1:]
	return true
}

// linger is the end of a connection whose client is still there. It counts no longer as one of the clients'.
func (s *Server) linger(c *conn) {
	s.mu.Lock()
	s.drop(c)
	s.lingered = append(s.lingered, c.Conn.Conn)
	s.mu.Unlock()
	s.seeOff(c)
}

// seeOff closes a connection that is among the lingered.
func (s *Server) seeOff(c *conn) {
	s.mu.Lock()
	s.lingers++
	s.ended.Broadcast()
	s.mu.Unlock()
	interruptible.LingeringClose(c.Conn.Conn, time.Now().Add(s.conf.LingerTimeout), lingerMost)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingers--
	s.lingered = slices.DeleteFunc(s.lingered, func(nc net.Conn) bool { return nc == c.Conn.Conn })
}

const lingerMost = 1 << 20 // bytes that are read of a client whose connection has ended: some of its largest requests

// drop has a connection count no longer. The caller holds the lock.
func (s *Server) drop(c *conn) {
	delete(s.conns, c)
	if c.refuse {
		c.refuse = false
		s.refusing--
	}
}

// start runs f in the background; Shutdown waits for it. The caller holds the lock.
func (s *Server) start(f func()) {
	s.working++
	go func() {
		f()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.working--
		s.ended.Broadcast()
	}()
}

// pass gives a connection to another process, if this one ends and there is one.
func (s *Server) pass(nc net.Conn, began bool) bool {
	s.mu.Lock()
	passing := s.passing && s.conf.Transfer != nil
	s.mu.Unlock()
	return passing && s.conf.Transfer(nc, began)
}

// Adopt serves a connection that another process passed on. It was within the limits there, which both keep
// together; it counts here from now on.
func (s *Server) Adopt(nc net.Conn, began bool) {
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.conf.MaxConnections+s.conf.SpareConnections {
		s.turnAway(c, began)
		return
	}
	s.evict()
	if began {
		c.spoke, c.asked, c.due = true, true, time.Time{}
	}
	s.serve(c, began)
}

// serve runs a connection in the background. The caller holds the lock.
func (s *Server) serve(c *conn, began bool) {
	if !c.refuse {
		s.conns[c] = true
	}
	if s.closing {
		c.Post(message{stop: true, last: s.last})
	}
	s.start(func() {
		if began {
			c.serveFrom(nil)
		} else {
			c.serve()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.drop(c)
	})
}

// makeRoom ends the connection that has been silent longest without a byte,
// else the one idle longest, and tells whether there was one. None is ended
// that has only just connected or been welcomed. A request that
// crosses the end is served first, or was not read: its client asks again.
func (s *Server) makeRoom() bool {
	var oldest *conn
	rank := func(c *conn) int { // 0: it stays
		switch {
		case c.leaving, c.idleSince.IsZero(),
			!c.spoke && time.Since(c.idleSince) < silentLeast, c.spoke && !c.asked && time.Since(c.idleSince) < idleLeast:
			return 0
		case c.spoke:
			return 1
		}
		return 2
	}
	for c := range s.conns {
		if rank(c) == 0 {
			continue
		}
		if oldest == nil || rank(c) > rank(oldest) || rank(c) == rank(oldest) && c.idleSince.Before(oldest.idleSince) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.leaving = true
	oldest.Post(message{stop: true})
	return true
}

// endIdle ends connections that have been idle for long, and the longest idle
// of more than IdleKeep. Clients that ask once and keep their connection would
// else take up all those that clients may hold, and none could ask.
func (s *Server) endIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idle []*conn
	for c := range s.conns {
		if c.spoke && !c.leaving && !c.idleSince.IsZero() {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *conn) int { return a.idleSince.Compare(b.idleSince) })
	for i, c := range idle {
		if age := time.Since(c.idleSince); age < idleLeast || age < s.conf.IdleTimeout && len(idle)-i <= s.conf.MaxIdleConnections {
			break
		}
		c.leaving = true
		c.Post(message{stop: true})
	}
}

// idle notes that a connection waits for a command, busy that it has one.
func (s *Server) idle(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idleSince = time.Now()
	c.asked = c.due.IsZero()
}

func (s *Server) busy(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idleSince = time.Time{}
}

// heard notes that a connection has sent something.
func (s *Server) heard(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.spoke = true
}

// SetMaxConnections has the server hold so many client connections at most from now on. Those that are open stay until they are
// idle.
func (s *Server) SetMaxConnections(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
}

// Quiesce has connections end as they fall idle, what was taken answered, and new ones after one answer; or has the
// server go on as ever. Unlike Shutdown it can be taken back; a Shutdown can't.
func (s *Server) Quiesce(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = yes || s.passing
	if yes {
		s.tell(message{stop: true})
	}
}

// OpenConnections is how many connections are open, those being refused among them, those that linger not.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.refusing
}

// Shutdown ends connections as they fall idle, answers what was taken, and
// returns when none is left. For those that linger it waits lastLinger: what was under way when they were ended has come
// by then, and clients that do not look at a connection at rest for long would hold up the next process.
func (s *Server) Shutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing, s.passing = true, true
	s.tell(message{stop: true})
	over := false
	for s.working > s.lingers || s.lingers > 0 && !over {
		if s.working > s.lingers {
			s.ended.Wait()
			continue
		}
		late := time.AfterFunc(lastLinger, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			over = true
			s.ended.Broadcast()
		})
		for s.working == s.lingers && s.lingers > 0 && !over {
			s.ended.Wait()
		}
		late.Stop()
	}
}

const lastLinger = 50 * time.Millisecond // more than a request is under way to the gateway

// AbandonPartialMessages is for the last moments of a Shutdown: commands that are whole are answered, but the rest of one that has
// begun is not waited for any longer. Whoever sends it then finds the connection ended.
func (s *Server) AbandonPartialMessages() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = true
	s.tell(message{stop: true, last: true})
}

// tell leaves all connections a message. The caller holds the lock.
func (s *Server) tell(m message) {
	for c := range s.conns {
		c.Post(m)
	}
}
