// Package activesettings holds the settings by which fronts accept requests: the classes and tenants. Settings may
// change while requests are under way, so each request keeps its class as it was when the request was accepted, and all
// fronts of a gateway share one [Holder], which replaces its [Snapshot] atomically.
package activesettings

import (
	"fmt"
	"sync/atomic"
	"time"

	"reachwind/decide"
)

const (
	// RemovedClassGrace is how long a class that was removed from the settings is still served, as it was: clients that
	// do not know of the change may still send requests of it. The documentation of reloads promises this time.
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

// earlierDeadline bounds what requests accepted under earlier snapshots may need: their longest deadline, until the
// given time.
type earlierDeadline struct{ deadline, until time.Duration }

// Holder holds the active snapshot. It is safe for concurrent use; calls that replace the snapshot must not overlap.
type Holder struct{ current atomic.Pointer[Snapshot] }

// NewHolder returns a Holder whose active snapshot is that of cfg.
func NewHolder(cfg *decide.Config) (*Holder, error) {
	h := new(Holder)
	h.current.Store(new(Snapshot))
	first, _, err := h.Prepare(cfg, 0)
	if err != nil {
		return nil, err
	}
	h.Activate(first)
	return h, nil
}

// Current returns the active snapshot.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Activate makes s, which Prepare returned, the active snapshot.
func (h *Holder) Activate(s *Snapshot) { h.current.Store(s) }

// Class returns the class of a name, and whether it is served at the time now.
func (s *Snapshot) Class(name string, now time.Duration) (Class, bool) {
	k, ok := s.classes[name]
	return k, ok && (k.servedUntil == 0 || now < k.servedUntil)
}

// TenantIndex returns the index of a tenant, -1 if the settings do not name it.
func (s *Snapshot) TenantIndex(name string) int {
	if index, ok := s.tenantIndexes[name]; ok {
		return index
	}
	return -1
}

// Prepare returns the snapshot that follows the active one if the settings become cfg at the time now, and cfg as the
// decision module must get it: with each tenant at its index, and removed tenants without a share. It does not change
// the active snapshot. The error is a *[TooManyNamesError].
func (h *Holder) Prepare(cfg *decide.Config, now time.Duration) (*Snapshot, *decide.Config, error) {
	active := h.Current()
	next := &Snapshot{RetryAfter: cfg.MaxRetryAfter, classes: map[string]Class{}, tenantIndexes: map[string]int{}}
	for name, k := range active.classes {
		if k.servedUntil == 0 {
			k.servedUntil = now + RemovedClassGrace
		}
		if now < k.servedUntil {
			next.classes[name] = k
		}
	}
	next.Names.Classes = append(next.Names.Classes, active.Names.Classes...)
	classIndexes := map[string]int{}
	for i, name := range next.Names.Classes {
		classIndexes[name] = i
	}
	moduleConfig := *cfg
	moduleConfig.Classes = append([]decide.Class(nil), cfg.Classes...)
	for i := range moduleConfig.Classes {
		k := &moduleConfig.Classes[i]
		index, ok := classIndexes[k.Name]
		if !ok {
			index = len(next.Names.Classes)
			classIndexes[k.Name] = index
			next.Names.Classes = append(next.Names.Classes, k.Name)
		}
		next.classes[k.Name] = Class{Class: k, Index: index}
	}
	for _, k := range next.classes {
		next.maxClassDeadline = max(next.maxClassDeadline, k.Deadline)
	}
	// Requests under way keep their deadlines: a shutdown right after a change to shorter ones must still wait for
	// them. An earlier deadline is dropped only at the next change after its time; a shutdown ends sooner if nothing is
	// open.
	if next.earlier = (earlierDeadline{active.maxClassDeadline, now + active.maxClassDeadline}); now < active.earlier.until {
		next.earlier = earlierDeadline{max(next.earlier.deadline, active.earlier.deadline), max(next.earlier.until, active.earlier.until)}
	}
	next.MaxDeadline = max(next.maxClassDeadline, next.earlier.deadline)
	moduleConfig.Tenants = nil
	tenantIndexes := map[string]int{}
	for i, name := range active.Names.Tenants {
		tenantIndexes[name] = i
		moduleConfig.Tenants = append(moduleConfig.Tenants, decide.Tenant{Name: name})
	}
	for _, c := range cfg.Tenants {
		index, ok := tenantIndexes[c.Name]
		if !ok {
			index = len(moduleConfig.Tenants)
			tenantIndexes[c.Name] = index
			moduleConfig.Tenants = append(moduleConfig.Tenants, c)
		}
		moduleConfig.Tenants[index] = c
		next.tenantIndexes[c.Name] = index
	}
	for _, c := range moduleConfig.Tenants {
		next.Names.Tenants = append(next.Names.Tenants, c.Name)
	}
	for what, n := range map[string]int{"classes": len(next.Names.Classes), "customers": len(next.Names.Tenants)} {
		if n > MaxNames {
			return nil, nil, &TooManyNamesError{What: what, Found: n}
		}
	}
	return next, &moduleConfig, nil
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

// ClassChanges compares the snapshot with an earlier one and returns the names of the classes added, changed and
// removed since.
func (s *Snapshot) ClassChanges(previous *Snapshot) (added, changed, removed []string) {
	for _, name := range s.Names.Classes {
		k, now := s.classes[name]
		o, before := previous.classes[name]
		now, before = now && k.servedUntil == 0, before && o.servedUntil == 0
		switch {
		case now && !before:
			added = append(added, name)
		case before && !now:
			removed = append(removed, name)
		case now && *k.Class != *o.Class:
			changed = append(changed, name)
		}
	}
	return added, changed, removed
}
