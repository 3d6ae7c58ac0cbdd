package when

import (
	"cmp"
	"fmt"
	"time"
)

// Route is what is done with a write.
type Route uint8

// The ways.
const (
	Send          Route = iota // as any write; the key counts as sent from now on
	Queue                      // after the office's other gateways were asked: Vouched
	InDoubt                    // queue it, to begin its replay in doubt: somebody who could not be asked may have sent it
	AlreadyQueued              // it is queued already: give the same receipt
	Refuse                     // with the error that comes beside it
)

// RefusedError says why a write that might be queued is not.
type RefusedError struct {
	Key, Found, Wants string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("write %s is refused: %s, wanted %s: ask for its receipt, or for its fate at the office's other gateways", e.Key, e.Found, e.Wants)
}

type state uint8

const (
	sent       state = iota + 1 // may have run; not queued here
	confirming                  // others are being asked, the copies are being made
	queued
	barred // another gateway of the office was told that this one has not sent it, and will not
)

type key struct {
	state           state
	at              Time
	receipt         string
	retry           bool
	unresolvedSends int // sends of which nobody said that they had no effect
}

// RouteTable is one gateway's memory of which way each key went. It is its owner's alone.
type RouteTable struct {
	off             Guard
	maxKeys         int
	maxAge          Time
	keys            map[string]*key
	incompleteUntil Time // until then, some key may have been forgotten
	// Forgotten counts keys that had to go before their age.
	Forgotten uint64
}

// NewRouteTable returns the memory of a gateway that starts, of at most so many keys (65536). A client repeats a key no later
// than age after its first try (15 s). Where the gateway has run before, it has forgotten what it sent: fresh is false.
func NewRouteTable(now Time, most int, age Time, fresh bool, off Guard) *RouteTable {
	w := &RouteTable{off: off, maxKeys: cmp.Or(most, 65536), maxAge: cmp.Or(age, 15*time.Second), keys: map[string]*key{}, incompleteUntil: now}
	if !fresh {
		w.incompleteUntil = now + w.maxAge
	}
	return w
}

func (w *RouteTable) enabled(g Guard) bool { return w.off&g == 0 }

// get is a key that still counts.
func (w *RouteTable) get(now Time, name string) *key {
	k := w.keys[name]
	if k != nil && k.state != queued && k.state != confirming && now-k.at > w.maxAge {
		delete(w.keys, name)
		return nil
	}
	return k
}

// put notes a key. A full table loses those that are past their age, else the oldest that is not queued, and is blind.
func (w *RouteTable) put(now Time, name string, k key) bool {
	if w.keys[name] == nil && len(w.keys) >= w.maxKeys {
		var oldest string
		for n, o := range w.keys {
			if o.state == queued || o.state == confirming {
				continue
			}
			if now-o.at > w.maxAge {
				delete(w.keys, n)
			} else if oldest == "" || o.at < w.keys[oldest].at {
				oldest = n
			}
		}
		if len(w.keys) >= w.maxKeys {
			if oldest == "" {
				return false
			}
			delete(w.keys, oldest)
			w.incompleteUntil = now + w.maxAge
			w.Forgotten++
		}
	}
	k.at = now
	w.keys[name] = &k
	return true
}

