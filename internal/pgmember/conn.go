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
	readSize    = 4 << 10                // bytes of a connection's read buffer
	chunkSize   = 32 << 10               // bytes of a streamed answer that are read at a time
	answerParts = 64                     // messages in one answer
	stallWait   = 100 * time.Millisecond // a member that pauses for this long within an answer is taken to be stuck
	passWait    = 5 * time.Second        // the same for a streamed answer, which cannot be retried elsewhere
)

// order is a message to a connection's goroutine: run job, stop it, check its
// answer for a stall, or, without a job, close the connection.
type order struct {
	job   *job
	stop  bool
	stall bool
	why   decide.Result
}

// conn is one connection to a member. Its goroutine runs serve; m, since and
// roomFor belong to the owner goroutine.
type conn struct {
	*interruptible.Conn[order]
	p     *Pool
	m     *member
	addr  string
	since core.Time // idle since
	used  bool      // it has served an answer

	roomFor *member // evicted to make room for a connection to this member; nil: not evicted, or for no member

	// Time limits of writing a statement. The owner may change them during the write.
	mu      sync.Mutex
	sendBy  core.Time // nothing is written after it, 0 = no limit
	writing *job      // whose statement is being written
	writeBy core.Time // limit of that write
}

var (
	errStopped  = errors.New("stopped")
	errClosed   = errors.New("closed")
	errStalled  = errors.New("answer stalled")
	errSpoilt   = errors.New("answer out of order")
	errNotTaken = errors.New("answer taken by nobody")
	errClient   = errors.New("client takes no more of the answer")
	errNoBuffer = errors.New("out of buffers")
)

var past = time.Unix(1, 0)

func newConn(p *Pool, m *member) *conn { return &conn{p: p, m: m, addr: m.addr} }

// start connects in the background.
func (c *conn) start() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), c.p.conf.Load().ConnectTimeout)
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
			c.p.core.Post(func() { c.p.failed(c, result, err) })
			return
		}
		c.p.core.Post(func() {
			c.m.making--
			c.p.ready(c)
		})
		left := c.serve()
		c.p.core.Post(func() { c.p.ended(c, left) })
	}()
}

// close asks the goroutine to end.
func (c *conn) close() { c.Post(order{}) }

// forsake makes the close that follows drop the data that the member's host has not yet received. Otherwise the system
// could still deliver a statement to a member that is cut off or hangs, seconds after its attempt was abandoned and
// perhaps retried.
func (c *conn) forsake() {
	if t, ok := c.Conn.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
}

// limit sets until when statements may be written on the connection, 0 = no limit. It also applies to a write under way.
func (c *conn) limit(t core.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendBy = t
	if c.writing != nil && t != 0 && t < c.writeBy {
		c.writeBy = t
		_ = c.SetWriteDeadline(c.p.core.At(t))
	}
}

// withdraw stops the write of j's statement, unless it has been written whole.
func (c *conn) withdraw(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing == j {
		_ = c.SetWriteDeadline(past)
	}
}

// begin reports whether a job may still be written, as time has passed since its decision, and sets the deadline of the
// write; a statement that is not written whole by then is not finished. It is called right before the write: whatever
// ends the job from here on cuts the write short.
func (c *conn) begin(j *job, until core.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a := j.attempt; a != nil && a.WriteBy != 0 {
		until = min(until, a.WriteBy-boundMargin)
	}
	if c.sendBy != 0 {
		until = min(until, c.sendBy)
	}
	if j.over() || c.p.core.Now() >= until {
		return false
	}
	c.writing, c.writeBy = j, until
	_ = c.SetWriteDeadline(c.p.core.At(until))
	return true
}

// written marks the end of the write that begin allowed.
func (c *conn) written() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = nil
}

