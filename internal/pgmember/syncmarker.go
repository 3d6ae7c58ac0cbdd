package pgmember

import (
	"errors"

	"reachwind/internal/pgwire"
)

// syncMarker is an empty query. It goes out in one write with the statement that follows it. A member answers it at once
// and does nothing for it, so its answer separates what the member still had to send on the connection from the answer to
// the statement.
const syncMarker = "Q\x00\x00\x00\x05\x00"

const (
	messageHeaderSize  = 5   // bytes of the type and the length of a message
	emptyQueryResponse = 'I' // type of the message that answers an empty query
)

// Limits of what may precede the answer to a statement.
const (
	maxSurplusMessages = 4 * maxAnswerMessages
	maxSurplusBytes    = 4 * pgwire.MaxRowSize
)

// errSurplus reports that a member sent more than the limits before the answer to a statement.
var errSurplus = errors.New("too much beyond earlier answers")

// surplus is the state of reading what precedes the answer to a statement: what belongs to no statement, such as a second
// copy of an earlier answer, and the answer to the marker.
type surplus struct {
	messages, bytes int    // that were read, the answer to the marker included
	unwanted        int    // of the messages, those that do not belong to the answer to the marker
	inMarker        bool   // EmptyQueryResponse was read, its ReadyForQuery not yet
	passed          bool   // the answer to the marker was read
	fatalCode       string // SQLSTATE of the last message, if that is an ErrorResponse that ends the session
}

// awaitSyncMarker reads and discards all that precedes the answer to the job's statement, and returns once the first byte
// of that answer is buffered. It uses nothing of what it discards, except that a fatal error which ends the connection is
// the answer.
func (c *conn) awaitSyncMarker(a *answer, onInterrupt func() error) error {
	s := &a.surplus
	for {
		head, err := c.peekMessage(a, onInterrupt)
		if err != nil {
			a.code = s.fatalCode
			return err
		}
		// A second answer to the marker can only follow the first one; EmptyQueryResponse answers no statement.
		if s.passed && !s.inMarker && head[0] != emptyQueryResponse {
			return nil
		}
		if err := c.discardSurplus(a, onInterrupt); err != nil {
			return err
		}
	}
}

// peekMessage waits for the first byte of a message, for as long as the member takes.
func (c *conn) peekMessage(a *answer, onInterrupt func() error) ([]byte, error) {
	a.betweenMessages = true
	head, err := c.Peek(1, onInterrupt)
	a.betweenMessages = false
	return head, err
}

// discardSurplus reads and discards one message and notes in the answer's surplus what it was.
func (c *conn) discardSurplus(a *answer, onInterrupt func() error) error {
	s := &a.surplus
	c.watchForStall(a, messageHeaderSize)
	head, err := c.Peek(messageHeaderSize, onInterrupt)
	if err != nil {
		return err
	}
	typ, bodyLen, err := pgwire.BackendHeader(head)
	if err != nil {
		return err
	}
	s.messages++
	s.bytes += messageHeaderSize + bodyLen
	if s.messages > maxSurplusMessages || s.bytes > maxSurplusBytes {
		return errSurplus
	}
	_, _ = c.Reader.Discard(messageHeaderSize)
	s.fatalCode = ""
	switch {
	case typ == emptyQueryResponse && !s.inMarker && bodyLen == 0:
		s.inMarker = true
		if s.passed {
			s.unwanted++
		}
	case typ == 'Z' && s.inMarker && bodyLen == 1:
		s.inMarker, s.passed = false, true
	case typ == 'S' && s.inMarker, typ == 'N' && s.inMarker:
	case s.inMarker:
		return errInvalidAnswer
	default:
		s.unwanted++
	}
	if typ == 'E' && bodyLen <= pgwire.MaxSmallMessage {
		return c.readFatalError(a, bodyLen, onInterrupt)
	}
	c.watchForStall(a, bodyLen)
	return c.Discard(bodyLen, onInterrupt)
}

// readFatalError reads the body of an ErrorResponse and notes its code if it ends the session.
func (c *conn) readFatalError(a *answer, bodyLen int, onInterrupt func() error) error {
	body := make([]byte, bodyLen)
	c.watchForStall(a, bodyLen)
	if err := c.ReadFull(body, onInterrupt); err != nil {
		return err
	}
	code, err := pgwire.ErrorCode(body)
	if err == nil && pgwire.IsFatal(body) {
		a.surplus.fatalCode = code
	}
	return nil
}
