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

	"reachwind/internal/activesettings"
	"reachwind/internal/call"
	"reachwind/internal/core"
	"reachwind/internal/interruptible"
	"reachwind/internal/logthrottle"
	"reachwind/internal/pgwire"
	"reachwind/internal/record"
	"reachwind/internal/throttle"
)

// Config is the configuration of the front.
type Config struct {
	Settings           *activesettings.Holder
	MaxConnections     int              // client connections at a time; idle ones are closed to make room for new ones
	SpareConnections   int              // connections above MaxConnections: half for those being closed, half for those being refused; lingering ones may use the rest
	ReservedBuffers    int              // buffers that statements leave to the members
	StartupTimeout     time.Duration    // timeout for the startup and the first command to begin, and for pauses within a message
	WriteTimeout       time.Duration    // timeout for the client to read an answer
	LingerTimeout      time.Duration    // timeout of a lingering connection, and of one that waits to be refused
	IdleTimeout        time.Duration    // a connection that has been idle for so long is closed
	MaxIdleConnections int              // the longest idle connections beyond this number are closed
	Transfer           TransferFunc     // hands connections over to another process; nil: not possible
	Claims             *call.ActiveIDs  // ids of requests in progress, shared with other fronts; nil: not shared
	Work               *throttle.Budget // of work that no member has a part in, shared with other fronts; nil: one of a whole core
}

// TransferFunc hands a client connection over to another process that continues to serve it, and reports whether that
// succeeded. A connection that began has completed its startup and is between commands. It must be safe for concurrent use.
type TransferFunc func(nc net.Conn, began bool) bool

// Core is the part of the core that the front uses.
type Core interface {
	Now() core.Time
	Arrive(*core.Request)
	Gone(*core.Request)
	Cancel(*core.Request)
	RecordFrontOutcome(front string, o record.Outcome, why record.Cause)
}

const front = "pg" // name of this front in records

// Server accepts client connections.
type Server struct {
	core Core
	log  *slog.Logger
	conf Config
	bufs *pgwire.Pool

	mu               sync.Mutex
	conns            map[*conn]bool
	refusing         int
	lingering        []net.Conn // closed for sending, waiting for their clients to close, longest first
	maxConns         int        // conf.MaxConnections, or the limit set since
	closing          bool
	shuttingDown     bool // Shutdown was called
	abandonPartial   bool // AbandonPartialMessages was called
	goroutines       int  // goroutines of connections
	lingerGoroutines int  // those of them that only wait for their client
	writing          int  // connections to which a long answer is written
	changed          sync.Cond

	cancels        cancelState
	readAheadBytes atomic.Int64 // bytes of read buffers beyond their initial size, of all connections

	refusedLog, rejectedLog, protocolErrorLog, noBufferLog, evictedLog, acceptErrorLog, delayedLog logthrottle.Line
}

const (
	// minSilentAge is the time for which a new connection that has sent nothing is not closed: clients send their startup
	// at once.
	minSilentAge = 50 * time.Millisecond
	// sweepInterval is the interval at which idle connections are closed.
	sweepInterval = 100 * time.Millisecond
	// minIdleAge is the time for which a connection is not closed after its startup, as its first command takes a round
	// trip, or after an answer, as its client may be about to send the next command. Without it, clients that connect
	// faster than that would displace each other before any has sent a command, however often they retry.
	minIdleAge = 200 * time.Millisecond
	// minPartialAge is the time for which a connection is not closed while it receives a message: a message of the largest
	// size takes less on a sound link.
	minPartialAge = 500 * time.Millisecond
)

// New returns a server that passes its requests to c.
func New(c Core, conf Config, bufs *pgwire.Pool, log *slog.Logger) *Server {
	s := &Server{core: c, log: log, conf: conf, bufs: bufs, conns: map[*conn]bool{}, maxConns: conf.MaxConnections}
	s.changed.L = &s.mu
	if s.conf.Claims == nil {
		s.conf.Claims = call.NewActiveIDs()
	}
	if s.conf.Work == nil {
		s.conf.Work = throttle.NewBudget(1, conf.MaxConnections)
	}
	return s
}

