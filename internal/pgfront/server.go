// Package pgfront is the clients' side of the gateway for clients that speak
// PostgreSQL. Each connection has a goroutine of its own, which reads a
// statement, hands it to the core and writes the one answer.
package pgfront

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/pgwire"
)

// Config holds what the front is told.
type Config struct {
	Classes    []decide.Class
	Tenants    []decide.Tenant
	Max        int           // client connections; more are refused
	ComeBack   time.Duration // told to those refused for want of room, 0 = nothing
	Keep       int           // buffers left to the members when statements take the rest
	StartWait  time.Duration // the startup, and each message once begun, must have come by then
	WriteWait  time.Duration // an answer must have been taken by then
	RefuseWait time.Duration // how long a refused connection may linger
}

// Core is the part of the core that a front uses.
type Core interface {
	Now() core.Time
	Arrive(*core.Request)
	Gone(*core.Request)
}

// Server accepts client connections.
type Server struct {
	core    Core
	log     *slog.Logger
	conf    Config
	bufs    *pgwire.Pool
	classes map[string]int
	tenants map[string]int

	mu       sync.Mutex
	conns    map[*conn]bool
	refusing int
	closing  bool
	done     sync.WaitGroup
}

const refuseMost = 32 // connections being refused at once; more are closed without a word

// New returns a server that hands its requests to c.
func New(c Core, conf Config, bufs *pgwire.Pool, log *slog.Logger) *Server {
	s := &Server{core: c, log: log, conf: conf, bufs: bufs,
		classes: map[string]int{}, tenants: map[string]int{}, conns: map[*conn]bool{}}
	for i := range conf.Classes {
		s.classes[conf.Classes[i].Name] = i
	}
	for i := range conf.Tenants {
		s.tenants[conf.Tenants[i].Name] = i
	}
	return s
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, most likely: clients wait in the backlog meanwhile
			s.log.Warn("accept failed", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.Handle(nc)
	}
}

// Handle serves one connection in the background.
func (s *Server) Handle(nc net.Conn) {
	c := newConn(s, nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.conns) < s.conf.Max:
		s.conns[c] = true
	case s.refusing < refuseMost:
		s.refusing++
		c.refuse = true
		s.log.Warn("client refused: too many connections", "open", len(s.conns))
	default:
		s.log.Warn("client closed: too many connections", "open", len(s.conns))
		_ = nc.Close()
		return
	}
	if s.closing {
		c.Leave(message{stop: true})
	}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		c.serve()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
		if c.refuse {
			s.refusing--
		}
	}()
}

// Shutdown ends connections as they fall idle, answers what was taken, and
// returns when none is left.
func (s *Server) Shutdown() {
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		c.Leave(message{stop: true})
	}
	s.mu.Unlock()
	s.done.Wait()
}
