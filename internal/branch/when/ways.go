package when

import (
	"cmp"
	"fmt"
	"time"
)

// Route is how a write is handled.
type Route uint8

// The routes.
const (
	Send          Route = iota // send it like any write; the key counts as sent from now on
	Queue                      // ask the office's other gateways first, then call PeersAnswered
	InDoubt                    // queue it and start its replay in doubt: a gateway that could not be asked may have sent it
	AlreadyQueued              // return the receipt it already has
	Refuse                     // with the accompanying error
)

// RefusedError reports why a write was neither sent nor queued: what was found and what would be needed.
type RefusedError struct {
	Key, Found, Wants string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("write %s is refused: %s, wanted %s: query its receipt, or its outcome at the office's other gateways", e.Key, e.Found, e.Wants)
}

type state uint8

const (
	sent       state = iota + 1 // may have run; not queued here
	confirming                  // other gateways are being asked, or copies are being stored
	queued
	barred // this gateway promised another of the office that it has not sent the key and will not
)

type key struct {
	state           state
	at              Time
	receipt         string
	retry           bool
	unresolvedSends int // sends not known to have had no effect
}

// RouteTable is one gateway's record of the route of each key. Not safe for concurrent use.
type RouteTable struct {
	off             Guard
	maxKeys         int
	maxAge          Time
	keys            map[string]*key
	incompleteUntil Time // until then, some key may be missing
	// Forgotten counts keys dropped before maxAge because the table was full.
	Forgotten uint64
}

// NewRouteTable returns the table of a starting gateway with room for most keys (65536). Clients repeat a key no later than
// age after its first attempt (15 s). Fresh is false if the gateway has run before, since it has lost what it sent.
func NewRouteTable(now Time, most int, age Time, fresh bool, off Guard) *RouteTable {
	w := &RouteTable{off: off, maxKeys: cmp.Or(most, 65536), maxAge: cmp.Or(age, 15*time.Second), keys: map[string]*key{}, incompleteUntil: now}
	if !fresh {
		w.incompleteUntil = now + w.maxAge
	}
	return w
}

func (w *RouteTable) enabled(g Guard) bool { return w.off&g == 0 }

// get returns the entry of a key, or nil if there is none or it has expired.
func (w *RouteTable) get(now Time, name string) *key {
	k := w.keys[name]
	if k != nil && k.state != queued && k.state != confirming && now-k.at > w.maxAge {
		delete(w.keys, name)
		return nil
	}
	return k
}

// put stores a key. A full table drops expired keys, else the oldest that is not queued, and is then incomplete for
// maxAge. It reports false if all keys are queued.
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

// Decide returns the route of a write that arrived now. Retry: its client marked it as a retry; marks: clients mark retries.
// The error is a *RefusedError.
func (w *RouteTable) Decide(now Time, name string, cut, retry, marks bool) (Route, error) {
	if k := w.get(now, name); k != nil {
		switch {
		case k.state == queued && w.enabled(GuardQueued):
			return AlreadyQueued, nil
		case k.state == sent && cut && w.enabled(GuardSent):
			return Refuse, &RefusedError{name, "it was sent before the cut and may have run", "a new write"}
		case k.state == sent && !cut:
			k.at = now
			k.unresolvedSends++
			return Send, nil
		case k.state == confirming && w.enabled(GuardQueued):
			return Refuse, &RefusedError{name, "it is being queued", "a retry in a moment, for its receipt"}
		case k.state == barred && w.enabled(GuardVouch):
			return Refuse, &RefusedError{name, "another gateway of the office has it", "the gateway that it was first sent to"}
		}
	}
	blind := now < w.incompleteUntil && w.enabled(GuardForget) && (retry || !marks)
	if blind {
		return Refuse, &RefusedError{name, "this gateway may have forgotten the key", fmt.Sprintf("a retry after %v", w.incompleteUntil-now)}
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

// PromiseNotSent answers another gateway of the office that is about to queue a key: vouched is true if this one has not taken
// the key, and from now on it will not. Ok is false if this gateway may have forgotten the key and cannot tell.
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

// PeersAnswered records the peers' answers on a key that is to be queued: denied if some peer has taken it, missing is the
// number of peers that could not be asked or do not know. The returned route is final: Queue, InDoubt or Refuse.
func (w *RouteTable) PeersAnswered(now Time, name string, denied bool, missing int) (Route, error) {
	k := w.keys[name]
	switch {
	case k == nil || k.state != confirming:
		return Refuse, &RefusedError{name, "it is not being queued", "a call of Decide first"}
	case denied && w.enabled(GuardVouch):
		w.put(now, name, key{state: barred})
		return Refuse, &RefusedError{name, "another gateway of the office has taken it", "the receipt from that gateway"}
	case missing > 0 && k.retry && w.enabled(GuardVouch):
		w.put(now, name, key{state: barred})
		return Refuse, &RefusedError{name, fmt.Sprintf("it is a retry, and %d gateways of the office could not be asked", missing), "a new write"}
	case missing > 0 && w.enabled(GuardVouch):
		return InDoubt, nil
	}
	return Queue, nil
}

// RecordQueued records that a key's write is stored and copied under a receipt.
func (w *RouteTable) RecordQueued(now Time, name, receipt string) {
	w.put(now, name, key{state: queued, receipt: receipt})
}

// RestoreQueued records, after a restart, a key found in the queue or in a copy.
func (w *RouteTable) RestoreQueued(now Time, name, receipt string) {
	w.RecordQueued(now, name, receipt)
}

// Receipt returns the receipt of a queued key; false if it is not queued.
func (w *RouteTable) Receipt(name string) (string, bool) {
	k := w.keys[name]
	if k == nil || k.state != queued {
		return "", false
	}
	return k.receipt, true
}

// RecordNoEffect records that one send of a key certainly had no effect. Once that holds for all its sends, the key is as new.
func (w *RouteTable) RecordNoEffect(name string) {
	if k := w.keys[name]; k != nil && k.state == sent {
		if k.unresolvedSends--; k.unresolvedSends == 0 {
			delete(w.keys, name)
		}
	}
}

// AbandonQueuing records that a key that was to be queued could not be stored: it has no receipt and will get none.
func (w *RouteTable) AbandonQueuing(now Time, name string) {
	if k := w.keys[name]; k != nil && k.state == confirming {
		w.put(now, name, key{state: barred})
	}
}

// ForgetQueued drops a queued key after the retention time of its receipt.
func (w *RouteTable) ForgetQueued(name string) {
	if k := w.keys[name]; k != nil && k.state == queued {
		delete(w.keys, name)
	}
}
