// Package pgfront is the front for clients that speak the PostgreSQL protocol.
// Each connection has its own goroutine, which reads a statement, passes it to
// the core and writes the one answer.
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

	"reachwind/internal/call"
	"reachwind/internal/core"
	"reachwind/internal/often"
	"reachwind/internal/pgwire"
	"reachwind/internal/record"
	"reachwind/internal/terms"
	"reachwind/internal/wake"
)

// Config is the configuration of the front.
type Config struct {
	Terms      *terms.Book
	Max        int           // client connections at a time; idle ones are closed to make room for new ones
	Spare      int           // connections above Max: half for those being closed, half for those being refused; lingering ones may use the rest
	Keep       int           // buffers that statements leave to the members
	StartWait  time.Duration // timeout for the startup and the first command to begin, and for pauses within a message
	WriteWait  time.Duration // timeout for the client to read an answer
	RefuseWait time.Duration // timeout of a lingering connection, and of one that waits to be refused
	IdleMost   time.Duration // a connection is closed once it has been idle for so long,
	IdleKeep   int           // or is the longest idle one of more than so many
	Pass       Pass          // hands connections over to another process; nil: not possible
	Claims     *call.Claims  // ids of requests in progress, shared with other fronts; nil: not shared
}

// Pass hands a client connection over to another process that continues to serve it, and reports whether that succeeded. A
// connection that began has completed its startup and is between commands. It must be safe for concurrent use.
type Pass func(nc net.Conn, began bool) bool

// Core is the part of the core that the front uses.
type Core interface {
	Now() core.Time
	Arrive(*core.Request)
	Gone(*core.Request)
	Cancel(*core.Request)
	Turned(front string, o record.Outcome, why record.Cause)
}

const front = "pg" // name of this front in records

// Server accepts client connections.
type Server struct {
	core Core
	log  *slog.Logger
	conf Config
	bufs *pgwire.Pool

	mu       sync.Mutex
	conns    map[*conn]bool
	refusing int
	lingered []net.Conn // closed for sending, waiting for their clients to close, longest first
	most     int        // conf.Max, or the limit set since
	closing  bool
	passing  bool // Shutdown was called
	last     bool // AbandonPartialMessages was called
	working  int  // goroutines of connections
	lingers  int  // those of them that only wait for their client
	ended    sync.Cond

	cancels cancels
	ahead   atomic.Int64 // bytes of read buffers beyond their initial size, of all connections

	refused, closed, broken, full, short, failing often.Line
}

const (
	// silentLeast is the time for which a new connection that has sent nothing is not closed: clients send their startup
	// at once.
	silentLeast = 50 * time.Millisecond
	// sweepEvery is the interval at which idle connections are closed.
	sweepEvery = 100 * time.Millisecond
	// idleLeast is the time for which a connection is not closed after its startup, as its first command takes a round
	// trip, or after an answer, as its client may be about to send the next command. Without it, clients that connect
	// faster than that would displace each other before any has sent a command, however often they retry.
	idleLeast = 200 * time.Millisecond
)

// New returns a server that passes its requests to c.
func New(c Core, conf Config, bufs *pgwire.Pool, log *slog.Logger) *Server {
	s := &Server{core: c, log: log, conf: conf, bufs: bufs, conns: map[*conn]bool{}, most: conf.Max}
	s.ended.L = &s.mu
	if s.conf.Claims == nil {
		s.conf.Claims = call.NewClaims()
	}
	return s
}

// Serve accepts connections until the listener is closed; it returns nil then.
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
		if err != nil { // most likely out of file descriptors: clients wait in the backlog meanwhile
			s.failing.Warn(s.log, "accept failed", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.Handle(nc)
	}
}

// Handle serves one connection in the background. At the limit, idle connections are
// closed to make room for the new one.
func (s *Server) Handle(nc net.Conn) {
	runtime.Gosched() // hundreds may connect at once: lets the goroutines of earlier ones read first, so that they count as active
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.conns) < s.most, len(s.conns) < s.most+s.conf.Spare/2 && s.makeRoom():
	case s.refusing < (s.conf.Spare+1)/2:
		s.refusing++
		c.refuse = true
		stay := 0 // another process may have handed over more than the limit: idle ones make room for the next client
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

// turnAway closes a connection that exceeds the limits. One whose startup is not complete gets an error without being read,
// because a client that gets no answer may assume that its request was lost. The lock must be held.
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

