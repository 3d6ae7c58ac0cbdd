package pgmember

import (
	"bytes"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"reachwind/decide"
	"reachwind/internal/pgwire"
)

// rowAnswer is a member's whole answer with the given value.
func rowAnswer(value string) []byte {
	row := "\x00\x01" + string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))) + value
	b := pgwire.Append(pgwire.Append(nil, 'T', description), 'D', row)
	return pgwire.AppendReadyForQuery(append(pgwire.Append(b, 'C', "SELECT 1\x00"), roleAndPosition...))
}

// errorAnswer is a member's whole answer with the given SQLSTATE.
func errorAnswer(code string) []byte {
	return pgwire.AppendReadyForQuery(pgwire.AppendError(nil, "ERROR", code, "no", ""))
}

// answerStatement answers the empty queries that precede a statement at once, and the statement with answer.
func answerStatement(t *testing.T, c net.Conn, answer []byte) {
	for readQuery(t, c) == "\x00" {
		_, _ = c.Write(markerAnswer)
	}
	_, _ = c.Write(answer)
}

// TestSurplusInTransit guards against taking a second copy of an earlier answer, which was still on its way when the next
// statement was written, for the answer to that statement.
func TestSurplusInTransit(t *testing.T) {
	for name, tc := range map[string]struct {
		surplus []byte
		class   *decide.Class
	}{
		"copy of a row":            {rowAnswer("another item"), readClass},
		"copy, then a write":       {rowAnswer("another item"), writeClass},
		"copy of a refusal":        {errorAnswer("53300"), writeClass},
		"two copies":               {bytes.Repeat(rowAnswer("another item"), 2), readClass},
		"copy of a large row":      {rowAnswer(strings.Repeat("v", 1<<20)), readClass},
		"copy of a probe's report": {rowAnswer("x0=1000.5,x1=1"), readClass},
		"copy of the startup":      {pgwire.AppendReadyForQuery(pgwire.Append(nil, 'R', "\x00\x00\x00\x00")), readClass},
		"copy of the marker":       {markerAnswer, readClass},
		"status only":              {roleAndPosition, readClass},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSocketFixture(t)
			_, c := w.idleConn()
			_, s := w.request(tc.class, "")
			waitUnread(t, c, 1) // the gateway has written: the surplus crosses its statement
			_, _ = c.Write(tc.surplus)
			answerStatement(t, c, rowAnswer("the item"))
			if e := w.outcome(); e.Result != decide.Served {
				t.Errorf("outcome %+v", e)
			}
			w.onOwner(func() {
				if len(s.bodies) != 1 || !strings.Contains(s.bodies[0], "the item") {
					t.Errorf("answers %q, want that to the statement", s.bodies)
				}
			})
			if n, err := c.Read(make([]byte, 1)); err == nil {
				t.Errorf("%d bytes on a connection with a surplus, want its end", n)
			}
		})
	}
}

// TestSurplusBeforeProbe guards against taking a second copy of an earlier answer for the answer to a probe.
func TestSurplusBeforeProbe(t *testing.T) {
	w := newSocketFixture(t)
	_, c := w.idleConn()
	w.onOwner(func() { w.module.actions = append(w.module.actions, decide.Action{Kind: decide.Probe, Member: "m"}) })
	w.core.List(decide.ListError, nil)
	waitUnread(t, c, 1)
	_, _ = c.Write(errorAnswer("57P03"))
	answerStatement(t, c, rowAnswer("x0=1000.5"))
	waitFor(t, func() (ended bool) {
		w.onOwner(func() { ended = len(w.module.probes) == 1 && w.module.probes[0].Result == decide.Served })
		return ended
	})
}

// TestNoAnswerFromNoise guards against an answer that is put together from noise and surplus messages of any kind, and against
// reading such bytes without end.
func TestNoAnswerFromNoise(t *testing.T) {
	for name, tc := range map[string]struct {
		sent   []byte
		result decide.Result
	}{
		"noise":                     {[]byte("\x9f\x03 what is this, and where does it end? \r\n"), decide.Errored},
		"half a message":            {rowAnswer("another item")[:40], decide.Errored},
		"messages without end":      {bytes.Repeat(pgwire.AppendParameterStatus(nil, "more", "and more"), maxSurplusMessages+1), decide.Errored},
		"huge row":                  {[]byte("D\xb0\x00\x00\x00"), decide.Errored},
		"marker's answer not whole": {append(pgwire.Append(nil, 'I'), rowAnswer("another item")...), decide.Errored},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSocketFixture(t)
			_, c := w.idleConn()
			_, s := w.request(readClass, "")
			waitUnread(t, c, 1)
			_, _ = c.Write(tc.sent)
			if e := w.outcome(); e.Result != tc.result {
				t.Errorf("outcome %+v, want %d", e, tc.result)
			}
			w.onOwner(func() {
				if len(s.bodies) != 0 {
					t.Errorf("answers %q, want none", s.bodies)
				}
			})
		})
	}
}

// TestFatalErrorBeforeMarker guards against losing the reason with which a member ends a session, and against taking an error
// after which the session goes on for one.
func TestFatalErrorBeforeMarker(t *testing.T) {
	fatal := pgwire.AppendError(nil, "FATAL", "53300", "no", "")
	for name, tc := range map[string]struct {
		sent   []byte
		result decide.Result
	}{
		"fatal":               {fatal, decide.Full},
		"fatal, then more":    {append(bytes.Clone(fatal), roleAndPosition...), decide.Reset},
		"copy, then the end":  {errorAnswer("53300"), decide.Reset},
		"error, then the end": {pgwire.AppendError(nil, "ERROR", "53300", "no", ""), decide.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSocketFixture(t)
			_, c := w.idleConn()
			w.request(writeClass, "")
			readQuery(t, c)
			readQuery(t, c)
			_, _ = c.Write(tc.sent)
			_ = c.Close()
			if e := w.outcome(); e.Result != tc.result {
				t.Errorf("outcome %+v, want %d", e, tc.result)
			}
		})
	}
}

// TestPauseAfterMarker guards against taking a member for stuck that answers the marker in pieces and then works on the
// statement.
func TestPauseAfterMarker(t *testing.T) {
	w := newSocketFixture(t)
	l, c := w.idleConn()
	w.request(readClass, "")
	readQuery(t, c)
	readQuery(t, c)
	for _, b := range markerAnswer {
		_, _ = c.Write([]byte{b})
		waitRead(t, l)
	}
	time.Sleep(2 * stallTimeout)
	_, _ = c.Write(rowAnswer("the item"))
	if e := w.outcome(); e.Result != decide.Served {
		t.Errorf("outcome %+v", e)
	}
	w.onOwner(func() {
		if n := len(w.pool.members["m"].idle) + len(w.pool.members["m"].busy); n != 1 {
			t.Errorf("%d connections, want the one that has served", n)
		}
	})
}

// TestPositionOfMarker guards against taking a position that came before a write's own answer for the write's commit.
func TestPositionOfMarker(t *testing.T) {
	w := newSocketFixture(t)
	_, c := w.idleConn()
	w.request(writeClass, "")
	readQuery(t, c)
	readQuery(t, c)
	_, _ = c.Write(pgwire.AppendReadyForQuery(append(pgwire.Append(nil, 'I'), roleAndPosition...)))
	_, _ = c.Write(servedAnswer)
	_ = c.Close()
	if e := w.outcome(); e.Result != decide.Served || e.HasPosition && e.Position == 1767225600123*time.Millisecond {
		t.Errorf("outcome %+v", e)
	}
}
