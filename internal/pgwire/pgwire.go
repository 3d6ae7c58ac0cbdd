// Package pgwire knows version 3 of PostgreSQL's wire protocol as far as a
// gateway for simple queries needs it: framing, the codes of errors, and the
// comment that heads each statement. It has no sockets.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Requests that stand in place of a startup message's version.
const (
	Version3      = 3 << 16
	CancelRequest = 80877102
	SSLRequest    = 80877103
	GSSENCRequest = 80877104
)

// Error codes (SQLSTATE).
const (
	TooManyConnections = "53300"
	CannotConnectNow   = "57P03"
	ReadOnly           = "25006" // a write at a member that is no primary
	TooFarBehind       = "72000" // a read at a member that lags too far
	ProtocolViolation  = "08P01"
	Unsupported        = "0A000"
	SyntaxError        = "42601"
	syntaxClass        = "42"
	DuplicateObject    = "42710"
	SystemError        = "58000"
)

// The largest messages taken.
const (
	MaxStartup = 8 << 10
	MaxMessage = LargeBufSize - 64 // room for a frame around the statement
)

// MaxSmallMessage bounds a message that carries no value: errors, parameters and the like.
const MaxSmallMessage = 8 << 10

// ErrTooLong says that a message announces an impossible length, ErrMalformed
// that a message is not what its type says.
var (
	ErrTooLong   = errors.New("message of impossible length")
	ErrMalformed = errors.New("malformed message")
)

// Header splits the five bytes before a message's body into type and body length.
func Header(h []byte) (typ byte, n int, err error) {
	l := binary.BigEndian.Uint32(h[1:5])
	if l < 4 || l > MaxMessage {
		return h[0], 0, fmt.Errorf("%w: type %q, %d bytes", ErrTooLong, h[0], l)
	}
	return h[0], int(l) - 4, nil
}

// StartupLen reads the length of a startup message's rest from its first four bytes.
func StartupLen(h []byte) (int, error) {
	l := binary.BigEndian.Uint32(h)
	if l < 8 || l > MaxStartup {
		return 0, fmt.Errorf("%w: startup, %d bytes", ErrTooLong, l)
	}
	return int(l) - 4, nil
}

// IsStatementError tells that a code finds fault with the statement itself.
func IsStatementError(code string) bool {
	return strings.HasPrefix(code, syntaxClass) || code == ProtocolViolation
}

// Append appends a message.
func Append(b []byte, typ byte, parts ...string) []byte {
	n := 4
	for _, p := range parts {
		n += len(p)
	}
	b = binary.BigEndian.AppendUint32(append(b, typ), uint32(n))
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// AppendStartup appends a startup message.
func AppendStartup(b []byte, user, database string) []byte {
	body := "user\x00" + user + "\x00database\x00" + database + "\x00\x00"
	b = binary.BigEndian.AppendUint32(b, uint32(8+len(body)))
	b = binary.BigEndian.AppendUint32(b, Version3)
	return append(b, body...)
}

// AppendParameterStatus appends a ParameterStatus.
func AppendParameterStatus(b []byte, name, value string) []byte {
	return Append(b, 'S', name, "\x00", value, "\x00")
}

// AppendReadyForQuery appends ReadyForQuery, outside a transaction.
func AppendReadyForQuery(b []byte) []byte { return Append(b, 'Z', "I") }

// AppendError appends an ErrorResponse; an empty detail is left out.
func AppendError(b []byte, severity, code, text, detail string) []byte {
	body := "S" + severity + "\x00V" + severity + "\x00C" + code + "\x00M" + text + "\x00"
	if detail != "" {
		body += "D" + detail + "\x00"
	}
	return Append(b, 'E', body, "\x00")
}

// ErrorField returns a field of an ErrorResponse's body, empty if absent.
func ErrorField(body []byte, field byte) string {
	for len(body) > 0 && body[0] != 0 {
		value, rest, ok := bytes.Cut(body[1:], []byte{0})
		if !ok {
			return ""
		}
		if body[0] == field {
			return string(value)
		}
		body = rest
	}
	return ""
}

// ParseParameterStatus splits a ParameterStatus's body.
func ParseParameterStatus(body []byte) (name, value string) {
	n, rest, _ := bytes.Cut(body, []byte{0})
	v, _, _ := bytes.Cut(rest, []byte{0})
	return string(n), string(v)
}

// CheckRowDescription checks a RowDescription's body: one column, and nothing else.
func CheckRowDescription(body []byte) error {
	const after = 18 // bytes of numbers after a column's name
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 || bytes.IndexByte(body[2:], 0)+1+after != len(body)-2 {
		return fmt.Errorf("%w: row description", ErrMalformed)
	}
	return nil
}

// DataRowValue returns the value in a DataRow's body, which must hold one that is not null, and nothing else.
func DataRowValue(body []byte) ([]byte, error) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 || int64(binary.BigEndian.Uint32(body[2:])) != int64(len(body)-6) {
		return nil, fmt.Errorf("%w: row", ErrMalformed)
	}
	return body[6:], nil
}

