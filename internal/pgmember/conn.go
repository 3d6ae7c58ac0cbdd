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

// Dialer opens a connection.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Dial is the Dialer for TCP.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", addr)
}

const (
	readSize    = 4 << 10
	chunkSize   = 32 << 10
	answerParts = 64                     // messages in one answer
	stallWait   = 100 * time.Millisecond // a member that pauses for so long within an answer won't end it
	passWait    = 5 * time.Second        // the same for one that passes through, which cannot be tried elsewhere
)

// order is a message to a connection: run job, stop it, look for a stall in
// its answer, or with no job close.
type order struct {
	job   *job
	stop  bool
	stall bool
	why   decide.Result
}

// conn is one connection. Its goroutine runs serve; the pool's fields are m and since.
type conn struct {
	*interruptible.Conn[order]
	p     *Pool
	m     *member
	addr  string
	since core.Time // idle since
	used  bool      // some answer came on it

	roomFor *member // the pool's: told to end so that a connection to this member may be made; nil: not for one

	// What bounds the write of a statement. The owner may change it while the write is on.
	mu      sync.Mutex
	sendBy  core.Time // nothing is written after, 0 = no bound
	writing *job      // whose statement is being written
	writeBy core.Time // the write's own bound
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
		if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF) { // may be chance: if the member is down, the next is refused
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

// forsake has the close that follows drop what the member's side has not yet taken in. Else the system would still
// deliver a statement to a member that is cut off or hangs, seconds after its attempt was given up and perhaps made anew.
func (c *conn) forsake() {
	if t, ok := c.Conn.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = t.SetLinger(0)
	}
}

// limit sets until when a statement may be written on the connection, 0 = always. It holds for one that is being
// written too.
func (c *conn) limit(t core.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendBy = t
	if c.writing != nil && t != 0 && t < c.writeBy {
		c.writeBy = t
		_ = c.SetWriteDeadline(c.p.core.At(t))
	}
}

// withdraw has no byte of j's statement written from now on, unless it has been written whole.
func (c *conn) withdraw(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing == j {
		_ = c.SetWriteDeadline(past)
	}
}

// begin tells whether a job may be written, whose decision may be old by now, and bounds its write, which must end by
// then or never. It is asked right before the write: what ends the job from here on cuts the write short.
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

// written ends what begin began.
func (c *conn) written() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = nil
}

// connect dials and passes the startup, all within the time for connecting.
func (c *conn) connect(ctx context.Context) (decide.Result, error) {
	nc, err := c.p.dial(ctx, c.addr)
	switch {
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.EADDRNOTAVAIL):
		return decide.NotSent, err // for want of something here: no fault of the member's
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
		return outcomeOf(&a), errors.New("turned away: " + a.code)
	}
	if c.Reader.Buffered() > 0 {
		return decide.Unreachable, errSpoilt
	}
	return 0, nc.SetDeadline(time.Time{})
}

// serve carries out orders until the connection ends, and returns those it did not begin.
func (c *conn) serve() []order {
	var job *job
	for {
		// At a message boundary. The read also sees the member close.
		orders := c.TakeMessages()
		for i, o := range orders {
			switch {
			case o.job == nil:
				if job != nil {
					orders = append(orders, order{job: job})
				}
				return append(c.CloseAll(), orders[i:]...)
			case o.stall: // of an answer that has ended since
			case !o.stop:
				job = o.job
			case o.job == job: // stopped before its first byte
				c.done(job, core.Outcome{Result: decide.NotSent})
				job = nil
			}
		}
		if job != nil {
			if !c.NoPendingInput() {
				// What has come belongs to no request, and would be taken for this one's answer; or the member
				// has closed. The job begins anew on another connection.
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
			return c.CloseAll() // closed, or a word out of turn, which no member means well
		}
	}
}

// done reports a job and that the connection is free.
func (c *conn) done(j *job, o core.Outcome) {
	c.p.core.Post(func() {
		c.p.finish(j, o)
		c.p.ready(c)
	})
}

// run carries out one job and tells whether the connection may be used again.
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
	if a.ready && !a.drained && c.Reader.Buffered() == 0 { // else more came than belongs to the answer
		c.done(j, o)
		return true
	}
	// The connection is closed before the outcome is told: the next attempt of
	// this request may follow at once, and two must never be out.
	if a.partly || o.Result == decide.TimedOut || o.Result == decide.Cancelled {
		c.forsake()
	}
	_ = c.Conn.Conn.Close()
	c.p.core.Post(func() { c.p.finish(j, o) })
	return false
}

