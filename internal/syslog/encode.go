// Package syslog writes and reads RFC 5424 messages. It does no I/O.
package syslog

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash"
	"strconv"
	"time"
	"unicode/utf8"

	"reachwind/decide"
	"reachwind/internal/record"
)

// Config is what stands in every message. New checks it.
type Config struct {
	Hostname, AppName, ProcID string // as RFC 5424's header fields; empty = NILVALUE
	Version                   string // origin's swVersion
	Enterprise                int    // private enterprise number of the elements; 0 = 32473, RFC 5612's for examples
	MaxBytes                  int    // longest message; 0 = 2048
	Facility                  int    // of requests and members; log lines and gaps are the daemon's
	Start                     time.Duration
	Classes, Tenants          []string // names by the places that records hold
	Key                       []byte   // sessions are hashed with it
	Synced                    bool     // the clock is known to follow a reliable source
}

// What RFC 5424 says.
const (
	MinMaxBytes     = 480 // a receiver must take messages of this length
	DefaultMaxBytes = 2048
	hostMost        = 255
	appMost         = 48
	procMost        = 128
	exampleNo       = 32473
	daemon          = 3
	seqDigits       = 10 // room kept for any sequenceId, so that a message can be numbered anew
	MaxSeq          = 1<<31 - 1
	upTimeRound     = 1 << 32
)

// Gap tells of records that were dropped before they were handed to a collector.
type Gap struct {
	Cause       string
	Count       uint64
	First, Last uint32 // sequence numbers, both among the dropped
}

// Meta is what differs from collector to collector.
type Meta struct {
	Seq    uint32 // sequenceId, 1 to SeqMost
	Number uint64 // the record's own, the same at every collector
	Weight uint64 // records that it stands for; 1 = itself
	Gap    *Gap   // with Kind Gap
}

// Encoder writes records as messages. It is not safe for concurrent use.
type Encoder struct {
	c       Config
	head    [4][]byte // after the timestamp, by kind: " HOST APP PROC MSGID "
	quality []byte    // timeQuality and origin, whole
	origin  []byte
	ids     [4][]byte // "[request@32473", by kind
	member  []byte
	mac     hash.Hash
	scratch []byte
	sum     []byte
	day     int64 // that date holds
	date    [10]byte
}