// CheckCommandTag checks a CommandComplete's body: a line of text.
func CheckCommandTag(body []byte) error {
	n := len(body) - 1
	if n < 1 || body[n] != 0 || bytes.ContainsFunc(body[:n], func(r rune) bool { return r < ' ' || r > '~' }) {
		return fmt.Errorf("%w: command tag", ErrMalformed)
	}
	return nil
}

// ErrorCode returns the code of an ErrorResponse's body, which must hold one.
func ErrorCode(body []byte) (string, error) {
	code := ErrorField(body, 'C')
	if len(code) != 5 || strings.ContainsFunc(code, func(r rune) bool { return (r < '0' || r > '9') && (r < 'A' || r > 'Z') }) {
		return "", fmt.Errorf("%w: error", ErrMalformed)
	}
	return code, nil
}

// ForEachLoadValue calls each for every name=value of a load report.
func ForEachLoadValue(s []byte, each func(name string, v float64)) {
	for more := true; more; {
		var pair []byte
		pair, s, more = bytes.Cut(s, []byte{','})
		name, text, _ := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
		if v, err := strconv.ParseFloat(string(text), 64); err == nil && v == v && v < 1e18 && v > -1e18 {
			each(string(name), v)
		}
	}
}

// Statement is a client's statement with what its comment says.
type Statement struct {
	Buf               *Buf   // the text, without its final zero
	ID                string // id
	Class             string // c
	Tenant            string // t
	WaitMs            int64  // d, in milliseconds
	Cluster           int64
	LastWriteUnixMs   int64 // Unix time in ms of the session's last write, 0 = none
	Retry             bool
	HasIdempotencyKey bool   // k is there
	ItemKey           string // the quoted key
	IsRead            bool   // a SELECT
	Done              func() // called on Release, if set

	dFrom, dTo int // where the digits of d stand in the text
}

// Release gives the text's buffer back.
func (s *Statement) Release() {
	s.Buf.Release()
	if s.Done != nil {
		s.Done()
	}
}

// Empty tells that a query's text holds no statement.
func Empty(text []byte) bool {
	return len(bytes.Trim(text, " \t\r\n;")) == 0
}

// Verb returns the first word of a statement in capitals, at most 16 letters of it.
func Verb(text []byte) string {
	text = bytes.TrimLeft(text, " \t\r\n")
	n := 0
	for n < len(text) && n < 16 && (text[n]|0x20) >= 'a' && (text[n]|0x20) <= 'z' {
		n++
	}
	return string(bytes.ToUpper(text[:n]))
}

