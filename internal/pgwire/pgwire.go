// Package pgwire implements the parts of version 3 of PostgreSQL's wire
// protocol that a gateway for simple queries needs: framing, error codes, and
// the comment at the head of each statement. It does no I/O on sockets.
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

// Protocol versions and request codes in the first field of a startup message.
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
	ReadOnly           = "25006" // a write was sent to a member that is not the primary
	TooFarBehind       = "72000" // a read was sent to a member whose replication lag is too large
	ProtocolViolation  = "08P01"
	Unsupported        = "0A000"
	SyntaxError        = "42601"
	syntaxClass        = "42"
	DuplicateObject    = "42710"
	SystemError        = "58000"
)

// Size limits of messages, in bytes.
const (
	MaxStartup = 8 << 10
	MaxMessage = LargeBufSize - 64 // leaves room for the frame around the statement
)

// MaxSmallMessage is the size limit, in bytes, of a message that carries no value, such as an error or a parameter status.
const MaxSmallMessage = 8 << 10

// ErrTooLong reports a message whose announced length is outside the limits;
// ErrMalformed reports a message whose body does not match its type.
var (
	ErrTooLong   = errors.New("message of impossible length")
	ErrMalformed = errors.New("malformed message")
)

// Header splits the five-byte message header into the type and the length of the body. The error wraps ErrTooLong.
func Header(h []byte) (typ byte, n int, err error) {
	l := binary.BigEndian.Uint32(h[1:5])
	if l < 4 || l > MaxMessage {
		return h[0], 0, fmt.Errorf("%w: type %q, %d bytes", ErrTooLong, h[0], l)
	}
	return h[0], int(l) - 4, nil
}

// backendTypes are the types of the messages that a member may send to a client of simple queries.
const backendTypes = "RKSZTDCENIA"

// BackendHeader splits the five-byte header of any message that a member may send into the type and the length of the body.
// Unlike Header it takes rows of up to MaxRowSize bytes. The error wraps ErrTooLong or ErrMalformed.
func BackendHeader(h []byte) (typ byte, n int, err error) {
	if strings.IndexByte(backendTypes, h[0]) < 0 {
		return h[0], 0, fmt.Errorf("%w: type %q", ErrMalformed, h[0])
	}
	if !IsLargeRow(h) {
		return Header(h)
	}
	l := binary.BigEndian.Uint32(h[1:5])
	if l > MaxRowSize {
		return h[0], 0, fmt.Errorf("%w: row of %d bytes, want at most %d", ErrTooLong, l, MaxRowSize)
	}
	return h[0], int(l) - 4, nil
}

// StartupLen returns the number of bytes that follow the first four of a startup message. The error wraps ErrTooLong.
func StartupLen(h []byte) (int, error) {
	l := binary.BigEndian.Uint32(h)
	if l < 8 || l > MaxStartup {
		return 0, fmt.Errorf("%w: startup, %d bytes", ErrTooLong, l)
	}
	return int(l) - 4, nil
}

// IsStatementError reports whether an error code blames the statement itself.
func IsStatementError(code string) bool {
	return strings.HasPrefix(code, syntaxClass) || code == ProtocolViolation
}

// Append appends a message of the given type whose body is the concatenation of parts.
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

// AppendParameterStatus appends a ParameterStatus message.
func AppendParameterStatus(b []byte, name, value string) []byte {
	return Append(b, 'S', name, "\x00", value, "\x00")
}

// AppendReadyForQuery appends a ReadyForQuery message with the status "idle, not in a transaction".
func AppendReadyForQuery(b []byte) []byte { return Append(b, 'Z', "I") }

// AppendError appends an ErrorResponse; an empty detail is omitted.
func AppendError(b []byte, severity, code, text, detail string) []byte {
	body := "S" + severity + "\x00V" + severity + "\x00C" + code + "\x00M" + text + "\x00"
	if detail != "" {
		body += "D" + detail + "\x00"
	}
	return Append(b, 'E', body, "\x00")
}

// ErrorField returns a field of the body of an ErrorResponse, or "" if it is absent.
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

// ParseParameterStatus splits the body of a ParameterStatus into name and value.
func ParseParameterStatus(body []byte) (name, value string) {
	n, rest, _ := bytes.Cut(body, []byte{0})
	v, _, _ := bytes.Cut(rest, []byte{0})
	return string(n), string(v)
}

// CheckRowDescription checks that the body of a RowDescription describes exactly one column and has no trailing bytes.
func CheckRowDescription(body []byte) error {
	const numericFields = 18 // bytes of numeric fields after the name of a column
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 || bytes.IndexByte(body[2:], 0)+1+numericFields != len(body)-2 {
		return fmt.Errorf("%w: row description", ErrMalformed)
	}
	return nil
}