// write writes a job's statement whole. If it could not, it returns false and the outcome: the member never ran it.
func (c *conn) write(j *job, a *answer) (core.Outcome, bool) {
	query, until := net.Buffers{pgwire.Append(nil, 'Q', "SHOW health\x00")}, c.p.core.Now()+c.p.conf.Load().ConnectTimeout
	if j.attempt != nil {
		until = j.attempt.Deadline
		wait := max((until - c.p.core.Now()).Milliseconds(), 1)
		switch c := j.attempt.Request.Call.(type) {
		case *pgwire.Statement: // as it came
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
	case err == nil || n == size: // whole: whatever becomes of it shows in the read
		return core.Outcome{}, true
	case errors.Is(err, os.ErrDeadlineExceeded) && c.p.core.Now() < until: // withdrawn, or not to be written so late
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
	if a.done != nil { // the client's side waits for the end
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
		// The member has run it, and is there: but for this answer nothing is amiss. Nor is what it tells believed.
		c.p.spoilt.Warn(c.p.log, "answer spoilt", "member", c.m.id, "err", err)
		return core.Outcome{Result: decide.Errored}
	case a.done != nil && a.code != "": // whatever the code says, it has run
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

// drain ends an attempt that was given up. What its member has told by then is still read: the answer may be whole,
// and a role or a position is worth knowing. The read goes on over that and ends there, without waiting for more.
func (c *conn) drain(a *answer) error {
	if a.done != nil { // it is passing through, and its client has gone
		return errStopped
	}
	have, _ := c.Reader.Peek(c.Reader.Buffered())
	rest := append(bytes.Clone(have), waiting(c.Conn.Conn, pgwire.LargeBufSize)...)
	a.drained = true
	c.Reader.Reset(io.MultiReader(bytes.NewReader(rest), stopped{}))
	return nil
}

// waiting reads what has come on a socket and was not read, up to about most bytes, without waiting for more.
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

// stopped is the end of what was there when an attempt was given up.
type stopped struct{}

func (stopped) Read([]byte) (int, error) { return 0, errStopped }

// guess stands in for the commit of a write whose answer broke off after CommandComplete and before it was told, where
// members tell it: the write is answered, and its session's reads must see it. It was committed by now.
func (c *conn) guess(a *answer) {
	if a.job.attempt == nil || !a.complete || a.ready || a.stamped || !c.p.stamps.Load() {
		return
	}
	if k := a.job.attempt.Request.Class; k != nil && k.Writes() {
		a.stamped, a.position = true, c.p.core.Now()
	}
}

// report reads the figures that the settings name.
func (c *conn) report(r *decide.Report, text []byte) {
	pgwire.ForEachLoadValue(text, func(name string, v float64) {
		for _, n := range c.p.conf.Load().ReportFigures {
			if n == name {
				settings.SetReportFigure(r, 0, name, v)
			}
		}
	})
}

// outcomeOf maps an answer as the protocol's table does.
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

// answer is what came back so far.
type answer struct {
	buf     *pgwire.Buf // takes RowDescription, DataRow and CommandComplete as they are; nil at the startup
	job     *job        // that it answers
	drained bool        // it was given up, and no more is read than had come
	partly  bool        // its statement was not written whole, but perhaps some of it
	watched bool        // a stall will be noticed
	begun   bool        // a byte of it came
	row     []byte      // the value, within buf
	described,
	complete bool // RowDescription, CommandComplete came
	code  string // of an ErrorResponse
	ready bool   // ReadyForQuery came

	// Of one that passes through.
	done   func(tail []byte) // tells the client's side of the end; nil: it is held whole
	tail   []byte            // CommandComplete
	passed int               // bytes of the value
	last   time.Time         // when some of it had been passed on

	role     decide.Role
	stamped  bool
	position core.Time
	report   decide.Report
}

// read reads messages through ReadyForQuery. What is not exactly one answer
// ends it: a member that writes noise must not be believed in any part of it.
func (c *conn) read(a *answer, woken func() error) error {
	var small [1 << 10]byte
	for n := range answerParts {
		if n > 0 {
			c.watch(a, 5)
		} else if _, err := c.Peek(1, woken); err != nil { // the member may take its time until here
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

// room sees that the answer's buffer takes a message of n bytes and what follows it.
func (c *conn) room(a *answer, typ byte, n int) error {
	if typ == 'D' { // a row stays where it is: CommandComplete finds its room
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

// patience is how long the member may pause within the answer.
func (a *answer) patience() time.Duration {
	if a.done != nil {
		return passWait
	}
	return stallWait
}

// large tells whether head begins a row that must pass through. One that answers a call of another protocol can't.
func (a *answer) large(head []byte) bool {
	if a.job == nil || a.job.attempt == nil || !a.described || a.row != nil || a.code != "" || !pgwire.IsLargeRow(head) {
		return false
	}
	_, ok := a.job.attempt.Request.Call.(*pgwire.Statement)
	return ok
}

// pass passes a row on as it comes, and what came before it. From its begin on no other attempt can answer.
func (c *conn) pass(a *answer, woken func() error) error {
	if a.drained { // given up, and no more of it will come
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
		if a.drained { // it was stopped
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
	// Large chunks take a quarter of the work of small ones, and are had while there are buffers enough.
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

// watch has a member noticed that stalls before the next n bytes of an answer it has begun.
func (c *conn) watch(a *answer, n int) {
	if a.job == nil || a.watched || c.Reader.Buffered() >= n {
		return
	}
	c.look(a, a.patience())
}

// look has the goroutine look for a stall after so long.
func (c *conn) look(a *answer, after time.Duration) {
	a.watched = true
	j := a.job
	time.AfterFunc(after, func() { c.Post(order{job: j, stall: true}) })
}

// take takes one message of an answer: RowDescription, DataRow and
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

// status takes a ParameterStatus.
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