// Decide tells which way a write goes that came now. Retry tells that its client marked it as one; marks, that clients do.
func (w *RouteTable) Decide(now Time, name string, cut, retry, marks bool) (Route, error) {
	if k := w.get(now, name); k != nil {
		switch {
		case k.state == queued && w.enabled(GuardQueued):
			return AlreadyQueued, nil
		case k.state == sent && cut && w.enabled(GuardSent):
			return Refuse, &RefusedError{name, "it was sent before the cut and may have run", "a write that is new"}
		case k.state == sent && !cut:
			k.at = now
			k.unresolvedSends++
			return Send, nil
		case k.state == confirming && w.enabled(GuardQueued):
			return Refuse, &RefusedError{name, "it is being queued", "its receipt, in a moment"}
		case k.state == barred && w.enabled(GuardVouch):
			return Refuse, &RefusedError{name, "another gateway of the office has it", "the gateway that it was first sent to"}
		}
	}
	blind := now < w.incompleteUntil && w.enabled(GuardForget) && (retry || !marks)
	if blind {
		return Refuse, &RefusedError{name, "this gateway may have forgotten the key", fmt.Sprintf("%v more to pass", w.incompleteUntil-now)}
	}
	if !cut {
		if !w.put(now, name, key{state: sent, unresolvedSends: 1}) {
			return Refuse, &RefusedError{name, "the table of keys is full of queued writes", "a replay that goes on"}
		}
		return Send, nil
	}
	if !w.put(now, name, key{state: confirming, retry: retry}) {
		return Refuse, &RefusedError{name, "the table of keys is full of queued writes", "a replay that goes on"}
	}
	return Queue, nil
}

// PromiseNotSent answers another gateway of the office that is about to queue a key: true if this one has not taken it, and from
// now on will not. It is blind to keys it may have forgotten, and says so by no answer (ok false).
func (w *RouteTable) PromiseNotSent(now Time, name string) (vouched, ok bool) {
	if k := w.get(now, name); k != nil && k.state != barred && w.enabled(GuardVouch) {
		return false, true
	}
	if now < w.incompleteUntil && w.enabled(GuardForget) {
		return false, false
	}
	if !w.put(now, name, key{state: barred}) {
		return false, false
	}
	return true, true
}

// PeersAnswered tells what the others said to a key that is to be queued: denied by some, and missing, how many could not be
// asked or do not know. What it returns is final: Queue, InDoubt or Refuse.
func (w *RouteTable) PeersAnswered(now Time, name string, denied bool, missing int) (Route, error) {
	k := w.keys[name]
	switch {
	case k == nil || k.state != confirming:
		return Refuse, &RefusedError{name, "it is not being queued", "a question before its answer"}
	case denied && w.enabled(GuardVouch):
		w.put(now, name, key{state: barred})
		return Refuse, &RefusedError{name, "another gateway of the office has taken it", "that gateway's word"}
	case missing > 0 && k.retry && w.enabled(GuardVouch):
		w.put(now, name, key{state: barred})
		return Refuse, &RefusedError{name, fmt.Sprintf("it is a retry, and %d gateways of the office could not be asked", missing), "a write that is new"}
	case missing > 0 && w.enabled(GuardVouch):
		return InDoubt, nil
	}
	return Queue, nil
}

// RecordQueued tells that a key's write is kept and copied under a receipt.
func (w *RouteTable) RecordQueued(now Time, name, receipt string) {
	w.put(now, name, key{state: queued, receipt: receipt})
}

// RestoreQueued tells, after a restart, of a key that is in the queue or in a copy.
func (w *RouteTable) RestoreQueued(now Time, name, receipt string) {
	w.RecordQueued(now, name, receipt)
}

// Receipt is the receipt of a key that is queued.
func (w *RouteTable) Receipt(name string) (string, bool) {
	k := w.keys[name]
	if k == nil || k.state != queued {
		return "", false
	}
	return k.receipt, true
}

// RecordNoEffect tells that one send under a key surely had no effect. A key of which that holds for all is as new.
func (w *RouteTable) RecordNoEffect(name string) {
	if k := w.keys[name]; k != nil && k.state == sent {
		if k.unresolvedSends--; k.unresolvedSends == 0 {
			delete(w.keys, name)
		}
	}
}

// AbandonQueuing tells that a key that was to be queued could not be kept: no receipt was given, and none will be.
func (w *RouteTable) AbandonQueuing(now Time, name string) {
	if k := w.keys[name]; k != nil && k.state == confirming {
		w.put(now, name, key{state: barred})
	}
}

// ForgetQueued forgets a queued key whose write is past the age until which its receipt can be asked for.
func (w *RouteTable) ForgetQueued(name string) {
	if k := w.keys[name]; k != nil && k.state == queued {
		delete(w.keys, name)
	}
}