// Parse reads the comment and the key of the text in buf. What it takes a member
// can read: one that cannot closes the connection, which would look like its fault.
func Parse(buf *Buf) (*Statement, error) {
	text := buf.B
	if !utf8.Valid(text) || bytes.IndexByte(text, 0) >= 0 {
		return nil, errors.New("statement is no text")
	}
	from := bytes.IndexByte(text, '/')
	if from < 0 || len(bytes.TrimSpace(text[:from])) > 0 || !bytes.HasPrefix(text[from:], []byte("/*")) {
		return nil, errors.New("no comment before the statement")
	}
	from += 2
	end := bytes.Index(text[from:], []byte("*/"))
	if end < 0 {
		return nil, errors.New("comment without end")
	}
	end += from
	s := &Statement{Buf: buf}
	seen := map[string]bool{}
	for at := from; at < end; {
		to := end
		if i := bytes.IndexByte(text[at:end], ','); i >= 0 {
			to = at + i
		}
		if err := s.field(text, at, to, seen); err != nil {
			return nil, err
		}
		at = to + 1
	}
	for _, name := range []string{"id", "c", "d", "cluster"} {
		if !seen[name] {
			return nil, fmt.Errorf("comment without %s", name)
		}
	}
	rest := text[end+2:]
	switch Verb(rest) {
	case "SELECT":
		s.IsRead = true
	case "INSERT":
	default:
		return nil, errors.New("neither SELECT nor INSERT")
	}
	if bytes.Count(rest, []byte{'\''})%2 != 0 {
		return nil, errors.New("quote without end")
	}
	if s.ItemKey = quoted(rest); s.ItemKey == "" || len(s.ItemKey) > maxName && !s.page(rest) {
		return nil, errors.New("no key, or one of impossible length")
	}
	return s, nil
}

// page tells whether the statement asks for a page, whose name may be longer as no table keeps it.
func (s *Statement) page(rest []byte) bool {
	_, _, _, ok := ParsePage(s.ItemKey)
	return ok && s.IsRead && len(s.ItemKey) <= 5*maxName && bytes.Contains(rest, []byte(" FROM pages "))
}

const maxFields = 32 // in a comment

const maxName = 256 // bytes of an id or a key; both are kept in tables

// field takes the name=value at text[from:to]; seen are the names that came.
func (s *Statement) field(text []byte, from, to int, seen map[string]bool) (err error) {
	name, value, ok := bytes.Cut(text[from:to], []byte{'='})
	if !ok {
		return nil
	}
	if n := string(bytes.TrimSpace(name)); len(bytes.TrimSpace(value)) == 0 || seen[n] {
		return fmt.Errorf("comment: %.40q is empty or comes twice", n)
	} else if len(seen) < maxFields {
		seen[n] = true
	} else {
		return errors.New("comment too long")
	}
	number := func() (n int64) {
		n, err = strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil || n < 0 || n > 1<<50 {
			err = fmt.Errorf("comment: %s is no number", bytes.TrimSpace(name))
		}
		return n
	}
	switch v := string(bytes.TrimSpace(value)); string(bytes.TrimSpace(name)) {
	case "id":
		if s.ID = v; len(v) > maxName {
			err = errors.New("comment: id of impossible length")
		}
	case "k":
		s.HasIdempotencyKey = true
	case "c":
		s.Class = v
	case "t":
		s.Tenant = v
	case "r":
		s.Retry = v == "1"
	case "cluster":
		s.Cluster = number()
	case "after":
		s.LastWriteUnixMs = number()
	case "d":
		s.WaitMs = number()
		s.dFrom, s.dTo = to-len(value), to
	}
	return err
}

// quoted returns the first quoted string of a statement, its doubled quotes undone.
func quoted(text []byte) string {
	at := bytes.IndexByte(text, '\'')
	if at < 0 {
		return ""
	}
	var key []byte
	for i := at + 1; i < len(text); i++ {
		if text[i] == '\'' {
			if i+1 >= len(text) || text[i+1] != '\'' {
				return string(key)
			}
			i++
		}
		key = append(key, text[i])
	}
	return ""
}

// Query returns the parts of a Query with the statement, which says how many
// milliseconds its sender will wait. The large part is the statement's own memory.
func (s *Statement) Query(wait int64) [][]byte {
	text := s.Buf.B
	digits := strconv.AppendInt(make([]byte, 0, 20), wait, 10)
	n := 4 + s.dFrom + len(digits) + len(text) - s.dTo + 1
	head := append(make([]byte, 0, 5+s.dFrom+len(digits)), 'Q')
	head = binary.BigEndian.AppendUint32(head, uint32(n))
	head = append(append(head, text[:s.dFrom]...), digits...)
	return [][]byte{head, text[s.dTo:], {0}}
}
