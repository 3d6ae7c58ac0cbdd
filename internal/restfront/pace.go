package restfront

import (
	"net"
	"net/http"
	"time"

	"reachwind/internal/core"
	"reachwind/internal/peerclose"
	"reachwind/internal/throttle"
)

// connection is what the front knows of the connection that a request arrived on. Requests of one connection are served
// one after another.
type connection struct {
	socket net.Conn
	work   throttle.Client
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// connectionOf returns the connection that a request arrived on.
func connectionOf(r *http.Request) *connection {
	c, _ := r.Context().Value(connectionKey{}).(*connection)
	return c
}

// headerFieldsPerUnit is the number of header fields whose parsing costs about as much as a simple command.
const headerFieldsPerUnit = 64

// chargeLocal counts a request that the front answered by itself.
func (s *Server) chargeLocal(r *http.Request) { s.charge(r, throttle.LocalCommand) }

// chargeAnswered counts a request by the core's answer.
func (s *Server) chargeAnswered(r *http.Request, a *core.Answer) {
	if a.Attempted {
		connectionOf(r).work.Served()
		return
	}
	s.charge(r, throttle.RefusedCommand)
}

func (s *Server) charge(r *http.Request, cost throttle.Cost) {
	cost += throttle.Cost(len(r.Header) / headerFieldsPerUnit)
	connectionOf(r).work.Charge(cost.WithBytes(int(max(0, r.ContentLength))), s.core.Now())
}

// awaitTurn waits until the client may cause more work, and reports whether its connection is still open then.
func (s *Server) awaitTurn(r *http.Request) bool {
	c := connectionOf(r)
	wait := c.work.Delay(s.core.Now())
	if wait <= 0 {
		return true
	}
	s.delayedLog.Info(s.log, "client delayed: many requests without work for a member", "client", r.RemoteAddr, "wait", wait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return !peerclose.Detected(c.socket)
	case <-r.Context().Done():
		return false
	}
}