// DataRowValue returns the value in the body of a DataRow, which must hold exactly one non-null column and no trailing bytes.
func DataRowValue(body []byte) ([]byte, error) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 || int64(binary.BigEndian.Uint32(body[2:])) != int64(len(body)-6) {
		return nil, fmt.Errorf("%w: row", ErrMalformed)
	}
	return body[6:], nil
}

// CheckCommandTag checks that the body of a CommandComplete is a zero-terminated line of printable ASCII.
func CheckCommandTag(body []byte) error {
	n := len(body) - 1
	if n < 1 || body[n] != 0 || bytes.ContainsFunc(body[:n], func(r rune) bool { return r < ' ' || r > '~' }) {
		return fmt.Errorf("%w: command tag", ErrMalformed)
	}
	return nil
}

// ErrorCode returns the SQLSTATE in the body of an ErrorResponse, or an error if it has none that is well-formed.
func ErrorCode(body []byte) (string, error) {
	code := ErrorField(body, 'C')
	if len(code) != 5 || strings.ContainsFunc(code, func(r rune) bool { return (r < '0' || r > '9') && (r < 'A' || r > 'Z') }) {
		return "", fmt.Errorf("%w: error", ErrMalformed)
	}
	return code, nil
}

// IsFatal reports whether the body of an ErrorResponse says that the session ends with it.
func IsFatal(body []byte) bool {
	severity := ErrorField(body, 'S')
	return severity == "FATAL" || severity == "PANIC"
}

// ForEachLoadValue calls each for every name=value pair of a load report. Pairs without a finite number below 1e18 are
// skipped.
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

// Statement is a client's statement with the parsed fields of its comment.
type Statement struct {
	Buf               *Buf   // the text, without the terminating zero
	ID                string // field id
	Class             string // field c
	Tenant            string // field t
	WaitMs            int64  // field d: milliseconds that the client waits
	Cluster           int64
	LastWriteUnixMs   int64 // Unix time in ms of the session's last write, 0 = none
	Retry             bool
	HasIdempotencyKey bool   // field k, the idempotency key, is present
	ItemKey           string // the quoted key of the item
	IsRead            bool   // a SELECT
	Done              func() // called on Release, if set

	waitFrom, waitTo int // byte range of the value of field d in the text
}

// Release returns the buffer to its pool and calls Done.
func (s *Statement) Release() {
	s.Buf.Release()
	if s.Done != nil {
		s.Done()
	}
}

// Empty reports whether the text of a query holds no statement.
func Empty(text []byte) bool {
	return len(bytes.Trim(text, " \t\r\n;")) == 0
}

// Verb returns the first word of a statement in upper case, cut to 16 letters.
func Verb(text []byte) string {
	text = bytes.TrimLeft(text, " \t\r\n")
	n := 0
	for n < len(text) && n < 16 && (text[n]|0x20) >= 'a' && (text[n]|0x20) <= 'z' {
		n++
	}
	return string(bytes.ToUpper(text[:n]))
}

// Parse parses the comment and the item's key of the text in buf. It accepts only
// statements that a member can read: a member closes the connection on any other,
// which would count as a failure of the member. The texts of its errors go to clients.
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
		if err := s.parseField(text, at, to, seen); err != nil {
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
	if s.ItemKey = quotedString(rest); s.ItemKey == "" || len(s.ItemKey) > maxNameLen && !s.isPage(rest) {
		return nil, errors.New("no key, or one of impossible length")
	}
	return s, nil
}

// isPage reports whether the statement requests a page of items. The id of a page may be longer than a key because no table
// stores it.
func (s *Statement) isPage(rest []byte) bool {
	_, _, _, ok := ParsePage(s.ItemKey)
	return ok && s.IsRead && len(s.ItemKey) <= 5*maxNameLen && bytes.Contains(rest, []byte(" FROM pages "))
}

const maxFields = 32 // fields in a comment

const maxNameLen = 256 // bytes of an id or a key; both are stored in tables

// parseField parses the name=value pair at text[from:to] and adds its name to seen.
func (s *Statement) parseField(text []byte, from, to int, seen map[string]bool) (err error) {
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
		if s.ID = v; len(v) > maxNameLen {
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
		s.waitFrom, s.waitTo = to-len(value), to
	}
	return err
}

// quotedString returns the first quoted string of a statement, with doubled quotes unescaped.
func quotedString(text []byte) string {
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

// Query returns the parts of a Query message with the statement, in which field d is replaced by wait, in milliseconds.
// The large part aliases the statement's buffer.
func (s *Statement) Query(wait int64) [][]byte {
	text := s.Buf.B
	digits := strconv.AppendInt(make([]byte, 0, 20), wait, 10)
	n := 4 + s.waitFrom + len(digits) + len(text) - s.waitTo + 1
	head := append(make([]byte, 0, 5+s.waitFrom+len(digits)), 'Q')
	head = binary.BigEndian.AppendUint32(head, uint32(n))
	head = append(append(head, text[:s.waitFrom]...), digits...)
	return [][]byte{head, text[s.waitTo:], {0}}
}