// connect dials the member and completes the startup before ctx ends. It returns 0 and nil on success.
func (c *conn) connect(ctx context.Context) (decide.Result, error) {
	nc, err := c.p.dial(ctx, c.addr)
	switch {
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.EADDRNOTAVAIL):
		return decide.NotSent, err // a shortage in this process or host, not a fault of the member
	case err != nil:
		return decide.Unreachable, err
	}
	c.Conn = interruptible.New[order](nc, readSize)
	until, _ := ctx.Deadline()
	_ = nc.SetDeadline(until)
	if _, err := nc.Write(pgwire.AppendStartup(nil, c.p.conf.Load().User, c.p.conf.Load().Database)); err != nil {
		return decide.Unreachable, err
	}
	var a answer
	if err := c.read(&a, func() error { return context.DeadlineExceeded }); err != nil && a.code == "" {
		return decide.Unreachable, err
	}
	if a.code != "" {
		return outcomeOf(&a), errors.New("member refused the startup: SQLSTATE " + a.code)
	}
	if c.Reader.Buffered() > 0 {
		return decide.Unreachable, errSpoilt
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
			case o.stall: // check of an answer that has ended since
			case !o.stop:
				job = o.job
			case o.job == job: // stopped before its first byte
				c.done(job, core.Outcome{Result: decide.NotSent})
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
			if !c.run(j) {
				return c.CloseAll()
			}
			continue
		}
		if _, err := c.Reader.Peek(1); !errors.Is(err, interruptible.ErrInterrupted) {
			return c.CloseAll() // closed, or a message out of turn: a fatal error of the member, or noise
		}
	}
}

// done reports a job's outcome and that the connection is free.
func (c *conn) done(j *job, o core.Outcome) {
	c.p.core.Post(func() {
		c.p.finish(j, o)
		c.p.ready(c)
	})
}

// run carries out one job and reports whether the connection may be reused.
func (c *conn) run(j *job) bool {
	a := answer{job: j}
	o := c.exchange(j, &a)
	switch {
	case o.Result == decide.NotSent && !a.partly: // no byte of it was written
		c.done(j, o)
		return true
	case a.buf == nil:
	case o.Result == decide.Served && j.attempt != nil:
		o.Body = a.buf
	default:
		a.buf.Release()
	}
	if a.ready && !a.drained && c.Reader.Buffered() == 0 { // otherwise there are bytes beyond the answer
		c.done(j, o)
		return true
	}
	// The connection is closed before the outcome is reported: the request's
	// next attempt may follow at once, and two must never be under way.
	if a.partly || o.Result == decide.TimedOut || o.Result == decide.Cancelled {
		c.forsake()
	}
	_ = c.Conn.Conn.Close()
	c.p.core.Post(func() { c.p.finish(j, o) })
	return false
}

