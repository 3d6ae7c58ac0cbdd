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
	doorPart  = 16 // of the descriptors there is one of so many for the door, within
	doorLeast = 8  // so many

	beginWait = 100 * time.Millisecond // for the owner to end what it has begun when the caller's time is up
)

// door is the configuration of the operators' door.
func (c *Config) door() adminapi.Config {
	return adminapi.Config{Addr: c.Admin, MaxConnections: min(max(c.sockets/doorPart, doorLeast), adminapi.DefaultMaxConnections)}
}

// operators is the gateway's side of the door: it has the owner do what operators say, and stands between discovery's
// list, or the council's overlay, and the core.
type operators struct {
	owner *core.Core
	log   *slog.Logger
	door  *adminapi.Server
	line  *succession // nil: no other process takes this one's place

	mu  sync.Mutex // held while the core is told, so that it is told in the order of the changes
	set *suspend.Set

	taken   atomic.Bool // the owner has taken a list with a member
	leaving atomic.Bool
	serving atomic.Bool
}

func newOperators(conf adminapi.Config, owner *core.Core, log *slog.Logger) *operators {
	o := &operators{owner: owner, log: log, set: suspend.New()}
	o.door = adminapi.New(conf, o, log)
	return o
}

// start opens the door; without one it does nothing, like leave and stop.
func (o *operators) start() error {
	if o == nil {
		return nil
	}
	if err := o.door.Start(); err != nil {
		return err
	}
	o.log.Info("operators' door open", "listen", o.door.Addr().String())
	return nil
}

// leave has the gateway no longer be ready.
func (o *operators) leave() {
	if o != nil {
		o.leaving.Store(true)
	}
}

// serve has the gateway be ready, once it accepts clients.
func (o *operators) serve() {
	if o != nil {
		o.serving.Store(true)
	}
}

// stop closes the door.
func (o *operators) stop() {
	if o != nil {
		o.door.Close()
	}
}

// List takes what discovery says and passes it on.
func (o *operators) List(kind decide.EventKind, members []core.ListedMember) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner.List(kind, o.set.ApplyList(kind, members))
	if o.set.ListedCount() > 0 && !o.taken.Load() {
		o.owner.Post(func() { o.taken.Store(true) })
	}
}

// out tells whether a member is suspended: then not even a look at it is taken.
func (o *operators) out(id string) bool {
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.set.IsSuspended(id)
}

// Ready implements adminapi.Operator.
func (o *operators) Ready() error {
	switch {
	case o.leaving.Load():
		return adminapi.NotReadyError{Found: "this process is ending", Remedy: "call the one that replaces it"}
	case !o.serving.Load():
		return adminapi.NotReadyError{Found: "this process does not accept clients yet", Remedy: "ask again in a second"}
	case !o.taken.Load():
		return adminapi.NotReadyError{Found: "no list of db machines yet", Remedy: "look at discovery, or give the configuration a list"}
	}
	return nil
}

// Suspend implements adminapi.Operator.
func (o *operators) Suspend(ctx context.Context, id string) error {
	return o.share(ctx, o.say(ctx, id, "db machine suspended", (*suspend.Set).Suspend))
}

// Resume implements adminapi.Operator.
func (o *operators) Resume(ctx context.Context, id string) error {
	return o.share(ctx, o.say(ctx, id, "db machine resumed", (*suspend.Set).Resume))
}

// say has the owner do what an operator says of a member, and waits until it is in force. By the end of ctx what the
// owner did not begin is taken back.
func (o *operators) say(ctx context.Context, id, line string, do func(*suspend.Set, string, core.Time) ([]core.ListedMember, error)) error {
	var begun atomic.Bool // set by whoever comes first: the owner, or the caller who leaves
	start := time.Now()
	done := make(chan error, 1)
	o.owner.Post(func() {
		if begun.Swap(true) {
			return
		}
		o.mu.Lock()
		change, err := do(o.set, id, o.owner.Now())
		if len(change) > 0 {
			o.owner.List(decide.ListChange, change)
		}
		o.mu.Unlock()
		if err == nil {
			o.log.Info(line, "member", id, "changes", len(change))
		}
		o.owner.Post(func() { done <- err }) // behind the change, so that it is in force
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	took := adminapi.NotDoneError{ID: id, Waited: time.Since(start).Round(time.Millisecond)}
	if !begun.Swap(true) {
		return took
	}
	select {
	case err := <-done:
		return err
	case <-time.After(beginWait):
		return adminapi.UnconfirmedError{NotDoneError: took}
	}
}
