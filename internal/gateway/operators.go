package gateway

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/opsdoor"
	"reachwind/internal/suspend"
)

const (
	doorPart  = 16 // descriptors per connection of the admin API, which has at least doorLeast connections
	doorLeast = 8

	beginWait = 100 * time.Millisecond // for a change that is under way when the caller's deadline passes
)

// door returns the configuration of the admin API.
func (c *Config) door() opsdoor.Config {
	return opsdoor.Config{Addr: c.Admin, Most: min(max(c.sockets/doorPart, doorLeast), opsdoor.DefaultMost)}
}

// operators carries out the calls of the admin API. It sits between discovery, or the council's overlay, and the core, and
// lists suspended members as such to the core.
type operators struct {
	owner *core.Core
	log   *slog.Logger
	door  *opsdoor.Door
	line  *succession // nil: no handover between processes

	mu  sync.Mutex // held while the core is notified, so that it gets changes in their order
	set *suspend.Set

	taken   atomic.Bool // the core has applied a list with at least one member
	leaving atomic.Bool // this process is shutting down
	serving atomic.Bool // this process accepts clients
}

func newOperators(conf opsdoor.Config, owner *core.Core, log *slog.Logger) *operators {
	o := &operators{owner: owner, log: log, set: suspend.New()}
	o.door = opsdoor.New(conf, o, log)
	return o
}

// start opens the admin API's listener. Like leave, serve and stop it does nothing where there is no admin API.
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

// leave makes Ready fail from now on, as the process shuts down.
func (o *operators) leave() {
	if o != nil {
		o.leaving.Store(true)
	}
}

// serve is called once the gateway accepts clients; Ready fails before.
func (o *operators) serve() {
	if o != nil {
		o.serving.Store(true)
	}
}

// stop closes the admin API.
func (o *operators) stop() {
	if o != nil {
		o.door.Close()
	}
}

// List implements discovery.Sink. It passes the list on to the core with the suspensions applied.
func (o *operators) List(kind decide.EventKind, members []core.Listed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner.List(kind, o.set.List(kind, members))
	if o.set.Listed() > 0 && !o.taken.Load() {
		o.owner.Post(func() { o.taken.Store(true) })
	}
}

// out reports whether a member is suspended. A suspended member must not even be probed.
func (o *operators) out(id string) bool {
	if o == nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.set.Out(id)
}

// Ready implements opsdoor.Operator.
func (o *operators) Ready() error {
	switch {
	case o.leaving.Load():
		return opsdoor.NotReady{Found: "this process is shutting down", Do: "call the process that replaces it"}
	case !o.serving.Load():
		return opsdoor.NotReady{Found: "this process does not accept clients yet", Do: "call again in a second"}
	case !o.taken.Load():
		return opsdoor.NotReady{Found: "no list of db machines yet", Do: "check discovery, or put a list into the configuration"}
	}
	return nil
}

// Suspend implements opsdoor.Operator.
func (o *operators) Suspend(ctx context.Context, id string) error {
	return o.share(ctx, o.say(ctx, id, "db machine suspended", (*suspend.Set).Suspend))
}

// Resume implements opsdoor.Operator.
func (o *operators) Resume(ctx context.Context, id string) error {
	return o.share(ctx, o.say(ctx, id, "db machine resumed", (*suspend.Set).Resume))
}

// say applies an operator's change of a member on the core's goroutine, and waits until it is in force. If ctx ends first it
// returns opsdoor.NotDone, and the change never happens; or opsdoor.Unconfirmed, if the change has begun but is not
// confirmed within beginWait.
func (o *operators) say(ctx context.Context, id, line string, do func(*suspend.Set, string, core.Time) ([]core.Listed, error)) error {
	var begun atomic.Bool // set by whichever comes first: the change, or the end of ctx
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
		o.owner.Post(func() { done <- err }) // queued behind the change, which is then in force
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	took := opsdoor.NotDone{ID: id, Waited: time.Since(start).Round(time.Millisecond)}
	if !begun.Swap(true) {
		return took
	}
	select {
	case err := <-done:
		return err
	case <-time.After(beginWait):
		return opsdoor.Unconfirmed{NotDone: took}
	}
}