// write writes a job's statement whole. If it could not, it returns false and the outcome: the member has not run it.
func (c *conn) write(j *job, a *answer) (core.Outcome, bool) {
	query, until := net.Buffers{pgwire.Append(nil, 'Q', "SHOW health\x00")}, c.p.core.Now()+c.p.conf.Load().ConnectTimeout
	if j.attempt != nil {
		until = j.attempt.Deadline
		wait := max((until - c.p.core.Now()).Milliseconds(), 1)
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
	if c.p.beforeWrite != nil {
		c.p.beforeWrite(j)
	}
	if !c.begin(j, until) {
		return core.Outcome{Result: decide.NotSent}, false
	}
	n, err := query.WriteTo(c.Conn.Conn)
	c.written()
	switch {
	case err == nil || n == size: // written whole: the read shows its outcome
		return core.Outcome{}, true
	case errors.Is(err, os.ErrDeadlineExceeded) && c.p.core.Now() < until: // withdrawn, or limited to an earlier time
		a.partly = n > 0
		return core.Outcome{Result: decide.NotSent}, false
	}
	a.partly = true
	return core.Outcome{Result: decide.Unreachable}, false
}

// exchange writes a job's statement and reads the whole answer.
func (c *conn) exchange(j *job, a *answer) (o core.Outcome) {
	if o, ok := c.write(j, a); !ok {
		return o
	}
	why := decide.Reset
	err := c.read(a, func() error {
		for _, o := range c.TakeMessages() {
			switch {
			case o.job == nil:
				return errClosed
			case o.job != j:
			case o.stop:
				why = o.why
				return c.drain(a)
			case o.stall:
				a.watched = false
				left := a.patience() - min(c.SilentFor(), time.Since(a.last))
				if left <= 0 {
					return errStalled
				}
				c.look(a, left)
			}
		}
		return nil
	})
	if a.done != nil { // the front waits for the end of the streamed answer
		defer func() {
			if o.Result != decide.Served {
				a.tail = nil
				if err == nil {
					err = errors.New("error " + a.code)
				}
				c.p.cut.Info(c.p.log, "long answer broke off", "member", c.m.id, "bytes", a.passed, "err", err)
			}
			a.done(a.tail)
		}()
	}
	switch {
	case errors.Is(err, errClient), errors.Is(err, errNotTaken):
		return core.Outcome{Result: decide.Cancelled}
	case errors.Is(err, pgwire.ErrTooLong), errors.Is(err, pgwire.ErrMalformed), errors.Is(err, errSpoilt), errors.Is(err, errStalled),
		errors.Is(err, errNoBuffer):
		// The member is up and has run the statement; only the answer is invalid, so nothing that it reported is used.
		c.p.spoilt.Warn(c.p.log, "invalid answer from member", "member", c.m.id, "err", err)
		return core.Outcome{Result: decide.Errored}
	case a.done != nil && a.code != "": // whatever the code says, the statement has run
		o.Result = decide.Errored
	case a.code != "" || a.complete:
		o.Result = outcomeOf(a)
		c.guess(a)
	default:
		o.Result = why
		o.Reused = why == decide.Reset && c.used && !a.begun
	}
	c.used = true
	o.Role, o.HasPosition, o.Position, o.Report = a.role, a.stamped, a.position, a.report
	if j.attempt == nil && o.Result == decide.Served {
		c.report(&o.Report, a.row)
	}
	return o
}

// drain ends an attempt that was abandoned. Bytes that its member has sent by then are still read: the answer may be
// complete, and a role or a position is useful. The read continues over these bytes and ends there without waiting.
func (c *conn) drain(a *answer) error {
	if a.done != nil { // a streamed answer whose client has gone
		return errStopped
	}
	have, _ := c.Reader.Peek(c.Reader.Buffered())
	rest := append(bytes.Clone(have), waiting(c.Conn.Conn, pgwire.LargeBufSize)...)
	a.drained = true
	c.Reader.Reset(io.MultiReader(bytes.NewReader(rest), stopped{}))
	return nil
}

// waiting reads the unread bytes of a socket, up to about most, without waiting for more.
func waiting(nc net.Conn, most int) (got []byte) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	part := make([]byte, readSize)
	for n := 1; n > 0 && len(got) < most; got = append(got, part[:max(n, 0)]...) {
		n = 0
		_ = raw.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), part, syscall.MSG_DONTWAIT) })
	}
	return got
}

// stopped marks the end of the bytes that were there when an attempt was abandoned.
type stopped struct{}

func (stopped) Read([]byte) (int, error) { return 0, errStopped }

// guess sets a position for a write whose answer broke off after CommandComplete and before the position of its commit,
// if members report positions: the write is answered as done, and later reads of its session must see it. The present
// time is safe, as the commit was made before.
func (c *conn) guess(a *answer) {
	if a.job.attempt == nil || !a.complete || a.ready || a.stamped || !c.p.stamps.Load() {
		return
	}
	if k := a.job.attempt.Request.Class; k != nil && k.Writes() {
		a.stamped, a.position = true, c.p.core.Now()
	}
}

