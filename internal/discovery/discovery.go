// Package discovery is a client for the discovery service. Over HTTP/1.1 it
// fetches the whole list of members, or watches the list for changes by one
// long poll after another.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/logthrottle"
)

const (
	endpointsPath = "/v1/endpoints"
	// minWatchWait and watchWaitPerGateway give the wait that a watch's calls ask for. A connection that has gone
	// silent is noticed only after the wait, so it is to be short; but each wait that ends is work for discovery, so it
	// grows with the fleet and that load stays the same for any number of gateways.
	minWatchWait        = changeDeadline - waitSlack - firstByteTimeout // leaves a retry all of its first-byte timeout
	watchWaitPerGateway = 250 * time.Millisecond                        // per gateway of the fleet: four waits end per second in all
	maxWatchWait        = 60 * time.Second                              // the longest that discovery accepts

	// changeDeadline is the time within which a gateway must know a change that a failed call missed. After a call that
	// went silent it counts from the beginning of the silence; for a watch it ends no sooner than 2 s after its wait.
	// After any other failed call it counts from when discovery has the change and can be reached. By then the answer
	// of a retry must have arrived.
	changeDeadline = 6 * time.Second
	// firstByteTimeout bounds the time to the first byte of an answer to a call that asks for no wait. Discovery serves
	// calls one after another and fails those that have queued for maxQueueTime. A client that gives up sooner leaves
	// discovery to work for nobody and then asks again, which lengthens the queue. A call without an answer for longer
	// than maxQueueTime and its own work is in no queue.
	firstByteTimeout  = 2400 * time.Millisecond
	maxQueueTime      = 2 * time.Second
	workPerCall       = 70 * time.Millisecond  // the longest that one call takes discovery
	waitSlack         = 600 * time.Millisecond // for the first byte, beyond the wait asked for
	maxReadGap        = 700 * time.Millisecond // between two reads within an answer
	answerTimeout     = 2 * time.Second        // for the whole answer, from its first byte
	lateAnswerTimeout = 800 * time.Millisecond // for the whole answer, from the time limit of its first byte
	dialTimeout       = 500 * time.Millisecond

	// minQueuedRefusal: a call without a wait that is refused after at least this time stood in the queue of a service
	// that is up. A service that is down, or that lost its queue, refuses sooner.
	minQueuedRefusal = maxQueueTime / 2
	// maxUnqueuedRefusal: a call that is refused within this time has not been in a queue.
	maxUnqueuedRefusal = 100 * time.Millisecond

	// maxCallCycle bounds the time from the start of a failed call to the start of the next: the first may have failed
	// just before discovery became reachable, and the next may have to queue.
	maxCallCycle = changeDeadline - firstByteTimeout - 600*time.Millisecond

	// Retries start after a random part of a spread, so that the gateways of a fleet do not retry at the same moment.
	// For a call that broke off the spread is retrySpreadPerGateway per gateway, up to maxRetrySpread: a watch that
	// went silent leaves little time. For a refused call it is the time that the calls of the whole fleet take beyond
	// the longest queue. After retriesBeforeBackoff retries in a row the interval between the starts of two calls
	// doubles from minBackoff up to the larger of maxBackoff and that spread, with a jitter of a quarter.
	retrySpreadPerGateway = 5 * time.Millisecond
	maxRetrySpread        = 200 * time.Millisecond
	retriesBeforeBackoff  = 2
	minBackoff            = 100 * time.Millisecond
	maxBackoff            = time.Second
	// maxBackoffPushed replaces maxBackoff where lists are pushed: a gateway must then know what discovery has as soon
	// as discovery is back.
	maxBackoffPushed = 150 * time.Millisecond
	// minEmptyCallInterval is the shortest time between the starts of two calls of a watch if the first brought no
	// change. Discovery takes a call for the continuation of a watch if it comes within 200 ms.
	minEmptyCallInterval = 50 * time.Millisecond
)

// Sink receives lists, changes and failures. The client calls it on the goroutine of Run.
type Sink func(kind decide.EventKind, members []core.ListedMember)

// CallSink receives the beginnings and failures of calls, and moves of discovery. The client calls it on the goroutine of
// Run, in order with the calls of its Sink.
type CallSink func(decide.Event)