// evict makes room for one more connection, if there is none, by closing the one that has lingered longest. It reports
// whether there is room. The lock must be held.
func (s *Server) evict() bool {
	if len(s.conns)+s.refusing+len(s.lingered) < s.most+s.conf.Spare {
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

// linger closes a connection whose client has not closed it. It no longer counts as a client connection.
func (s *Server) linger(c *conn) {
	s.mu.Lock()
	s.drop(c)
	s.lingered = append(s.lingered, c.Conn.Conn)
	s.mu.Unlock()
	s.seeOff(c)
}

// seeOff runs the lingering close of a connection in s.lingered.
func (s *Server) seeOff(c *conn) {
	s.mu.Lock()
	s.lingers++
	s.ended.Broadcast()
	s.mu.Unlock()
	wake.Linger(c.Conn.Conn, time.Now().Add(s.conf.RefuseWait), lingerMost)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingers--
	s.lingered = slices.DeleteFunc(s.lingered, func(nc net.Conn) bool { return nc == c.Conn.Conn })
}

const lingerMost = 1 << 20 // bytes that a lingering connection reads at most: several requests of the largest size

// drop removes a connection from the counts. The lock must be held.
func (s *Server) drop(c *conn) {
	delete(s.conns, c)
	if c.refuse {
		c.refuse = false
		s.refusing--
	}
}

// start runs f in the background; Shutdown waits for it. The lock must be held.
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

// pass hands a connection over to another process, if this one is shutting down and there is one.
func (s *Server) pass(nc net.Conn, began bool) bool {
	s.mu.Lock()
	passing := s.passing && s.conf.Pass != nil
	s.mu.Unlock()
	return passing && s.conf.Pass(nc, began)
}

// Adopt serves a connection that another process handed over. It was within the limits there, which both processes share;
// from now on it counts here. began says that its startup is complete.
func (s *Server) Adopt(nc net.Conn, began bool) {
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.conf.Max+s.conf.Spare {
		s.turnAway(c, began)
		return
	}
	s.evict()
	if began {
		c.spoke, c.asked, c.due = true, true, time.Time{}
	}
	s.serve(c, began)
}

// serve runs a connection in the background. The lock must be held.
func (s *Server) serve(c *conn, began bool) {
	if !c.refuse {
		s.conns[c] = true
	}
	if s.closing {
		c.Leave(message{stop: true, last: s.last})
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

// makeRoom closes the connection that has been open longest without sending a
// byte, else the one that has been idle longest, and reports whether there was
// one. It spares connections that have only just connected or completed their
// startup. A request that arrives at the same time is either served first or not
// read at all, so that its client can retry.
func (s *Server) makeRoom() bool {
	var oldest *conn
	rank := func(c *conn) int { // 0: must not be closed
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
	oldest.Leave(message{stop: true})
	return true
}

// endIdle closes connections that have been idle for IdleTimeout, and the longest
// idle ones beyond MaxIdleConnections. Otherwise clients that send one request and
// keep their connection could use up the limit and block all others.
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
		if age := time.Since(c.idleSince); age < idleLeast || age < s.conf.IdleMost && len(idle)-i <= s.conf.IdleKeep {
			break
		}
		c.leaving = true
		c.Leave(message{stop: true})
	}
}

// idle records that a connection waits for a command, busy that it has one.
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

// heard records that a connection has received bytes.
func (s *Server) heard(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.spoke = true
}

// Limit sets the limit of client connections. Open connections beyond it stay until they are idle.
func (s *Server) Limit(most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.most = most
}

// Quiesce(true) closes connections as they become idle, after answering the requests they have sent, and new connections
// after one answer. Quiesce(false) reverts to normal operation, unless Shutdown was called.
func (s *Server) Quiesce(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = yes || s.passing
	if yes {
		s.tell(message{stop: true})
	}
}

// Open returns the number of open connections, including those being refused, but not those that linger.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.refusing
}

// Shutdown closes connections as they become idle, answers the requests that were read, and returns when no connection is
// left. It waits for lingering connections for lastLinger only: what was in transit when they were closed has arrived by
// then, and clients that do not look at an idle connection for a long time would delay the next process.
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

const lastLinger = 50 * time.Millisecond // longer than a request is in transit to the gateway

// LastCall is for the end of a Shutdown: complete commands are still answered, but the server no longer waits for the rest
// of a command that has begun. The client that sends it finds the connection closed.
func (s *Server) LastCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = true
	s.tell(message{stop: true, last: true})
}

// tell posts a message to all connections. The lock must be held.
func (s *Server) tell(m message) {
	for c := range s.conns {
		c.Leave(m)
	}
}