// report reads the figures of a load report that the settings name.
func (c *conn) report(r *decide.Report, text []byte) {
	pgwire.ForEachLoadValue(text, func(name string, v float64) {
		for _, n := range c.p.conf.Load().ReportFigures {
			if n == name {
				settings.SetReportFigure(r, 0, name, v)
			}
		}
	})
}

// outcomeOf maps an answer's SQLSTATE to a result, as the protocol defines it.
func outcomeOf(a *answer) decide.Result {
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
	buf     *pgwire.Buf // holds RowDescription, DataRow and CommandComplete as received; nil during the startup
	job     *job        // that it answers; nil during the startup
	drained bool        // abandoned: only bytes that had arrived are read
	partly  bool        // the statement was not written whole; some of it may have been
	watched bool        // a check for a stall is due
	begun   bool        // a byte of it arrived
	row     []byte      // the value, within buf
	described,
	complete bool // RowDescription, CommandComplete arrived
	code  string // SQLSTATE of an ErrorResponse
	ready bool   // ReadyForQuery arrived

	// Of a streamed answer.
	done   func(tail []byte) // tells the front that the answer has ended; nil: the answer is buffered whole
	tail   []byte            // CommandComplete
	passed int               // bytes of the value that were read
	last   time.Time         // when a part of it was last passed on

	role     decide.Role
	stamped  bool
	position core.Time
	report   decide.Report
}