// Client makes the calls to discovery, on the goroutine of Run. Watch, Fetch and SetAddr return at once; they only
// signal Run.
type Client struct {
	version         atomic.Int64
	pushed          bool
	watchWait       time.Duration // that a watch's calls ask for
	brokenSpread    time.Duration // spread of the retries of calls that broke off
	refusedSpread   time.Duration // spread of the retries of refused calls
	maxCallInterval time.Duration // between the starts of two calls, while discovery is down
	overQueueTime   time.Duration // that the fleet's calls, all made at once, take past the longest queue
	rng             *rand.Rand
	pace            decide.DiscoveryPacer // of watches after a refusal by a full queue, where lists are pushed
	sink            Sink
	callSink        CallSink
	log             *slog.Logger
	dial            func(ctx context.Context, addr string) (net.Conn, error)
	watchRequested  chan struct{}
	fetchRequested  chan struct{}
	addrChanged     chan struct{}

	mu           sync.Mutex
	nextAddr     string      // the address for the next call
	pendingMoves []time.Time // of the address, not yet reported to callSink; at most maxPendingMoves
	cancelCall   func()      // cancels the current call

	// Owned by the goroutine of Run.
	addr      string // of the current call
	needFull  bool   // the whole list is needed, as the address changed or the service restarted its versions
	lastEmpty bool   // the last answer brought no change
	conn      *conn  // kept for the next call

	failedLog, brokenLog, restartedLog logthrottle.Line
}

// Config is the configuration of a Client.
type Config struct {
	Addr     string // of the discovery service, host:port
	Version  int64  // of the list that the gateway holds
	Gateways int    // that use this service, this one included
	Seed     uint64 // of the random delays; differs per gateway, so that they do not all act at once
	Pushed   bool   // the gateway must know each change as soon as discovery has it: Run always watches, unasked
	CallSink CallSink
}

// New returns a client that makes its first call once Run runs. It opens connections with dial.
func New(cfg Config, sink Sink, dial func(context.Context, string) (net.Conn, error), log *slog.Logger) *Client {
	gateways := time.Duration(cfg.Gateways)
	c := &Client{nextAddr: cfg.Addr, addr: cfg.Addr, pushed: cfg.Pushed,
		watchWait:    min(max(minWatchWait, gateways*watchWaitPerGateway), maxWatchWait),
		brokenSpread: min(gateways*retrySpreadPerGateway, maxRetrySpread), overQueueTime: gateways*workPerCall - maxQueueTime,
		rng: rand.New(rand.NewPCG(cfg.Seed, 0x646973636f766572)), sink: sink, callSink: cfg.CallSink, dial: dial, log: log,
		watchRequested: make(chan struct{}, 1), fetchRequested: make(chan struct{}, 1), addrChanged: make(chan struct{}, 1)}
	if c.callSink == nil {
		c.callSink = func(decide.Event) {}
	}
	c.refusedSpread = min(max(c.brokenSpread, c.overQueueTime), maxCallCycle)
	c.maxCallInterval = max(c.refusedSpread, maxBackoff)
	if c.pushed {
		c.refusedSpread, c.maxCallInterval = c.brokenSpread, min(max(maxBackoffPushed, c.overQueueTime), maxBackoff)
	}
	c.pace = decide.DiscoveryPacer{Fronts: cfg.Gateways, Random: c.rng.Float64}
	c.version.Store(cfg.Version)
	return c
}

// Version returns the version of the list as last received. Any goroutine may call it, and the sink too.
func (c *Client) Version() int64 { return c.version.Load() }

// Watch starts a watch for changes. It has no effect while a watch is running.
func (c *Client) Watch() { signal(c.watchRequested) }

// Fetch requests the whole list once. It has no effect while a watch is running, which brings all changes.
func (c *Client) Fetch() { signal(c.fetchRequested) }

// maxPendingMoves bounds the changes of address that are not yet reported; of more the first ones and the last are.
const maxPendingMoves = 4

// SetAddr cancels the current call and makes all further calls to addr: first for
// the whole list, as the versions of two services need not agree, then for changes.
// The gateway was told of the address at toldAt.
func (c *Client) SetAddr(addr string, toldAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.nextAddr {
		return
	}
	c.nextAddr = addr
	if len(c.pendingMoves) == maxPendingMoves {
		c.pendingMoves = c.pendingMoves[:maxPendingMoves-1]
	}
	c.pendingMoves = append(c.pendingMoves, toldAt)
	signal(c.addrChanged)
	if c.cancelCall != nil {
		c.cancelCall()
	}
}

