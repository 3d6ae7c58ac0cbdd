package pgmember

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"reachwind/decide"
	"reachwind/internal/call"
	"reachwind/internal/core"
	"reachwind/internal/interruptible"
	"reachwind/internal/pgwire"
)

// Dialer opens a connection to addr, host:port. It gives up when ctx ends.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// keepAlive ends a connection whose peer's system has acknowledged nothing for a minute, more than twice the longest hang or
// network failure that passes (27 s). A system that acknowledges keeps its connections, however long its programs hang.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 5 * time.Second, Count: 9}

// Dial is the Dialer for TCP. Its connections end by keepalive once their peer has vanished.
func Dial(ctx context.Context, addr string) (net.Conn, error) { return dialWith(ctx, addr, keepAlive) }

func dialWith(ctx context.Context, addr string, k net.KeepAliveConfig) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: k}
	return dialer.DialContext(ctx, "tcp", addr)
}

const readBufSize = 4 << 10 // bytes of a connection's read buffer

// order is a message to a connection's goroutine: run job, stop it, check its
// answer for a stall, or, without a job, close the connection.
type order struct {
	job        *job
	stop       bool
	checkStall bool
	result     decide.Result // the outcome of a stopped job
}

// conn is one connection to a member. Its goroutine runs serve; member,
// idleSince and evictedFor belong to the owner goroutine.
type conn struct {
	*interruptible.Conn[order]
	pool      *Pool
	member    *member
	addr      string
	idleSince core.Time // of a connection in member.idle
	answered  bool      // an answer was read on it before
	stream    streamState

	evictedFor *member // evicted to make room for a connection to this member; nil: not evicted, or for no member

	// Time limits of writing a statement. The owner may change them during the write.
	mu            sync.Mutex
	writeLimit    core.Time // nothing is written after it, 0 = no limit
	writing       *job      // whose statement is being written
	writeDeadline core.Time // limit of that write
}

var distantPast = time.Unix(1, 0)

func newConn(p *Pool, m *member) *conn { return &conn{pool: p, member: m, addr: m.addr} }

// start connects in the background.
func (c *conn) start() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.pool.conf.Load().ConnectTimeout)
		result, err := c.connect(ctx)
		if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) { // perhaps a passing fault: if the member is down, the next dial is refused
			if c.Conn != nil {
				c.CloseAll()
			}
			result, err = c.connect(ctx)
		}
		cancel()
		if err != nil {
			if c.Conn != nil {
				c.CloseAll()
			}
			c.pool.core.Post(func() { c.pool.connFailed(c, result, err) })
			return
		}
		c.pool.core.Post(func() {
			c.member.connecting--
			c.pool.connReady(c)
		})
		left := c.serve()
		c.pool.core.Post(func() { c.pool.connEnded(c, left) })
	}()
}

// close asks the goroutine to end.
func (c *conn) close() { c.Post(order{}) }

// discardUnsent makes the close that follows drop the data that the member's host has not yet received. Otherwise the
// system could still deliver a statement to a member that is cut off or hangs, seconds after its attempt was abandoned
// and perhaps retried.
func (c *conn) discardUnsent() {
	if t, ok := c.Conn.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
}

// setWriteLimit sets until when statements may be written on the connection, 0 = no limit. It also applies to a write
// under way.
func (c *conn) setWriteLimit(t core.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeLimit = t
	if c.writing != nil && t != 0 && t < c.writeDeadline {
		c.writeDeadline = t
		_ = c.SetWriteDeadline(c.pool.core.At(t))
	}
}

// cancelWrite stops the write of j's statement, unless it has been written whole.
func (c *conn) cancelWrite(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing == j {
		_ = c.SetWriteDeadline(distantPast)
	}
}

// beginWrite reports whether a job may still be written, as time has passed since its decision, and sets the deadline
// of the write; a statement that is not written whole by then is not finished. It is called right before the write:
// whatever ends the job from here on cuts the write short.
func (c *conn) beginWrite(j *job, until core.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := j.attempt; a != nil && a.WriteBy != 0 {
		until = min(until, a.WriteBy-boundMargin)
	}
	if c.writeLimit != 0 {
		until = min(until, c.writeLimit)
	}
	if j.abandoned() || c.pool.core.Now() >= until {
		return false
	}
	c.writing, c.writeDeadline = j, until
	_ = c.SetWriteDeadline(c.pool.core.At(until))
	return true
}

