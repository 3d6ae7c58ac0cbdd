package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"reachwind/decide"
	"reachwind/internal/adminapi"
	"reachwind/internal/core"
	"reachwind/internal/suspend"
)

const (
	socketsPerAdminConnection = 16 // descriptors per connection of the admin API, which has at least minAdminConnections
	minAdminConnections       = 8

	confirmTimeout = 100 * time.Millisecond // for a change that is under way when the caller's deadline passes
)

// adminConfig returns the configuration of the admin API.
func (c *Config) adminConfig() adminapi.Config {
	return adminapi.Config{Addr: c.Admin, MaxConnections: min(max(c.maxSockets/socketsPerAdminConnection, minAdminConnections), adminapi.DefaultMaxConnections)}
}

// adminOperator carries out the calls of the admin API. It sits between discovery, or the council's overlay, and the
// core, and lists suspended members as such to the core.
type adminOperator struct {
	core     *core.Core
	log      *slog.Logger
	api      *adminapi.Server
	handover *processHandover // nil: no handover between processes

	mu          sync.Mutex // held while the core is notified, so that it gets changes in their order
	suspensions *suspend.Set

	listApplied atomic.Bool // the core has applied a list with at least one member
	stopping    atomic.Bool // this process is shutting down
	stopOnce    sync.Once
	serving     atomic.Bool // this process accepts clients
}

func newAdminOperator(conf adminapi.Config, engine *core.Core, log *slog.Logger) *adminOperator {
	o := &adminOperator{core: engine, log: log, suspensions: suspend.New()}
	o.api = adminapi.New(conf, o, log)
	return o
}

// start opens the admin API's listener. Like setStopping, setServing and stop it does nothing where there is no admin API.
func (o *adminOperator) start() error {
	if o == nil {
		return nil
	}
	if err := o.api.Start(); err != nil {
		return err
	}
	o.log.Info("operators' door open", "listen", o.api.Addr().String())
	return nil
}

// setStopping makes Ready fail from now on, as the process shuts down.
func (o *adminOperator) setStopping() {
	if o != nil {
		o.stopping.Store(true)
	}
}

// setServing is called once the gateway accepts clients; Ready fails before.
func (o *adminOperator) setServing() {
	if o != nil {
		o.serving.Store(true)
	}
}

// stop closes the admin API. Further calls do nothing.
func (o *adminOperator) stop() {
	if o != nil {
		o.stopOnce.Do(o.api.Close)
	}
}

// List implements discovery.Sink. It passes the list on to the core with the suspensions applied.
func (o *adminOperator) List(kind decide.EventKind, members []core.ListedMember) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.List(kind, o.suspensions.ApplyList(kind, members))
	if o.suspensions.ListedCount() > 0 && !o.listApplied.Load() {
		o.core.Post(func() { o.listApplied.Store(true) })
	}
}

// isSuspended reports whether a member is suspended. A suspended member must not even be probed.
func (o *adminOperator) isSuspended(id string) bool {
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.suspensions.IsSuspended(id)
}

// Ready implements adminapi.Backend. The error is an adminapi.NotReadyError.
func (o *adminOperator) Ready() error {
	switch {
	case o.stopping.Load():
		return adminapi.NotReadyError{Found: "this process is shutting down", Remedy: "call the process that replaces it"}
	case !o.serving.Load():
		return adminapi.NotReadyError{Found: "this process does not accept clients yet", Remedy: "call again in a second"}
	case !o.listApplied.Load():
		return adminapi.NotReadyError{Found: "no list of db machines yet", Remedy: "check discovery, or put a list into the configuration"}
	}
	return nil
}

// Suspend implements adminapi.Backend.
func (o *adminOperator) Suspend(ctx context.Context, id string) error {
	return o.shareSuspensions(ctx, o.change(ctx, id, "db machine suspended", (*suspend.Set).Suspend))
}

// Resume implements adminapi.Backend.
func (o *adminOperator) Resume(ctx context.Context, id string) error {
	return o.shareSuspensions(ctx, o.change(ctx, id, "db machine resumed", (*suspend.Set).Resume))
}

// change applies an operator's change of a member on the core's goroutine, and waits until it is in force. If ctx ends
// first it returns an adminapi.NotDoneError, and the change never happens; or an adminapi.UnconfirmedError, if the
// change has begun but is not confirmed within confirmTimeout.
func (o *adminOperator) change(ctx context.Context, id, message string, apply func(*suspend.Set, string, core.Time) ([]core.ListedMember, error)) error {
	var claimed atomic.Bool // set by whichever comes first: the change, or the end of ctx
	start := time.Now()
	done := make(chan error, 1)
	o.core.Post(func() {
		if claimed.Swap(true) {
			return
		}
		o.mu.Lock()
		change, err := apply(o.suspensions, id, o.core.Now())
		if len(change) > 0 {
			o.core.List(decide.ListOverride, change)
		}
		o.mu.Unlock()
		if err == nil {
			o.log.Info(message, "member", id, "changes", len(change))
		}
		o.core.Post(func() { done <- err }) // queued behind the change, which is then in force
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	notDone := adminapi.NotDoneError{ID: id, Waited: time.Since(start).Round(time.Millisecond)}
	if !claimed.Swap(true) {
		return notDone
	}
	select {
	case err := <-done:
		return err
	case <-time.After(confirmTimeout):
		return adminapi.UnconfirmedError{NotDoneError: notDone}
	}
}
