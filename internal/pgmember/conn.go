package pgmember

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"reachwind/decide"
	"reachwind/internal/call"
	"reachwind/internal/core"
	"reachwind/internal/interruptible"
	"reachwind/internal/pgwire"
	"reachwind/internal/settings"
)

// Dialer opens a connection to addr, host:port. It gives up when ctx ends.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Dial is the Dialer for TCP.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", addr)
}

const (
	readBufSize        = 4 << 10                // bytes of a connection's read buffer
	streamChunkSize    = 32 << 10               // bytes of a streamed answer that are read at a time
	maxAnswerMessages  = 64                     // messages in one answer
	stallTimeout       = 100 * time.Millisecond // a member that pauses for this long within an answer is taken to be stuck
	streamStallTimeout = 5 * time.Second        // the same for a streamed answer, which cannot be retried elsewhere
)

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

	evictedFor *member // evicted to make room for a connection to this member; nil: not evicted, or for no member

	// Time limits of writing a statement. The owner may change them during the write.
	mu            sync.Mutex
	writeLimit    core.Time // nothing is written after it, 0 = no limit
	writing       *job      // whose statement is being written
	writeDeadline core.Time // limit of that write
}

var (
	errStopped       = errors.New("stopped")
	errClosed        = errors.New("closed")
	errStalled       = errors.New("answer stalled")
	errInvalidAnswer = errors.New("answer out of order")
	errUnclaimed     = errors.New("answer taken by nobody")
	errClientWrite   = errors.New("client takes no more of the answer")
	errNoBuffer      = errors.New("out of buffers")
)

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
	if a.ready && !a.abandoned && c.Reader.Buffered() == 0 { // otherwise there are bytes beyond the answer
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

// writeStatement writes a job's statement whole. If it could not, it returns false and the outcome: the member has not
// run it.
func (c *conn) writeStatement(j *job, a *answer) (core.Outcome, bool) {
	query, until := net.Buffers{pgwire.Append(nil, 'Q', "SHOW health\x00")}, c.pool.core.Now()+c.pool.conf.Load().ConnectTimeout
	if j.attempt != nil {
		until = j.attempt.Deadline
		wait := max((until - c.pool.core.Now()).Milliseconds(), 1)
		switch c := j.attempt.Request.Call.(type) {
		case *pgwire.Statement: // passed on as received
			query = c.Query(wait)
		case *call.Request:
			query = pgwire.EncodeCall(c, wait)
		}
	}
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
				a.stallCheckDue = false
				left := a.stallLimit() - min(c.SilentFor(), time.Since(a.lastStreamed))
				if left <= 0 {
					return errStalled
				}
				c.scheduleStallCheck(a, left)
			}
		}
		return nil
	})
	if a.endStream != nil { // the front waits for the end of the streamed answer
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
	case errors.Is(err, pgwire.ErrTooLong), errors.Is(err, pgwire.ErrMalformed), errors.Is(err, errInvalidAnswer), errors.Is(err, errStalled),
		errors.Is(err, errNoBuffer):
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

// stopReading ends an attempt that was abandoned. Bytes that its member has sent by then are still read: the answer may
// be complete, and a role or a position is useful. The read continues over these bytes and ends there without waiting.
func (c *conn) stopReading(a *answer) error {
	if a.endStream != nil { // a streamed answer whose client has gone
		return errStopped
	}
	have, _ := c.Reader.Peek(c.Reader.Buffered())
	rest := append(bytes.Clone(have), readAvailable(c.Conn.Conn, pgwire.LargeBufSize)...)
	a.abandoned = true
	c.Reader.Reset(io.MultiReader(bytes.NewReader(rest), abandonedReader{}))
	return nil
}

// readAvailable reads the unread bytes of a socket, up to about limit, without waiting for more.
func readAvailable(nc net.Conn, limit int) (got []byte) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	part := make([]byte, readBufSize)
	for n := 1; n > 0 && len(got) < limit; got = append(got, part[:max(n, 0)]...) {
		n = 0
		_ = raw.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), part, syscall.MSG_DONTWAIT) })
	}
	return got
}

// abandonedReader marks the end of the bytes that were there when an attempt was abandoned.
type abandonedReader struct{}

func (abandonedReader) Read([]byte) (int, error) { return 0, errStopped }

// assumePosition sets a position for a write whose answer broke off after CommandComplete and before the position of
// its commit, if members report positions: the write is answered as done, and later reads of its session must see it.
// The present time is safe, as the commit was made before.
func (c *conn) assumePosition(a *answer) {
	if a.job.attempt == nil || !a.complete || a.ready || a.hasPosition || !c.pool.positionsReported.Load() {
		return
	}
	if k := a.job.attempt.Request.Class; k != nil && k.Writes() {
		a.hasPosition, a.position = true, c.pool.core.Now()
	}
}