// New returns an encoder, or an error that names what cannot stand in a header or does not fit MaxBytes.
func New(c Config) (*Encoder, error) {
	if c.Enterprise == 0 {
		c.Enterprise = exampleNo
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.MaxBytes < MinMaxBytes {
		return nil, fmt.Errorf("max_bytes is %d, want at least %d, which RFC 5424 has every receiver take", c.MaxBytes, MinMaxBytes)
	}
	if c.Facility < 0 || c.Facility > 23 {
		return nil, fmt.Errorf("facility is %d, want 0 to 23", c.Facility)
	}
	for _, f := range []struct {
		name  string
		value *string
		most  int
	}{{"hostname", &c.Hostname, hostMost}, {"app_name", &c.AppName, appMost}, {"process id", &c.ProcID, procMost}} {
		if *f.value == "" {
			*f.value = "-"
		}
		if err := printable(*f.value, f.most); err != nil {
			return nil, fmt.Errorf("%s: %w", f.name, err)
		}
	}
	e := &Encoder{c: c, mac: hmac.New(sha256.New, c.Key), day: -1}
	for k, name := range record.Kinds {
		e.head[k] = fmt.Appendf(nil, " %s %s %s %s ", c.Hostname, c.AppName, c.ProcID, name)
		e.ids[k] = fmt.Appendf(nil, "[%s@%d", name, c.Enterprise)
	}
	e.member = e.ids[record.Member]
	synced := 0
	if c.Synced {
		synced = 1
	}
	e.quality = fmt.Appendf(nil, `[timeQuality tzKnown="1" isSynced="%d"]`, synced)
	e.origin = e.value(fmt.Appendf(nil, `[origin enterpriseId="%d" software="reachwind" swVersion="`, c.Enterprise), cut(c.Version, 32))
	e.origin = append(e.origin, `"]`...)
	if least := e.least(); least > c.MaxBytes {
		return nil, fmt.Errorf("a message without text takes up to %d bytes, max_bytes allows %d: shorten hostname or app_name", least, c.MaxBytes)
	}
	return e, nil
}

// least is the length of the longest message with all that may be dropped left out.
func (e *Encoder) least() int {
	r := record.Record{Kind: record.Request, Class: -1, Tenant: -1, At: 1 << 60, Severity: record.Info, Outcome: record.Refused}
	m := Meta{Seq: MaxSeq, Number: 1<<64 - 1, Weight: 1<<64 - 1}
	long := 0
	for k := range record.Kinds {
		r.Kind = record.Kind(k)
		m.Gap = &Gap{Cause: "0123456789abcdef", Count: 1<<64 - 1, First: MaxSeq, Last: MaxSeq}
		b, _ := e.write(nil, &r, m, ranks, cutAll)
		long = max(long, len(b)+len(`-4294967295`))
	}
	return long
}

func printable(s string, most int) error {
	if len(s) > most {
		return fmt.Errorf("%d characters, want at most %d", len(s), most)
	}
	for i := range len(s) {
		if s[i] < 33 || s[i] > 126 {
			return fmt.Errorf("holds the byte %#x, want printable US-ASCII without spaces", s[i])
		}
	}
	return nil
}

// What is dropped from a message over the limit, in this order, after its text. Rank 0 is never dropped.
const (
	rankOrigin = 1 + iota
	rankQuality
	rankSession
	rankFront
	rankWait
	rankTaken
	rankLag
	rankCluster
	rankTotal
	rankAttempts
	rankAfter
	rankPosition
	rankRole
	rankMember
	rankCustomer
	rankCause
	rankClass
	ranks = rankClass
)

type shortened int

const (
	cutNone shortened = iota
	cutText           // the text was shortened
	cutAll            // and parameters were dropped
)

// ErrTooLong is returned for a record that no message within MaxBytes can hold. It cannot happen with the
// records of this program; it guards what the limit promises.
var ErrTooLong = errors.New("syslog: no message within max_bytes holds this record")

// Append appends the message for r, at most MaxBytes long also with any other sequenceId, and returns where in
// dst its sequenceId begins. A message that would be longer is shortened: its text first, then parameters in the
// order of the operators' page, which it says by a parameter "cut".
func (e *Encoder) Append(dst []byte, r *record.Record, m Meta) (out []byte, seqAt int, err error) {
	from := len(dst)
	most := e.c.MaxBytes - seqDigits + digits(uint64(m.Seq))
	dst, seqAt = e.write(dst, r, m, 0, cutNone)
	textAt := len(dst)
	dst = e.text(dst, r, m)
	if len(dst)-from <= most {
		return dst, seqAt, nil
	}
	for rank, how := 0, cutText; ; rank, how = rank+1, cutAll {
		if rank > ranks {
			return dst[:from], 0, ErrTooLong
		}
		dst, seqAt = e.write(dst[:from], r, m, rank, how)
		if textAt = len(dst); textAt-from > most {
			continue
		}
		if rank == 0 { // where the elements themselves are too long, no text is left
			dst = e.text(dst, r, m)
			if n := len(dst) - from; n > most {
				keep := from + most
				for keep > textAt && !utf8.RuneStart(dst[keep]) {
					keep--
				}
				if keep-textAt <= 1+3 { // a lone space, or a BOM and nothing
					keep = textAt
				}
				dst = dst[:keep]
			}
		}
		return dst, seqAt, nil
	}
}

// write writes all but the text, leaving out what has a rank from 1 to drop.
func (e *Encoder) write(b []byte, r *record.Record, m Meta, drop int, how shortened) (out []byte, seqAt int) {
	facility := e.c.Facility
	if r.Kind >= record.Program {
		facility = daemon
	}
	b = append(b, '<')
	b = strconv.AppendUint(b, uint64(facility*8+int(r.Severity)), 10)
	b = append(b, ">1 "...)
	b = e.time(b, r.At)
	b = append(b, e.head[r.Kind]...)
	if drop < rankQuality {
		b = append(b, e.quality...)
	}
	if drop < rankOrigin {
		b = append(b, e.origin...)
	}
	b = append(b, `[meta sequenceId="`...)
	seqAt = len(b)
	b = strconv.AppendUint(b, uint64(m.Seq), 10)
	b = append(b, `" sysUpTime="`...)
	b = strconv.AppendUint(b, uint64(max(0, r.At-e.c.Start)/(10*time.Millisecond))%upTimeRound, 10)
	b = append(b, `"]`...)
	b = append(b, e.ids[r.Kind]...)
	b = number(b, "n", m.Number)
	if m.Weight > 1 {
		b = number(b, "weight", m.Weight)
	}
	switch how {
	case cutText:
		b = append(b, ` cut="text"`...)
	case cutAll:
		b = append(b, ` cut="params"`...)
	}
	switch r.Kind {
	case record.Request:
		b = e.request(b, r, drop)
	case record.Member:
		b = e.change(b, r, drop)
	case record.Gap:
		if m.Gap != nil {
			b = e.param(b, "cause", m.Gap.Cause)
			b = number(b, "count", m.Gap.Count)
			b = number(b, "first", uint64(m.Gap.First))
			b = number(b, "last", uint64(m.Gap.Last))
		}
	}
	return append(b, ']'), seqAt
}

func (e *Encoder) request(b []byte, r *record.Record, drop int) []byte {
	b = e.param(b, "outcome", r.Outcome.String())
	if drop < rankClass {
		b = e.param(b, "class", name(e.c.Classes, r.Class))
	}
	if drop < rankCustomer {
		b = e.param(b, "customer", name(e.c.Tenants, r.Tenant))
	}
	if r.Cause != record.NoCause && drop < rankCause {
		b = e.param(b, "cause", r.Cause.String())
	}
	if r.Outcome == record.Refused && r.RetryAfter > 0 && drop < rankAfter {
		b = span(b, "after_ms", r.RetryAfter)
	}
	if drop < rankAttempts {
		b = number(b, "attempts", uint64(r.Attempts))
	}
	if drop < rankTotal {
		b = span(b, "total_ms", r.Total)
	}
	if drop < rankWait {
		b = span(b, "wait_ms", r.WaitTime)
	}
	if drop < rankCluster {
		b = e.signed(b, "cluster", r.Group)
	}
	if drop < rankFront {
		b = e.param(b, "front", r.Front)
	}
	if r.Session != "" && drop < rankSession {
		e.scratch = append(e.scratch[:0], r.Session...)
		e.mac.Reset()
		_, _ = e.mac.Write(e.scratch)
		e.sum = e.mac.Sum(e.sum[:0])
		b = append(b, ` session="`...)
		const hex = "0123456789abcdef"
		for _, c := range e.sum[:8] {
			b = append(b, hex[c>>4], hex[c&15])
		}
		b = append(b, '"')
	}
	if r.Member == "" || drop >= rankMember {
		return b
	}
	b = append(append(b, ']'), e.member...)
	b = e.param(b, "id", r.Member)
	b = e.of(b, r, drop)
	if r.AttemptTime > 0 && drop < rankTaken {
		b = span(b, "took_ms", r.AttemptTime)
	}
	if r.HasLag && drop < rankLag {
		b = span(b, "lag_ms", r.Lag)
	}
	return b
}

func (e *Encoder) change(b []byte, r *record.Record, drop int) []byte {
	b = e.param(b, "change", r.Change.String())
	if r.Member != "" && drop < rankMember {
		b = e.param(b, "id", r.Member)
	}
	if drop < rankCluster {
		b = e.signed(b, "cluster", r.Group)
	}
	return e.of(b, r, drop)
}

func (e *Encoder) of(b []byte, r *record.Record, drop int) []byte {
	if r.Role != decide.RoleUnknown && drop < rankRole {
		role := "replica"
		if r.Role == decide.Primary {
			role = "primary"
		}
		b = e.param(b, "role", role)
	}
	if r.Position > 0 && drop < rankPosition {
		b = number(b, "position", uint64(r.Position/time.Millisecond))
	}
	return b
}

// text appends " MSG". Control bytes in it become #ooo, as RFC 5424 has it for NUL, so that it can be framed by LF.
func (e *Encoder) text(b []byte, r *record.Record, m Meta) []byte {
	switch r.Kind {
	case record.Request:
		b = append(append(b, ' '), r.Outcome.String()...)
		if r.Cause != record.NoCause {
			b = append(append(b, ": "...), r.Cause.String()...)
		}
	case record.Member:
		b = append(append(append(b, ' '), r.Change.String()...), ' ')
		b = e.plain(b, r.Member)
	case record.Gap:
		b = append(b, " records dropped"...)
	default:
		b = append(b, ' ')
		for i := range len(r.Text) {
			if r.Text[i] >= utf8.RuneSelf {
				b = append(b, "\xEF\xBB\xBF"...)
				break
			}
		}
		b = e.plain(b, r.Text)
	}
	return b
}

// plain appends s as valid UTF-8 without control bytes, and without a BOM at its start.
func (e *Encoder) plain(b []byte, s string) []byte {
	const bom = "\xEF\xBB\xBF"
	for len(s) >= len(bom) && s[:len(bom)] == bom {
		s = s[len(bom):]
	}
	for i := 0; i < len(s); {
		b, i = e.char(b, s, i)
	}
	return b
}

// char appends the character of s at i and returns where the next begins.
func (e *Encoder) char(b []byte, s string, i int) ([]byte, int) {
	c := s[i]
	if c >= utf8.RuneSelf {
		r, n := utf8.DecodeRuneInString(s[i:])
		return utf8.AppendRune(b, r), i + n // U+FFFD for what is no UTF-8
	}
	if c < ' ' || c == 0x7f {
		return append(b, '#', '0'+c>>6, '0'+c>>3&7, '0'+c&7), i + 1
	}
	return append(b, c), i + 1
}

// value appends s as a PARAM-VALUE, RFC 5424 section 6.3.3.
func (e *Encoder) value(b []byte, s string) []byte {
	for i := 0; i < len(s); {
		if c := s[i]; c == '"' || c == '\\' || c == ']' {
			b = append(b, '\\')
		}
		b, i = e.char(b, s, i)
	}
	return b
}

func (e *Encoder) param(b []byte, name, value string) []byte {
	b = append(append(append(b, ' '), name...), `="`...)
	return append(e.value(b, value), '"')
}

func (e *Encoder) signed(b []byte, name string, v int64) []byte {
	b = append(append(append(b, ' '), name...), `="`...)
	return append(strconv.AppendInt(b, v, 10), '"')
}

func number(b []byte, name string, v uint64) []byte {
	b = append(append(append(b, ' '), name...), `="`...)
	return append(strconv.AppendUint(b, v, 10), '"')
}

// span appends a time in milliseconds, to the microsecond.
func span(b []byte, name string, d time.Duration) []byte {
	us := uint64(max(d, 0) / time.Microsecond)
	b = append(append(append(b, ' '), name...), `="`...)
	b = strconv.AppendUint(b, us/1000, 10)
	return append(b, '.', '0'+byte(us/100%10), '0'+byte(us/10%10), '0'+byte(us%10), '"')
}

func name(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return ""
	}
	return names[i]
}