// read reads messages up to ReadyForQuery. It fails on anything but exactly one
// answer: no part of an invalid answer may be trusted.
func (c *conn) read(a *answer, woken func() error) error {
	var small [1 << 10]byte
	for n := range answerParts {
		if n > 0 {
			c.watch(a, 5)
		} else if _, err := c.Peek(1, woken); err != nil { // no limit on pauses until the answer begins
			return err
		}
		a.begun = true
		head, err := c.Peek(5, woken)
		if err != nil {
			return err
		}
		if a.large(head) {
			if err := c.pass(a, woken); err != nil {
				return err
			}
			continue
		}
		typ, n, err := pgwire.Header(head)
		if err != nil {
			return err
		}
		body := small[:]
		keep := a.job != nil && a.done == nil && (typ == 'T' || typ == 'D' || typ == 'C')
		switch {
		case keep:
			if err := c.room(a, typ, 5+n); err != nil {
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
		c.watch(a, n)
		if err := c.ReadFull(body, woken); err != nil {
			return err
		}
		if err := c.take(a, typ, body); err != nil || a.ready {
			return err
		}
	}
	return errSpoilt
}

// room makes sure that the answer's buffer has room for a message of n bytes and for those that follow it.
func (c *conn) room(a *answer, typ byte, n int) error {
	if typ == 'D' { // a row must not move later, so room for CommandComplete is needed now
		n += tagMost
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
		if a.buf = c.p.bufs.Get(n, 0); a.buf == nil {
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

const tagMost = 128 // bytes of CommandComplete

const readyForQuery = "Z\x00\x00\x00\x05I"

// patience returns how long the member may pause within the answer.
func (a *answer) patience() time.Duration {
	if a.done != nil {
		return passWait
	}
	return stallWait
}

// large reports whether head begins a row that must be streamed. Only answers to PostgreSQL clients can be.
func (a *answer) large(head []byte) bool {
	if a.job == nil || a.job.attempt == nil || !a.described || a.row != nil || a.code != "" || !pgwire.IsLargeRow(head) {
		return false
	}
	_, ok := a.job.attempt.Request.Call.(*pgwire.Statement)
	return ok
}

// pass streams a row to the client as it arrives, after the messages before it. Once it starts, no other attempt can
// answer the request.
func (c *conn) pass(a *answer, woken func() error) error {
	if a.drained { // abandoned: the rest of the row will not arrive
		return errStopped
	}
	c.watch(a, pgwire.RowHeaderSize)
	head, err := c.Peek(pgwire.RowHeaderSize, woken)
	if err != nil {
		return err
	}
	left, err := pgwire.LargeRowValueLen(head)
	if err != nil {
		return err
	}
	s := pgwire.NewStream()
	c.p.core.AnswerStarted(a.job.attempt, s)
	w, done := s.AwaitTaker()
	if w == nil {
		if err := woken(); err != nil {
			return err
		}
		if a.drained { // stopped meanwhile
			return errStopped
		}
		return errNotTaken
	}
	a.done, a.row = done, head[:0]
	a.buf.B = append(a.buf.B, head...)
	_, _ = c.Reader.Discard(len(head))
	if _, err := w.Write(a.buf.B); err != nil {
		return errClient
	}
	// Large chunks take a quarter of the CPU time of small ones; they are used while enough buffers are free.
	if large := c.p.bufs.Get(chunkSize, c.p.keep); large != nil {
		a.buf.Release()
		a.buf = large
	}
	chunk := a.buf.B[:min(cap(a.buf.B), chunkSize)]
	a.last = time.Now()
	for left > 0 {
		c.watch(a, 1)
		n, err := c.Reader.Read(chunk[:min(left, len(chunk))])
		if n > 0 {
			left -= n
			a.passed += n
			if _, err := w.Write(chunk[:n]); err != nil {
				return errClient
			}
			a.last = time.Now()
		}
		if errors.Is(err, interruptible.ErrInterrupted) {
			err = woken()
		}
		if err != nil {
			return err
		}
	}
	a.buf.Release()
	a.buf = nil
	return nil
}

// watch schedules a check for a stall, unless one is due or the next n bytes of the answer are buffered.
func (c *conn) watch(a *answer, n int) {
	if a.job == nil || a.watched || c.Reader.Buffered() >= n {
		return
	}
	c.look(a, a.patience())
}

// look makes the goroutine check for a stall after the given time.
func (c *conn) look(a *answer, after time.Duration) {
	a.watched = true
	j := a.job
	time.AfterFunc(after, func() { c.Post(order{job: j, stall: true}) })
}

// take handles one message of an answer. It accepts RowDescription, DataRow and
// CommandComplete in this order, or an ErrorResponse; then ReadyForQuery.
func (c *conn) take(a *answer, typ byte, body []byte) (err error) {
	over := a.complete || a.code != ""
	switch {
	case typ == 'S':
		c.status(a, body)
	case typ == 'N':
	case typ == 'Z' && len(body) == 1 && (over || a.job == nil):
		a.ready = true
	case typ == 'E' && !over:
		if a.code, err = pgwire.ErrorCode(body); err == nil && a.described && a.done == nil && !outcomeOf(a).MayHaveRun() {
			err = errSpoilt
		}
	case a.job == nil && (typ == 'R' || typ == 'K'):
	case typ == 'T' && !over && !a.described:
		a.described, err = true, pgwire.CheckRowDescription(body)
	case typ == 'D' && !over && a.described && a.row == nil:
		a.row, err = pgwire.DataRowValue(body)
	case typ == 'C' && !over && a.row != nil:
		a.complete, err = true, pgwire.CheckCommandTag(body)
		if a.done != nil {
			a.tail = pgwire.Append(make([]byte, 0, len(body)+11), 'C', string(body))
		}
	default:
		err = errSpoilt
	}
	return err
}

// status handles a ParameterStatus: the member's role, log position or load report.
func (c *conn) status(a *answer, body []byte) {
	switch name, value := pgwire.ParseParameterStatus(body); name {
	case "recovery":
		a.role = decide.Replica
		if value == "off" {
			a.role = decide.Primary
		}
	case "lsn_ms":
		if ms, err := strconv.ParseInt(value, 10, 64); err == nil && ms > 0 && ms < 1<<43 {
			a.stamped, a.position = true, core.Time(ms)*time.Millisecond
			c.p.stamps.Store(true)
		}
	case "health":
		c.report(&a.report, []byte(value))
	}
}