// readReport reads the figures of a load report that the settings name.
func (c *conn) readReport(r *decide.Report, text []byte) {
	pgwire.ForEachLoadValue(text, func(name string, v float64) {
		for _, n := range c.pool.conf.Load().ReportFigures {
			if n == name {
				settings.SetReportFigure(r, 0, name, v)
			}
		}
	})
}

// resultOf maps an answer's SQLSTATE to a result, as the protocol defines it.
func resultOf(a *answer) decide.Result {
	if pgwire.IsStatementError(a.code) {
		return decide.Rejected
	}
	switch a.code {
	case "":
		return decide.Served
	case pgwire.ReadOnly, pgwire.TooFarBehind:
		return decide.Misdirected
	case pgwire.TooManyConnections, pgwire.CannotConnectNow:
		return decide.Full
	}
	return decide.Errored
}

// answer is the state of an answer that is being read.
type answer struct {
	buf           *pgwire.Buf // holds RowDescription, DataRow and CommandComplete as received; nil during the startup
	job           *job        // that it answers; nil during the startup
	abandoned     bool        // only the bytes that had arrived by then are read
	partlyWritten bool        // the statement was not written whole; some of it may have been
	stallCheckDue bool        // a check for a stall is due
	begun         bool        // a byte of it arrived
	row           []byte      // the value, within buf
	described,
	complete bool // RowDescription, CommandComplete arrived
	code  string // SQLSTATE of an ErrorResponse
	ready bool   // ReadyForQuery arrived

	// Of a streamed answer.
	endStream     func(tail []byte) // tells the front that the answer has ended; nil: the answer is buffered whole
	tail          []byte            // CommandComplete
	streamedBytes int               // bytes of the value that were read
	lastStreamed  time.Time         // when a part of it was last passed on

	role        decide.Role
	hasPosition bool
	position    core.Time
	report      decide.Report
}

// readAnswer reads messages up to ReadyForQuery. It fails on anything but exactly one
// answer: no part of an invalid answer may be trusted.
func (c *conn) readAnswer(a *answer, onInterrupt func() error) error {
	var small [1 << 10]byte
	for n := range maxAnswerMessages {
		if n > 0 {
			c.watchForStall(a, 5)
		} else if _, err := c.Peek(1, onInterrupt); err != nil { // no limit on pauses until the answer begins
			return err
		}
		a.begun = true
		head, err := c.Peek(5, onInterrupt)
		if err != nil {
			return err
		}
		if a.mustStream(head) {
			if err := c.streamRow(a, onInterrupt); err != nil {
				return err
			}
			continue
		}
		typ, n, err := pgwire.Header(head)
		if err != nil {
			return err
		}
		body := small[:]
		keep := a.job != nil && a.endStream == nil && (typ == 'T' || typ == 'D' || typ == 'C')
		switch {
		case keep:
			if err := c.reserveBuffer(a, typ, 5+n); err != nil {
				return err
			}
			at := len(a.buf.B)
			a.buf.B = append(a.buf.B, head...)[:at+5+n]
			body = a.buf.B[at+5:]
		case n > pgwire.MaxSmallMessage:
			return pgwire.ErrTooLong
		case n > len(body):
			body = make([]byte, n) // rare: a long error or parameter
		default:
			body = body[:n]
		}
		_, _ = c.Reader.Discard(5)
		c.watchForStall(a, n)
		if err := c.ReadFull(body, onInterrupt); err != nil {
			return err
		}
		if err := c.handleMessage(a, typ, body); err != nil || a.ready {
			return err
		}
	}
	return errInvalidAnswer
}

// reserveBuffer makes sure that the answer's buffer has room for a message of n bytes and for those that follow it.
func (c *conn) reserveBuffer(a *answer, typ byte, n int) error {
	if typ == 'D' { // a row must not move later, so room for CommandComplete is needed now
		n += maxTagSize
	}
	n += len(readyForQuery)
	if a.buf == nil || len(a.buf.B)+n > cap(a.buf.B) {
		have := a.buf
		if have != nil {
			n += len(have.B)
		}
		if n > pgwire.LargeBufSize || a.row != nil {
			return pgwire.ErrTooLong
		}
		if a.buf = c.pool.bufs.Get(n, 0); a.buf == nil {
			a.buf = have
			return errNoBuffer
		}
		if have != nil {
			a.buf.B = append(a.buf.B, have.B...)
			have.Release()
		}
	}
	return nil
}

const maxTagSize = 128 // bytes of CommandComplete

const readyForQuery = "Z\x00\x00\x00\x05I"

// stallLimit returns how long the member may pause within the answer.
func (a *answer) stallLimit() time.Duration {
	if a.endStream != nil {
		return streamStallTimeout
	}
	return stallTimeout
}

// mustStream reports whether head begins a row that must be streamed. Only answers to PostgreSQL clients can be.
func (a *answer) mustStream(head []byte) bool {
	if a.job == nil || a.job.attempt == nil || !a.described || a.row != nil || a.code != "" || !pgwire.IsLargeRow(head) {
		return false
	}
	_, ok := a.job.attempt.Request.Call.(*pgwire.Statement)
	return ok
}