// signal sends a signal on a channel of capacity 1, unless one is pending.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// clearSignal clears a pending signal.
func clearSignal(ch chan struct{}) {
	select {
	case <-ch:
	default:
	}
}

// Run makes the calls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.closeConn()
	if c.pushed {
		for ctx.Err() == nil {
			c.watchChanges(ctx)
			select {
			case <-ctx.Done():
			case <-c.addrChanged:
			case <-time.After(c.pace.PauseAfterRefusal(1)):
			}
		}
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.fetchRequested:
			c.call(ctx, true, 0)
		case <-c.watchRequested:
			c.watchChanges(ctx)
		case <-c.addrChanged:
			c.watchChanges(ctx)
		}
	}
}

// watchChanges watches for changes until a call is refused by a full queue or the address changes. The first call asks
// for no wait, so that missed changes arrive at once; each further call directly follows the last answer, so that
// discovery sees one unbroken watch.
func (c *Client) watchChanges(ctx context.Context) {
	for wait := time.Duration(0); ctx.Err() == nil; wait = c.watchWait {
		began := time.Now()
		if !c.call(ctx, false, wait) {
			return
		}
		clearSignal(c.watchRequested) // requests for what is running
		clearSignal(c.fetchRequested)
		if left := minEmptyCallInterval - time.Since(began); wait > 0 && c.lastEmpty && left > 0 { // discovery does not wait: it would be called in a tight loop
			c.sleep(ctx, left)
		}
	}
}

// sleep sleeps for d and reports whether it did so to the end; it returns early when ctx ends.
func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// randomUpTo returns a random duration from 0 to d.
func (c *Client) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(c.rng.Float64() * float64(d))
}

// beginCall prepares a call to the current address and returns a context for it, which SetAddr cancels.
func (c *Client) beginCall(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	clearSignal(c.addrChanged) // this call goes to the new address
	if c.nextAddr != c.addr {
		c.closeConn()
		c.addr, c.needFull = c.nextAddr, true
	}
	for _, toldAt := range c.pendingMoves {
		c.callSink(decide.Event{Kind: decide.DiscoveryMoved, Elapsed: time.Since(toldAt)})
	}
	c.pendingMoves = nil
	c.cancelCall = cancel
	return ctx, cancel
}

// call requests the whole list or changes, and passes the answer to the sink. It retries a failed call until one is
// answered, as discovery no longer works on the failed one while the gateway must know what it would have brought. The
// exception is a call that a full queue refused: discovery is then overloaded and retries at once would make it worse,
// so call reports the failure to the sink. It reports whether there was an answer.
func (c *Client) call(ctx context.Context, full bool, wait time.Duration) bool {
	ctx, done := c.beginCall(ctx)
	defer done()
	for retries := 0; ; retries++ {
		target := endpointsPath
		if full || c.needFull {
			wait = 0
		} else {
			target = fmt.Sprintf("%s?index=%d&wait=%d", endpointsPath, c.version.Load(), wait.Milliseconds())
		}
		began := time.Now()
		c.callSink(decide.Event{Kind: decide.DiscoveryCalled, Remaining: wait})
		list, err := c.get(ctx, target, wait)
		var members []core.ListedMember
		if err == nil {
			members, err = c.checkList(list, target == endpointsPath)
		}
		took := time.Since(began)
		switch {
		case ctx.Err() != nil: // the address changed, or Run ends: the answer no longer counts
			c.callSink(decide.Event{Kind: decide.DiscoveryFailed, Result: decide.TimedOut}) // it may have been silent
			c.closeConn()
			return false
		case err == nil && target != endpointsPath && !list.Reset && list.Generation < c.version.Load():
			// The service restarted its versions: it would never report changes up to the version that is held here.
			c.restartedLog.Warn(c.log, "discovery restarted its versions, fetching the whole list", "call", target, "version", list.Generation)
			c.needFull = true
			if !c.sleep(ctx, minEmptyCallInterval) {
				return false
			}
			continue
		case err == nil:
			if wait == 0 {
				c.pace.Answered(took)
			}
			c.deliver(list, members)
			return true
		}
		c.closeConn()
		var refused *refusedError
		if errors.As(err, &refused) && wait == 0 && refused.took >= minQueuedRefusal {
			c.failedLog.Warn(c.log, "discovery failed", "call", target, "took", took, "err", err)
			clearSignal(c.watchRequested) // requests made during the call; this failure answers them
			clearSignal(c.fetchRequested)
			c.sink(decide.ListError, nil)
			return false
		}
		c.reportFailure(err, wait)
		c.brokenLog.Warn(c.log, "discovery broke off, asked anew", "call", target, "took", took, "err", err)
		wait = 0 // missed changes are to arrive at once
		if !c.sleep(ctx, c.retryDelay(err, retries, took)) {
			return false
		}
	}
}

