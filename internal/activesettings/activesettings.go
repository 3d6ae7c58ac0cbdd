// Package activesettings holds the settings by which fronts accept requests: the classes and tenants. Settings may change while
// requests are under way, so each request keeps its class as it was when the request was accepted, and all fronts of a
// gateway share one [Book], which replaces its [Terms] atomically.
package activesettings

import (
	"fmt"
	"sync/atomic"
	"time"

	"reachwind/decide"
)

const (
	// RemovedClassGrace is how long a class that was removed from the settings is still served, as it was: clients that do not
	// know of the change may still send requests of it. The documentation of reloads promises this time.
	RemovedClassGrace = 1200 * time.Millisecond
	// MaxNames bounds the class names, and the tenant names, that a process may index in its life.
	MaxNames = 1024
)

// Class is a class that requests may name.
type Class struct {
	*decide.Class               // immutable
	Index         int           // of its name in Names.Classes; the same for each class of this name
	servedUntil   time.Duration // until when it is served after its removal from the settings; 0 = not removed
}

// Names lists the names of classes and tenants. A name keeps its index for the life of the process.
type Names struct{ Classes, Tenants []string }

// Snapshot is a snapshot of the settings. It is immutable.
type Snapshot struct {
	Names            Names
	MaxDeadline      time.Duration // longest deadline of requests accepted under it, and of earlier ones still open at its start
	RetryAfter       time.Duration // retry time for clients refused for lack of capacity, 0 = none
	classes          map[string]Class
	tenantIndexes    map[string]int // index by name
	maxClassDeadline time.Duration  // longest deadline of the classes served, removed ones included
	earlier          earlierDeadline
}

// earlierDeadline bounds what requests accepted under earlier snapshots may need: their longest deadline, until the given time.
type earlierDeadline struct{ deadline, until time.Duration }

// Holder holds the active snapshot. It is safe for concurrent use; calls that replace the snapshot must not overlap.
type Holder struct{ current atomic.Pointer[Snapshot] }

// NewHolder returns a Book whose active snapshot is that of cfg.
func NewHolder(cfg *decide.Config) (*Holder, error) {
	b := new(Holder)
	b.current.Store(new(Snapshot))
	t, _, err := b.Prepare(cfg, 0)
	if err != nil {
		return nil, err
	}
	b.Activate(t)
	return b, nil
}

// Current returns the active snapshot.
func (b *Holder) Current() *Snapshot { return b.current.Load() }

// Activate makes t, which Next returned, the active snapshot.
func (b *Holder) Activate(t *Snapshot) { b.current.Store(t) }

// Class returns the class of a name, and whether it is served at the time now.
func (t *Snapshot) Class(name string, now time.Duration) (Class, bool) {
	k, ok := t.classes[name]
	return k, ok && (k.servedUntil == 0 || now < k.servedUntil)
}

// TenantIndex returns the index of a tenant, -1 if the settings do not name it.
func (t *Snapshot) TenantIndex(name string) int {
	if place, ok := t.tenantIndexes[name]; ok {
		return place
	}
	return -1
}

// Prepare returns the snapshot that follows the active one if the settings become cfg at the time now, and cfg as the
// decision module must get it: with each tenant at its index, and removed tenants without a share. It does not change the
// active snapshot. The error is a *[NamesError].
func (b *Holder) Prepare(cfg *decide.Config, now time.Duration) (*Snapshot, *decide.Config, error) {
	was := b.Current()
	t := &Snapshot{RetryAfter: cfg.MaxRetryAfter, classes: map[string]Class{}, tenantIndexes: map[string]int{}}
	for name, k := range was.classes {
		if k.servedUntil == 0 {
			k.servedUntil = now + RemovedClassGrace
		}
		if now < k.servedUntil {
			t.classes[name] = k
		}
	}
	t.Names.Classes = append(t.Names.Classes, was.Names.Classes...)
	places := map[string]int{}
	for i, name := range t.Names.Classes {
		places[name] = i
	}
	own := *cfg
	own.Classes = append([]decide.Class(nil), cfg.Classes...)
	for i := range own.Classes {
		k := &own.Classes[i]
		place, ok := places[k.Name]
		if !ok {
			place = len(t.Names.Classes)
			places[k.Name] = place
			t.Names.Classes = append(t.Names.Classes, k.Name)
		}
		t.classes[k.Name] = Class{Class: k, Index: place}
	}
	for _, k := range t.classes {
		t.maxClassDeadline = max(t.maxClassDeadline, k.Deadline)
	}
	// Requests under way keep their deadlines: a shutdown right after a change to shorter ones must still wait for them.
	// An earlier deadline is dropped only at the next change after its time; a shutdown ends sooner if nothing is open.
	if t.earlier = (earlierDeadline{was.maxClassDeadline, now + was.maxClassDeadline}); now < was.earlier.until {
		t.earlier = earlierDeadline{max(t.earlier.deadline, was.earlier.deadline), max(t.earlier.until, was.earlier.until)}
	}
	t.MaxDeadline = max(t.maxClassDeadline, t.earlier.deadline)
	own.Tenants = nil
	at := map[string]int{}
	for i, name := range was.Names.Tenants {
		at[name] = i
		own.Tenants = append(own.Tenants, decide.Tenant{Name: name})
	}
	for _, c := range cfg.Tenants {
		place, ok := at[c.Name]
		if !ok {
			place = len(own.Tenants)
			at[c.Name] = place
			own.Tenants = append(own.Tenants, c)
		}
		own.Tenants[place] = c
		t.tenantIndexes[c.Name] = place
	}
	for _, c := range own.Tenants {
		t.Names.Tenants = append(t.Names.Tenants, c.Name)
	}
	for what, n := range map[string]int{"classes": len(t.Names.Classes), "customers": len(t.Names.Tenants)} {
		if n > MaxNames {
			return nil, nil, &TooManyNamesError{What: what, Found: n}
		}
	}
	return t, &own, nil
}

// TooManyNamesError is the error for settings that exceed the number of names that a process may index.
type TooManyNamesError struct {
	What  string // "classes" or "customers"
	Found int    // names since the start of the process
}

// Error implements error.
func (e *TooManyNamesError) Error() string {
	return fmt.Sprintf("settings: found %d names of %s since the start of this process, want at most %d: start a new process, which counts from 0",
		e.Found, e.What, MaxNames)
}

// ClassChanges compares the snapshot with an earlier one and returns the names of the classes added, changed and removed since.
func (t *Snapshot) ClassChanges(was *Snapshot) (came, changed, left []string) {
	for _, name := range t.Names.Classes {
		k, now := t.classes[name]
		o, before := was.classes[name]
		now, before = now && k.servedUntil == 0, before && o.servedUntil == 0
		switch {
		case now && !before:
			came = append(came, name)
		case before && !now:
			left = append(left, name)
		case now && *k.Class != *o.Class:
			changed = append(changed, name)
		}
	}
	return came, changed, left
}