// endWrite marks the end of the write that beginWrite allowed.
func (c *conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = nil
}

// connect dials the member and completes the startup before ctx ends. It returns 0 and nil on success.
func (c *conn) connect(ctx context.Context) (decide.Result, error) {
	nc, err := c.pool.dial(ctx, c.addr)
	switch {
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.EADDRNOTAVAIL):
		return decide.NotSent, err // a shortage in this process or host, not a fault of the member
	case err != nil:
		return decide.Unreachable, err
	}
	c.Conn = interruptible.New[order](nc, readBufSize)
	until, _ := ctx.Deadline()
	_ = nc.SetDeadline(until)
	if _, err := nc.Write(pgwire.AppendStartup(nil, c.pool.conf.Load().User, c.pool.conf.Load().Database)); err != nil {
		return decide.Unreachable, err
	}
	var a answer
	if err := c.readAnswer(&a, func() error { return context.DeadlineExceeded }); err != nil && a.code == "" {
		return decide.Unreachable, err
	}
	if a.code != "" {
		return resultOf(&a), errors.New("member refused the startup: SQLSTATE " + a.code)
	}
	if c.Reader.Buffered() > 0 {
		return decide.Unreachable, errInvalidAnswer
	}
	return 0, nc.SetDeadline(time.Time{})
}

// serve carries out orders until the connection ends, and returns those that it did not begin.
func (c *conn) serve() []order {
	var job *job
	for {
		// At a message boundary. The read below also notices that the member closes the connection.
		orders := c.TakeMessages()
		for i, o := range orders {
			switch {
			case o.job == nil:
				if job != nil {
					orders = append(orders, order{job: job})
				}
				return append(c.CloseAll(), orders[i:]...)
			case o.checkStall: // check of an answer that has ended since
			case !o.stop:
				job = o.job
			case o.job == job: // stopped before its first byte
				c.jobDone(job, core.Outcome{Result: decide.NotSent})
				job = nil
			}
		}
		if job != nil {
			if !c.NoPendingInput() {
				// Unread bytes belong to no request and would be taken for this one's answer; or the member has
				// closed the connection. The job restarts on another one.
				return append(c.CloseAll(), order{job: job})
			}
			j := job
			job = nil
			if !c.runJob(j) {
				return c.CloseAll()
			}
			continue
		}
		if _, err := c.Reader.Peek(1); !errors.Is(err, interruptible.ErrInterrupted) {
			return c.CloseAll() // closed, or a message out of turn: a fatal error of the member, or noise
		}
	}
}

// jobDone reports a job's outcome and that the connection is free.
func (c *conn) jobDone(j *job, o core.Outcome) {
	c.pool.core.Post(func() {
		c.pool.finishJob(j, o)
		c.pool.connReady(c)
	})
}

// runJob carries out one job and reports whether the connection may be reused.
func (c *conn) runJob(j *job) bool {
	a := answer{job: j}
	o := c.exchange(j, &a)
	switch {
	case o.Result == decide.NotSent && !a.partlyWritten: // no byte of it was written
		c.jobDone(j, o)
		return true
	case a.buf == nil:
	case o.Result == decide.Served && j.attempt != nil:
		o.Body = a.buf
	default:
		a.buf.Release()
	}
	if a.surplus.unwanted > 0 {
		c.pool.surplusLog.Info(c.pool.log, "messages beyond earlier answers dropped", "member", c.member.id,
			"messages", a.surplus.unwanted, "bytes", a.surplus.bytes)
	}
	if a.ready && !a.abandoned && a.surplus.unwanted == 0 && c.Reader.Buffered() == 0 { // otherwise there are bytes beyond an answer
		c.jobDone(j, o)
		return true
	}
	// The connection is closed before the outcome is reported: the request's
	// next attempt may follow at once, and two must never be under way.
	if a.partlyWritten || o.Result == decide.TimedOut || o.Result == decide.Cancelled {
		c.discardUnsent()
	}
	_ = c.Conn.Conn.Close()
	c.pool.core.Post(func() { c.pool.finishJob(j, o) })
	return false
}

