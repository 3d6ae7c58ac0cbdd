// Package activesettings is what fronts take requests by: the classes and customers that the settings name. Settings may
// change while requests are on their way, so each request carries its class as it was when it was taken, and all
// fronts of a gateway share one [Book], whose terms change in one moment.
package activesettings

import (
	"fmt"
	"sync/atomic"
	"time"

	"reachwind/decide"
)

const (
	// RemovedClassGrace is how long a class that the settings no longer hold is served on, as it was: requests that name it
	// may be on their way from clients that know no better. The operators' page on reloads promises it.
	RemovedClassGrace = 1200 * time.Millisecond
	// MaxNames bounds the names that a process gives places to, of classes and of customers each.
	MaxNames = 1024
)

// Class is a class that requests may name.
type Class struct {
	*decide.Class               // never changes
	Index         int           // of its name among Names.Classes; another class of its name has the same
	until         time.Duration // it left the settings and is served until then; 0 = it is in them
}

// Names are the names of classes and customers by their places. A name keeps its place for the process's life.
type Names struct{ Classes, Tenants []string }

// Snapshot are what is served at a time. They never change.
type Snapshot struct {
	Names       Names
	MaxDeadline time.Duration // the longest deadline that a request taken when they came to hold, or later, may have
	RetryAfter  time.Duration // told to those refused for want of room, 0 = nothing
	classes     map[string]Class
	tenants     map[string]int
	longest     time.Duration // deadline of any class served, those that linger among them
	before      former
}

// former is what requests that were taken under earlier terms may still need.
type former struct{ longest, until time.Duration }

// Holder holds the terms in force. It is safe for concurrent use.
type Holder struct{ now atomic.Pointer[Snapshot] }

// NewHolder returns a book that opens with cfg's terms.
func NewHolder(cfg *decide.Config) (*Holder, error) {
	b := new(Holder)
	b.now.Store(new(Snapshot))
	t, _, err := b.Prepare(cfg, 0)
	if err != nil {
		return nil, err
	}
	b.Activate(t)
	return b, nil
}

// Current are the terms in force.
func (b *Holder) Current() *Snapshot { return b.now.Load() }

// Activate has new terms hold from now on.
func (b *Holder) Activate(t *Snapshot) { b.now.Store(t) }

// Class finds the class of a name at a time.
func (t *Snapshot) Class(name string, now time.Duration) (Class, bool) {
	k, ok := t.classes[name]
	return k, ok && (k.until == 0 || now < k.until)
}

// TenantIndex is the place of a customer, -1 for one that the settings don't hold.
func (t *Snapshot) TenantIndex(name string) int {
	if place, ok := t.tenants[name]; ok {
		return place
	}
	return -1
}

// Prepare makes the terms that follow those in force when the settings become cfg at a time, and cfg as the module must
// have it: with customers at the places that they have, those that left without a share. It changes nothing.
func (b *Holder) Prepare(cfg *decide.Config, now time.Duration) (*Snapshot, *decide.Config, error) {
	was := b.Current()
	t := &Snapshot{RetryAfter: cfg.MaxRetryAfter, classes: map[string]Class{}, tenants: map[string]int{}}
	for name, k := range was.classes {
		if k.until == 0 {
			k.until = now + RemovedClassGrace
		}
		if now < k.until {
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
		t.longest = max(t.longest, k.Deadline)
	}
	// Requests that are under way keep their deadlines: a shutdown right after a change to shorter ones must still answer
	// them. What they needed is counted until the next change: a shutdown ends sooner where nothing is open.
	if t.before = (former{was.longest, now + was.longest}); now < was.before.until {
		t.before = former{max(t.before.longest, was.before.longest), max(t.before.until, was.before.until)}
	}
	t.MaxDeadline = max(t.longest, t.before.longest)
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
		t.tenants[c.Name] = place
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

// TooManyNamesError tells of settings that bring more names than a process may have seen.
type TooManyNamesError struct {
	What  string // classes or customers
	Found int
}

func (e *TooManyNamesError) Error() string {
	return fmt.Sprintf("settings bring this process to %d names of %s since its start, want %d at most: start a new process, which counts anew",
		e.Found, e.What, MaxNames)
}

// ClassChanges tells which classes came, changed and left since the terms before.
func (t *Snapshot) ClassChanges(was *Snapshot) (came, changed, left []string) {
	for _, name := range t.Names.Classes {
		k, now := t.classes[name]
		o, before := was.classes[name]
		now, before = now && k.until == 0, before && o.until == 0
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
