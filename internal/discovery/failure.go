package discovery

import (
	"errors"
	"fmt"
	"time"

	"reachwind/decide"
)

// AnswerError is the error of a call without a usable answer: nothing of it arrived, or not all, or it is no list.
// Discovery may count the call as answered, or may never have received it.
type AnswerError struct {
	Addr  string
	Begun bool // some of the answer arrived
	Err   error
}

// Error implements error.
func (e *AnswerError) Error() string {
	found, action := "silent", "check that it is running and reachable from this gateway"
	if e.Begun {
		found, action = "an incomplete answer, or one that is not a list of members", "check what it serves there"
	}
	return fmt.Sprintf("discovery at %s: %s (%v), wanted a list of members; if this persists, %s", e.Addr, found, e.Err, action)
}

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Err }

// refusedError is the error of a call that reached discovery and ended without any part of a list.
type refusedError struct {
	took time.Duration // from the request to the refusal
	err  error
}

// Error implements error.
func (e *refusedError) Error() string { return fmt.Sprintf("refused after %v: %v", e.took, e.err) }

// Unwrap returns the cause.
func (e *refusedError) Unwrap() error { return e.err }

// reportFailure reports a call that is made again. Silence does not show that discovery is down, also where lists are
// pushed: the service may have told others of changes.
func (c *Client) reportFailure(err error, wait time.Duration) {
	var broken *AnswerError
	switch {
	case isUnreachable(err, wait):
		c.sink(decide.DiscoveryUnreachable, nil)
	case errors.As(err, &broken):
		c.callSink(decide.Event{Kind: decide.DiscoveryFailed, Result: decide.TimedOut})
	default:
		c.callSink(decide.Event{Kind: decide.DiscoveryFailed, Result: decide.Reset})
	}
}

// isUnreachable reports whether a call failed because discovery is down or its host refuses connections. Silence proves
// neither, and a call that was refused after queueing reached a service that is up.
func isUnreachable(err error, wait time.Duration) bool {
	var broken *AnswerError
	if errors.As(err, &broken) {
		return false
	}
	var refused *refusedError
	return !errors.As(err, &refused) || wait == 0 && refused.took < maxUnqueuedRefusal
}