// query returns the parts of the message with a job's statement, and until when it may be written.
func (c *conn) query(j *job) (parts net.Buffers, until core.Time) {
	now := c.pool.core.Now()
	if j.attempt == nil {
		return net.Buffers{pgwire.Append(nil, 'Q', "SHOW health\x00")}, now + c.pool.conf.Load().ConnectTimeout
	}
	until = j.attempt.Deadline
	wait := max((until - now).Milliseconds(), 1)
	switch request := j.attempt.Request.Call.(type) {
	case *pgwire.Statement: // passed on as received
		parts = request.Query(wait)
	case *call.Request:
		parts = pgwire.EncodeCall(request, wait)
	}
	return parts, until
}

// writeStatement writes the marker and a job's statement whole. If it could not, it returns false and the outcome: the
// member has not run the statement.
func (c *conn) writeStatement(j *job, a *answer) (core.Outcome, bool) {
	statement, until := c.query(j)
	query := append(net.Buffers{[]byte(syncMarker)}, statement...)
	size := int64(0)
	for _, part := range query {
		size += int64(len(part))
	}
	if c.pool.beforeWrite != nil {
		c.pool.beforeWrite(j)
	}
	if !c.beginWrite(j, until) {
		return core.Outcome{Result: decide.NotSent}, false
	}
	n, err := query.WriteTo(c.Conn.Conn)
	c.endWrite()
	switch {
	case err == nil || n == size: // written whole: the read shows its outcome
		return core.Outcome{}, true
	case errors.Is(err, os.ErrDeadlineExceeded) && c.pool.core.Now() < until: // cancelled, or limited to an earlier time
		a.partlyWritten = n > 0
		return core.Outcome{Result: decide.NotSent}, false
	}
	a.partlyWritten = true
	return core.Outcome{Result: decide.Unreachable}, false
}

// isSpoilt reports whether err means that an answer came, but cannot be used.
func isSpoilt(err error) bool {
	for _, e := range []error{pgwire.ErrTooLong, pgwire.ErrMalformed, errInvalidAnswer, errStalled, errNoBuffer, errSurplus} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// exchange writes a job's statement and reads the whole answer.
func (c *conn) exchange(j *job, a *answer) (o core.Outcome) {
	if o, ok := c.writeStatement(j, a); !ok {
		return o
	}
	stopResult := decide.Reset
	err := c.readAnswer(a, func() error {
		for _, o := range c.TakeMessages() {
			switch {
			case o.job == nil:
				return errClosed
			case o.job != j:
			case o.stop:
				stopResult = o.result
				return c.stopReading(a)
			case o.checkStall:
				if err := c.checkStall(a); err != nil {
					return err
				}
			}
		}
		return nil
	})
	c.endStallChecks(a)
	if a.endStream != nil { // the front waits for the end of the streamed answer
		c.stream.current.Store(nil)
		defer func() {
			if o.Result != decide.Served {
				a.tail = nil
				if err == nil {
					err = errors.New("error " + a.code)
				}
				c.pool.brokenStreamLog.Info(c.pool.log, "long answer broke off", "member", c.member.id, "bytes", a.streamedBytes, "err", err)
			}
			a.endStream(a.tail)
		}()
	}
	switch {
	case errors.Is(err, errClientWrite), errors.Is(err, errUnclaimed):
		return core.Outcome{Result: decide.Cancelled}
	case isSpoilt(err), errors.Is(err, errMemberSilent) && !a.complete:
		// The member is up and has run the statement; only the answer is invalid, so nothing that it reported is used.
		c.pool.invalidAnswerLog.Warn(c.pool.log, "answer spoilt", "member", c.member.id, "err", err)
		return core.Outcome{Result: decide.Errored}
	case a.endStream != nil && a.code != "": // whatever the code says, the statement has run
		o.Result = decide.Errored
	case a.code != "" || a.complete:
		o.Result = resultOf(a)
		c.assumePosition(a)
	default:
		o.Result = stopResult
		o.Reused = stopResult == decide.Reset && c.answered && !a.begun
	}
	c.answered = true
	o.Role, o.HasPosition, o.Position, o.Report = a.role, a.hasPosition, a.position, a.report
	if j.attempt == nil && o.Result == decide.Served {
		c.readReport(&o.Report, a.row)
	}
	return o
}