// checkList returns the members of a list that discovery sent, which must be a whole one if whole is set.
func (c *Client) checkList(list *List, whole bool) ([]core.ListedMember, error) {
	members, err := list.Members()
	if err == nil && whole && !list.Reset {
		if list.Reset = len(members) > 0; !list.Reset { // an empty list without the mark is no whole list
			err = errors.New("got a change, wanted the whole list")
		}
	}
	if err != nil {
		return nil, &AnswerError{c.addr, true, err}
	}
	return members, nil
}

// retryDelay returns the delay before the retry of a call that failed with err after took; retries counts the retries
// before.
func (c *Client) retryDelay(err error, retries int, took time.Duration) time.Duration {
	spread := c.refusedSpread
	var broken *AnswerError
	if errors.As(err, &broken) || c.needFull { // the list of a new address must be known 4 s after the change of address
		spread = c.brokenSpread
	}
	if retries < retriesBeforeBackoff {
		return c.randomUpTo(spread)
	}
	interval := min(max(minBackoff<<min(retries-retriesBeforeBackoff, 8), spread), c.maxCallInterval)
	return max(interval-c.randomUpTo(interval/4)-took, c.randomUpTo(c.brokenSpread))
}

// deliver records an answer and passes its list to the sink.
func (c *Client) deliver(list *List, members []core.ListedMember) {
	c.needFull, c.lastEmpty = false, len(members) == 0 && !list.Reset
	c.version.Store(list.Generation)
	kind := decide.ListChange
	if list.Reset {
		kind = decide.ListFull
	}
	if len(members) > 0 || list.Reset {
		c.log.Info("list", "version", list.Generation, "full", list.Reset, "entries", len(members))
	}
	c.sink(kind, members)
}

// get makes one call on the kept connection, or on a new one.
func (c *Client) get(ctx context.Context, target string, wait time.Duration) (*List, error) {
	reused := c.conn != nil
	if !reused {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		nc, err := c.dial(ctx, c.addr)
		if err != nil {
			if isTimeout(err) {
				err = &AnswerError{c.addr, false, err}
			}
			return nil, err
		}
		c.conn = newConn(nc)
	}
	conn := c.conn // the field may be cleared before the function below runs
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	start := time.Now()
	resp, err := conn.roundTrip(appendGet(nil, c.addr, target), max(wait+waitSlack, firstByteTimeout))
	switch {
	case err != nil && (conn.answerBegun || isTimeout(err)):
		return nil, &AnswerError{c.addr, conn.answerBegun, err}
	case err != nil && reused && ctx.Err() == nil && time.Since(start) < minEmptyCallInterval: // the kept connection had been closed: discovery has not read the call
		c.closeConn()
		return c.get(ctx, target, wait)
	case err != nil:
		return nil, &refusedError{time.Since(start), err}
	case resp.status != 200:
		return nil, &refusedError{time.Since(start), fmt.Errorf("status %d", resp.status)}
	}
	list := new(List)
	if err := json.Unmarshal(resp.body, list); err != nil {
		return nil, &AnswerError{c.addr, true, fmt.Errorf("list: %w", err)}
	}
	if !resp.keepAlive || conn.r.Buffered() > 0 { // surplus bytes would be taken for the next answer
		c.closeConn()
	}
	return list, nil
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// closeConn closes the kept connection, if there is one.
func (c *Client) closeConn() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