// Serve accepts connections until the listener is closed; it returns nil then.
func (s *Server) Serve(l net.Listener) error {
	sweep := time.NewTicker(sweepInterval)
	done := make(chan struct{})
	defer close(done)
	defer sweep.Stop()
	go func() {
		for {
			select {
			case <-sweep.C:
				s.closeIdle()
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
			s.acceptErrorLog.Warn(s.log, "accept failed", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.Handle(nc)
	}
}

// Handle serves one connection in the background. At the limit, an idle connection is
// closed to make room for the new one, or the new one is refused.
func (s *Server) Handle(nc net.Conn) {
	runtime.Gosched() // hundreds may connect at once: lets the goroutines of earlier ones read first, so that they count as active
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.conns) < s.maxConns, len(s.conns) < s.maxConns+s.conf.SpareConnections/2 && s.evictIdle():
	case s.refusing < (s.conf.SpareConnections+1)/2:
		s.refusing++
		c.refusing = true
		remaining := 0 // another process may have handed over more than the limit: idle ones make room for the next client
		for c := range s.conns {
			if !c.evicted {
				remaining++
			}
		}
		for ; remaining >= s.maxConns && s.evictIdle(); remaining-- {
		}
		s.refusedLog.Warn(s.log, "client refused: too many connections", "open", len(s.conns))
	default:
		s.reject(c, false)
		return
	}
	s.evictLingering()
	s.serve(c, false)
}

// reject closes a connection that exceeds the limits. One whose startup is not complete gets an error without being read,
// because a client that gets no answer may assume that its request was lost. The lock must be held.
func (s *Server) reject(c *conn, began bool) {
	s.rejectedLog.Warn(s.log, "client closed: too many connections", "open", len(s.conns))
	if !s.evictLingering() {
		_ = c.Conn.Close()
		return
	}
	s.lingering = append(s.lingering, c.Conn.Conn)
	s.startTracked(func() {
		if !began {
			_ = c.writeFatal(pgwire.TooManyConnections, "too many connections", c.retryAfterMs())
		}
		s.runLinger(c, maxLingerBytes)
	})
}

// evictLingering makes room for one more connection, if there is none, by closing the one that has lingered longest. It
// reports whether there is room. The lock must be held.
func (s *Server) evictLingering() bool {
	if len(s.conns)+s.refusing+len(s.lingering) < s.maxConns+s.conf.SpareConnections {
		return true
	}
	if len(s.lingering) == 0 {
		return false
	}
	s.evictedLog.Info(s.log, "client closed before it had ended: too many connections", "lingering", len(s.lingering))
	_ = s.lingering[0].Close()
	s.lingering = s.lingering[1:]
	return true
}

// linger closes a connection whose client has not closed it. It no longer counts as a client connection.
func (s *Server) linger(c *conn, maxBytes int) {
	s.mu.Lock()
	s.remove(c)
	s.lingering = append(s.lingering, c.Conn.Conn)
	s.mu.Unlock()
	s.runLinger(c, maxBytes)
}

// runLinger runs the lingering close of a connection in s.lingering, which reads so many bytes at most.
func (s *Server) runLinger(c *conn, maxBytes int) {
	s.mu.Lock()
	s.lingerGoroutines++
	s.endWriting(c)
	s.changed.Broadcast()
	s.mu.Unlock()
	interruptible.LingeringClose(c.Conn.Conn, time.Now().Add(s.conf.LingerTimeout), maxBytes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingerGoroutines--
	s.lingering = slices.DeleteFunc(s.lingering, func(nc net.Conn) bool { return nc == c.Conn.Conn })
}

// Bytes that a lingering connection reads at most: several requests of the largest size, fewer after a client broke the
// protocol, which may send without end.
const (
	maxLingerBytes       = 1 << 20
	maxBrokenLingerBytes = 64 << 10
)

// remove removes a connection from the counts. The lock must be held.
func (s *Server) remove(c *conn) {
	delete(s.conns, c)
	if c.refusing {
		c.refusing = false
		s.refusing--
	}
}

// startTracked runs f in the background; Shutdown waits for it. The lock must be held.
func (s *Server) startTracked(f func()) {
	s.goroutines++
	go func() {
		f()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.goroutines--
		s.changed.Broadcast()
	}()
}

// transfer hands a connection over to another process, if this one is shutting down and there is one.
func (s *Server) transfer(nc net.Conn, began bool) bool {
	s.mu.Lock()
	enabled := s.shuttingDown && s.conf.Transfer != nil
	s.mu.Unlock()
	return enabled && s.conf.Transfer(nc, began)
}

// Adopt serves a connection that another process handed over. It was within the limits there, which both processes share;
// from now on it counts here. began says that its startup is complete.
func (s *Server) Adopt(nc net.Conn, began bool) {
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.conf.MaxConnections+s.conf.SpareConnections {
		s.reject(c, began)
		return
	}
	s.evictLingering()
	if began {
		c.received, c.hadCommand, c.startDeadline = true, true, time.Time{}
	}
	s.serve(c, began)
}

// serve runs a connection in the background. The lock must be held.
func (s *Server) serve(c *conn, began bool) {
	if !c.refusing {
		s.conns[c] = true
	}
	if s.closing {
		c.Post(message{stop: true, abandonPartial: s.abandonPartial})
	}
	s.startTracked(func() {
		if began {
			c.serveFrom(nil)
		} else {
			c.serve()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.remove(c)
		s.endWriting(c)
	})
}

// evictIdle closes the connection whose client has been sending a message for longest, else the one that has been open
// longest without sending a byte, else the one that has been idle longest, and reports whether there was one. It spares connections that have only just connected or completed their
// startup. A request that arrives at the same time is either served first or not
// read at all, so that its client can retry.
func (s *Server) evictIdle() bool {
	var oldest *conn
	rank := func(c *conn) int { // 0: must not be closed
		switch {
		case c.evicted:
			return 0
		case !c.partial.IsZero() && time.Since(c.partial) >= minPartialAge:
			return 3
		case !c.partial.IsZero(), c.idleSince.IsZero(),
			!c.received && time.Since(c.idleSince) < minSilentAge, c.received && !c.hadCommand && time.Since(c.idleSince) < minIdleAge:
			return 0
		case c.received:
			return 1
		}
		return 2
	}
	for c := range s.conns {
		if rank(c) == 0 {
			continue
		}
		if oldest == nil || rank(c) > rank(oldest) || rank(c) == rank(oldest) && c.waitsSince().Before(oldest.waitsSince()) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	oldest.evicted = true
	if oldest.partial.IsZero() {
		oldest.Post(message{stop: true})
	} else {
		oldest.Post(message{evictPartial: true})
	}
	return true
}

// waitsSince returns the time since when a connection has waited for its client. Server.mu must be held.
func (c *conn) waitsSince() time.Time {
	if !c.partial.IsZero() {
		return c.partial
	}
	return c.idleSince
}

// markPartial records since when a connection has been receiving a message; the zero time ends that.
func (s *Server) markPartial(c *conn, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.partial = since
}

// stillPartial reports whether a connection that is to be closed in the middle of a message is still receiving it. If not, the
// connection stays open.
func (s *Server) stillPartial(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.evicted = !c.partial.IsZero()
	return c.evicted
}

// closeIdle closes connections that have been idle for IdleTimeout, and the longest
// idle ones beyond MaxIdleConnections. Otherwise clients that send one request and
// keep their connection could use up the limit and block all others.
func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var idle []*conn
	for c := range s.conns {
		if c.received && !c.evicted && !c.idleSince.IsZero() {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b *conn) int { return a.idleSince.Compare(b.idleSince) })
	for i, c := range idle {
		if age := time.Since(c.idleSince); age < minIdleAge || age < s.conf.IdleTimeout && len(idle)-i <= s.conf.MaxIdleConnections {
			break
		}
		c.evicted = true
		c.Post(message{stop: true})
	}
}

// markIdle records that a connection waits for a command.
func (s *Server) markIdle(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idleSince = time.Now()
	c.hadCommand = c.startDeadline.IsZero()
	s.endWriting(c)
}

// markBusy records that a connection has begun to receive a command.
func (s *Server) markBusy(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.idleSince = time.Time{}
}

// markReceived records that a connection has received bytes.
func (s *Server) markReceived(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.received = true
}

// SetMaxConnections sets the limit of client connections. Open connections beyond it stay until they are idle.
func (s *Server) SetMaxConnections(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConns = limit
}

// Quiesce with yes closes connections as they become idle, after answering the requests they have sent, and new connections
// after one answer. Without yes it reverts to normal operation, unless Shutdown was called.
func (s *Server) Quiesce(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = yes || s.shuttingDown
	if yes {
		s.broadcast(message{stop: true})
	}
}

// OpenConnections returns the number of open connections, including those being refused, but not those that linger.
func (s *Server) OpenConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.refusing
}

// Shutdown closes connections as they become idle, answers the requests that were read, and returns when no connection is
// left. It waits for lingering connections for shutdownLinger only: what was in transit when they were closed has arrived by
// then, and clients that do not look at an idle connection for a long time would delay the next process.
func (s *Server) Shutdown() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing, s.shuttingDown = true, true
	s.broadcast(message{stop: true})
	expired := false
	for s.goroutines > s.lingerGoroutines || s.lingerGoroutines > 0 && !expired {
		if s.goroutines > s.lingerGoroutines {
			s.changed.Wait()
			continue
		}
		timer := time.AfterFunc(shutdownLinger, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			expired = true
			s.changed.Broadcast()
		})
		for s.goroutines == s.lingerGoroutines && s.lingerGoroutines > 0 && !expired {
			s.changed.Wait()
		}
		timer.Stop()
	}
}

const shutdownLinger = 50 * time.Millisecond // longer than a request is in transit to the gateway

// AbandonPartialMessages is for the end of a Shutdown: complete commands are still answered, but the server no longer waits
// for the rest of a command that has begun. The client that sends it finds the connection closed.
func (s *Server) AbandonPartialMessages() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abandonPartial = true
	s.broadcast(message{stop: true, abandonPartial: true})
}

// broadcast posts a message to all connections. The lock must be held.
func (s *Server) broadcast(m message) {
	for c := range s.conns {
		c.Post(m)
	}
}
