// Package pgclient is a client as the protocol page has it: single statements with
// a comment, over PostgreSQL's protocol. It is for load and tests.
package pgclient

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"reachwind/internal/pgwire"
)

// Request is one statement.
type Request struct {
	ID, Class, Tenant string
	Wait              time.Duration
	Cluster           int64
	Key               string // idempotency key; with it, or with Value, it is a write
	Item              string // the quoted key
	Value             string
	Write             bool
	Retry             bool
}

// Verdict is how a request ended.
type Verdict int

// The verdicts.
const (
	Served Verdict = iota
	Refused
	Failed
	Broken // no whole answer: the connection ended
)

// Names are the names of the verdicts.
var Names = [...]string{"served", "refused", "failed", "broken"}

// Answer is what came back.
type Answer struct {
	Verdict Verdict
	Value   string
	Code    string
	After   time.Duration // Refused: when to come back
}

// Conn is one connection. It is not safe for concurrent use.
type Conn struct {
	nc   net.Conn
	r    *bufio.Reader
	out  []byte
	used bool
}

// Dial connects and passes the startup.
func Dial(addr string, wait time.Duration) (*Conn, error) {
	nc, err := net.DialTimeout("tcp", addr, wait)
	if err != nil {
		return nil, err
	}
	return Over(nc, wait)
}

// Over passes the startup over a connection that it takes.
func Over(nc net.Conn, wait time.Duration) (*Conn, error) {
	c := &Conn{nc: nc, r: bufio.NewReader(nc)}
	_ = nc.SetDeadline(time.Now().Add(wait))
	if _, err := nc.Write(pgwire.AppendStartup(nil, "app", "shop")); err != nil {
		c.Close()
		return nil, err
	}
	a, err := c.read()
	if err == nil && a.Verdict == Refused {
		err = ErrRefused
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Close ends the connection.
func (c *Conn) Close() { _ = c.nc.Close() }

// ErrRefused is returned when a new connection is refused before its first command.
var ErrRefused = errors.New("the connection was refused")

// ErrStale is returned when a connection that had been used ended without a byte of an answer: the gateway may
// close one between requests, and the request goes once more on a new one.
var ErrStale = errors.New("the connection had ended")

// Do asks and waits for the answer.
func (c *Conn) Do(q *Request) (Answer, error) { return c.DoWithin(q, q.Wait+200*time.Millisecond) }

// DoWithin is Do with another limit for the wait than that of the request itself.
func (c *Conn) DoWithin(q *Request, limit time.Duration) (Answer, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "/* id=%s,c=%s,t=%s,d=%d", q.ID, q.Class, q.Tenant, q.Wait.Milliseconds())
	if q.Key != "" {
		fmt.Fprintf(&b, ",k=%s", q.Key)
	}
	if q.Retry {
		b.WriteString(",r=1")
	}
	fmt.Fprintf(&b, ",cluster=%d */ ", q.Cluster)
	if q.Write {
		fmt.Fprintf(&b, "INSERT INTO items (id, doc) VALUES ('%s', '%s') RETURNING doc\x00", q.Item, q.Value)
	} else {
		fmt.Fprintf(&b, "SELECT doc FROM items WHERE id = '%s'\x00", q.Item)
	}
	c.out = pgwire.Append(c.out[:0], 'Q', b.String())
	_ = c.nc.SetDeadline(time.Now().Add(limit))
	was := c.used
	c.used = true
	if _, err := c.nc.Write(c.out); err != nil {
		return Answer{Verdict: Broken}, ErrStale
	}
	a, err := c.read()
	if err != nil && was && a.Code == "" && !errors.Is(err, errHalf) && !IsTimeout(err) {
		err = ErrStale
	}
	return a, err
}

// IsTimeout reports whether a call failed as its time was over.
func IsTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

var errHalf = errors.New("the answer ended halfway")

// read reads through ReadyForQuery.
func (c *Conn) read() (Answer, error) {
	a, head := Answer{Verdict: Broken}, make([]byte, 5)
	for begun := false; ; begun = true {
		if _, err := io.ReadFull(c.r, head); err != nil {
			if begun {
				err = fmt.Errorf("%w: %w", errHalf, err)
			}
			return a, err
		}
		typ, n, err := pgwire.Header(head)
		if err != nil {
			return a, err
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(c.r, body); err != nil {
			return a, fmt.Errorf("%w: %w", errHalf, err)
		}
		switch typ {
		case 'D':
			v, err := pgwire.DataRowValue(body)
			if err != nil {
				return a, err
			}
			a.Value = string(v)
		case 'C':
			a.Verdict = Served
		case 'E':
			a.Code = pgwire.ErrorField(body, 'C')
			a.Verdict = Failed
			if a.Code == pgwire.TooManyConnections || a.Code == pgwire.CannotConnectNow {
				a.Verdict = Refused
				ms, _ := strconv.Atoi(pgwire.ErrorField(body, 'D'))
				a.After = time.Duration(ms) * time.Millisecond
			}
			if pgwire.ErrorField(body, 'S') == "FATAL" {
				return a, nil
			}
		case 'Z':
			return a, nil
		}
	}
}
