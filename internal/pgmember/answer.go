package pgmember

import (
	"bytes"
	"errors"
	"io"
	"net"
	"strconv"
	"syscall"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/pgwire"
	"reachwind/internal/settings"
)

const maxAnswerMessages = 64 // messages in one answer

var (
	errStopped       = errors.New("stopped")
	errClosed        = errors.New("closed")
	errInvalidAnswer = errors.New("answer out of order")
	errUnclaimed     = errors.New("answer taken by nobody")
	errClientWrite   = errors.New("client takes no more of the answer")
	errNoBuffer      = errors.New("out of buffers")
)

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
	stallTimer    *time.Timer // has the last check made; nil: none was needed
	begun         bool        // a byte of it arrived
	surplus       surplus     // what preceded it

	betweenMessages bool   // the next message has not begun, and the member may take its time
	row             []byte // the value, within buf
	described,
	complete bool // RowDescription, CommandComplete arrived
	code  string // SQLSTATE of an ErrorResponse
	ready bool   // ReadyForQuery arrived

	// Of a streamed answer.
	client        pgwire.StreamWriter // takes the parts of the answer
	endStream     func(tail []byte)   // tells the front that the answer has ended; nil: the answer is buffered whole
	tail          []byte              // CommandComplete
	streamedBytes int                 // bytes of the value that were read
	lastStreamed  time.Time           // when a part of it was last passed on
	silent        bool                // its member has been silent for silenceNotice

	role        decide.Role
	hasPosition bool
	position    core.Time
	report      decide.Report
}

// readAnswer reads messages up to ReadyForQuery. It fails on anything but exactly one
// answer: no part of an invalid answer may be trusted.
func (c *conn) readAnswer(a *answer, onInterrupt func() error) error {
	var small [1 << 10]byte
	if err := c.awaitAnswer(a, onInterrupt); err != nil {
		return err
	}
	a.begun = true
	for range maxAnswerMessages {
		c.watchForStall(a, messageHeaderSize)
		head, err := c.Peek(messageHeaderSize, onInterrupt)
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
			if err := c.reserveBuffer(a, typ, messageHeaderSize+n); err != nil {
				return err
			}
			at := len(a.buf.B)
			a.buf.B = append(a.buf.B, head...)[:at+messageHeaderSize+n]
			body = a.buf.B[at+messageHeaderSize:]
		case n > pgwire.MaxSmallMessage:
			return pgwire.ErrTooLong
		case n > len(body):
			body = make([]byte, n) // rare: a long error or parameter
		default:
			body = body[:n]
		}
		_, _ = c.Reader.Discard(messageHeaderSize)
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

// awaitAnswer waits for the first byte of an answer.
func (c *conn) awaitAnswer(a *answer, onInterrupt func() error) error {
	if a.job != nil {
		return c.awaitSyncMarker(a, onInterrupt)
	}
	_, err := c.peekMessage(a, onInterrupt)
	return err
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