// streamRow streams a row to the client as it arrives, after the messages before it. Once it starts, no other attempt
// can answer the request.
func (c *conn) streamRow(a *answer, onInterrupt func() error) error {
	if a.abandoned { // abandoned: the rest of the row will not arrive
		return errStopped
	}
	c.watchForStall(a, pgwire.RowHeaderSize)
	head, err := c.Peek(pgwire.RowHeaderSize, onInterrupt)
	if err != nil {
		return err
	}
	left, err := pgwire.LargeRowValueLen(head)
	if err != nil {
		return err
	}
	s := pgwire.NewStream()
	c.pool.core.AnswerStarted(a.job.attempt, s)
	w, done := s.AwaitTaker()
	if w == nil {
		if err := onInterrupt(); err != nil {
			return err
		}
		if a.abandoned { // stopped meanwhile
			return errStopped
		}
		return errUnclaimed
	}
	a.endStream, a.row = done, head[:0]
	a.buf.B = append(a.buf.B, head...)
	_, _ = c.Reader.Discard(len(head))
	if _, err := w.Write(a.buf.B); err != nil {
		return errClientWrite
	}
	// Large chunks take a quarter of the CPU time of small ones; they are used while enough buffers are free.
	if large := c.pool.bufs.Get(streamChunkSize, c.pool.reservedBuffers); large != nil {
		a.buf.Release()
		a.buf = large
	}
	chunk := a.buf.B[:min(cap(a.buf.B), streamChunkSize)]
	a.lastStreamed = time.Now()
	for left > 0 {
		c.watchForStall(a, 1)
		n, err := c.Reader.Read(chunk[:min(left, len(chunk))])
		if n > 0 {
			left -= n
			a.streamedBytes += n
			if _, err := w.Write(chunk[:n]); err != nil {
				return errClientWrite
			}
			a.lastStreamed = time.Now()
		}
		if errors.Is(err, interruptible.ErrInterrupted) {
			err = onInterrupt()
		}
		if err != nil {
			return err
		}
	}
	a.buf.Release()
	a.buf = nil
	return nil
}

// watchForStall schedules a check for a stall, unless one is due or the next n bytes of the answer are buffered.
func (c *conn) watchForStall(a *answer, n int) {
	if a.job == nil || a.stallCheckDue || c.Reader.Buffered() >= n {
		return
	}
	c.scheduleStallCheck(a, a.stallLimit())
}

// scheduleStallCheck makes the goroutine check for a stall after the given time.
func (c *conn) scheduleStallCheck(a *answer, delay time.Duration) {
	a.stallCheckDue = true
	j := a.job
	time.AfterFunc(delay, func() { c.Post(order{job: j, checkStall: true}) })
}

// handleMessage handles one message of an answer. It accepts RowDescription, DataRow and
// CommandComplete in this order, or an ErrorResponse; then ReadyForQuery.
func (c *conn) handleMessage(a *answer, typ byte, body []byte) (err error) {
	answered := a.complete || a.code != ""
	switch {
	case typ == 'S':
		c.handleStatus(a, body)
	case typ == 'N':
	case typ == 'Z' && len(body) == 1 && (answered || a.job == nil):
		a.ready = true
	case typ == 'E' && !answered:
		if a.code, err = pgwire.ErrorCode(body); err == nil && a.described && a.endStream == nil && !resultOf(a).MayHaveRun() {
			err = errInvalidAnswer
		}
	case a.job == nil && (typ == 'R' || typ == 'K'):
	case typ == 'T' && !answered && !a.described:
		a.described, err = true, pgwire.CheckRowDescription(body)
	case typ == 'D' && !answered && a.described && a.row == nil:
		a.row, err = pgwire.DataRowValue(body)
	case typ == 'C' && !answered && a.row != nil:
		a.complete, err = true, pgwire.CheckCommandTag(body)
		if a.endStream != nil {
			a.tail = pgwire.Append(make([]byte, 0, len(body)+11), 'C', string(body))
		}
	default:
		err = errInvalidAnswer
	}
	return err
}

// handleStatus handles a ParameterStatus: the member's role, log position or load report.
func (c *conn) handleStatus(a *answer, body []byte) {
	switch name, value := pgwire.ParseParameterStatus(body); name {
	case "recovery":
		a.role = decide.Replica
		if value == "off" {
			a.role = decide.Primary
		}
	case "lsn_ms":
		if ms, err := strconv.ParseInt(value, 10, 64); err == nil && ms > 0 && ms < 1<<43 {
			a.hasPosition, a.position = true, core.Time(ms)*time.Millisecond
			c.pool.positionsReported.Store(true)
		}
	case "health":
		c.readReport(&a.report, []byte(value))
	}
}