func cut(s string, most int) string {
	if len(s) > most {
		s = s[:most]
	}
	return s
}

// time appends a TIMESTAMP in UTC to the microsecond.
func (e *Encoder) time(b []byte, at time.Duration) []byte {
	us := int64(at / time.Microsecond)
	day := us / 86_400_000_000
	if day != e.day {
		e.day = day
		time.Unix(day*86400, 0).UTC().AppendFormat(e.date[:0], "2006-01-02")
	}
	us -= day * 86_400_000_000
	s := us / 1e6
	us %= 1e6
	two := func(b []byte, n int64) []byte { return append(b, byte('0'+n/10), byte('0'+n%10)) }
	b = append(append(b, e.date[:]...), 'T')
	b = append(two(b, s/3600), ':')
	b = append(two(b, s/60%60), ':')
	b = append(two(b, s%60), '.')
	b = two(two(two(b, us/10000), us/100%100), us%100)
	return append(b, 'Z')
}

func digits(n uint64) int {
	d := 1
	for ; n >= 10; n /= 10 {
		d++
	}
	return d
}

// Renumber appends msg, whose sequenceId begins at seqAt, with another one.
func Renumber(dst, msg []byte, seqAt int, seq uint32) []byte {
	dst = append(dst, msg[:seqAt]...)
	dst = strconv.AppendUint(dst, uint64(seq), 10)
	for seqAt < len(msg) && msg[seqAt] != '"' {
		seqAt++
	}
	return append(dst, msg[seqAt:]...)
}
