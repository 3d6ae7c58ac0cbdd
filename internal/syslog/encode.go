// Package syslog encodes log records as RFC 5424 messages and parses such messages. It does no I/O.
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

// Config holds what all messages of an encoder have in common. New validates it.
type Config struct {
	Hostname, AppName, ProcID string // the header fields of RFC 5424; empty = NILVALUE
	Version                   string // swVersion of the origin element
	Enterprise                int    // private enterprise number in element ids; 0 = 32473, which RFC 5612 reserves for examples
	MaxBytes                  int    // length limit of a message; 0 = 2048
	Facility                  int    // of Request and Member records, 0 to 23; Program and Gap records have the facility daemon (3)
	Start                     time.Duration
	Classes, Tenants          []string // names, indexed by Record.Class and Record.Tenant
	Key                       []byte   // key of the HMAC that replaces session names
	Synced                    bool     // the clock is synchronized to a reliable source
}

// Limits and numbers of RFC 5424.
const (
	MinMaxBytes       = 480 // every receiver must accept messages of this length
	DefaultMaxBytes   = 2048
	maxHostnameLen    = 255
	maxAppNameLen     = 48
	maxProcIDLen      = 128
	exampleEnterprise = 32473
	daemonFacility    = 3
	maxSeqDigits      = 10 // reserved for any sequenceId, so that Renumber keeps a message within its limit
	MaxSeq            = 1<<31 - 1
	sysUpTimeModulus  = 1 << 32
)

// Gap describes records that were dropped before they were sent to a collector.
type Gap struct {
	Cause       string
	Count       uint64
	First, Last uint32 // sequence numbers of the first and the last dropped record
}

// Meta holds the parts of a message that depend on the collector or the route.
type Meta struct {
	Seq    uint32 // sequenceId, 1 to SeqMost
	Number uint64 // number of the record, the same at every collector
	Weight uint64 // number of records that this one represents after sampling; 1 = only itself
	Gap    *Gap   // for records of kind Gap
}

// Encoder encodes records as messages. It is not safe for concurrent use.
type Encoder struct {
	config             Config
	head               [4][]byte // header after the timestamp, by kind: " HOST APP PROC MSGID "
	timeQuality        []byte    // complete timeQuality element; origin is the complete origin element
	origin             []byte
	elementStart       [4][]byte // start of the element, by kind: "[request@32473"
	memberElementStart []byte
	mac                hash.Hash
	scratch            []byte
	sum                []byte
	day                int64 // days since the Unix epoch of the cached date; -1 = none
	date               [10]byte
}

// New returns an encoder. It returns an error if a header field is not valid or if MaxBytes or Facility is out of range.
func New(c Config) (*Encoder, error) {
	if c.Enterprise == 0 {
		c.Enterprise = exampleEnterprise
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = DefaultMaxBytes
	}
	if c.MaxBytes < MinMaxBytes {
		return nil, fmt.Errorf("max_bytes is %d, want at least %d, the length that every receiver must accept by RFC 5424", c.MaxBytes, MinMaxBytes)
	}
	if c.Facility < 0 || c.Facility > 23 {
		return nil, fmt.Errorf("facility is %d, want 0 to 23", c.Facility)
	}
	for _, f := range []struct {
		name  string
		value *string
		most  int
	}{{"hostname", &c.Hostname, maxHostnameLen}, {"app_name", &c.AppName, maxAppNameLen}, {"process id", &c.ProcID, maxProcIDLen}} {
		if *f.value == "" {
			*f.value = "-"
		}
		if err := printable(*f.value, f.most); err != nil {
			return nil, fmt.Errorf("%s: %w", f.name, err)
		}
	}
	e := &Encoder{config: c, mac: hmac.New(sha256.New, c.Key), day: -1}
	for k, name := range record.Kinds {
		e.head[k] = fmt.Appendf(nil, " %s %s %s %s ", c.Hostname, c.AppName, c.ProcID, name)
		e.elementStart[k] = fmt.Appendf(nil, "[%s@%d", name, c.Enterprise)
	}
	e.memberElementStart = e.elementStart[record.Member]
	synced := 0
	if c.Synced {
		synced = 1
	}
	e.timeQuality = fmt.Appendf(nil, `[timeQuality tzKnown="1" isSynced="%d"]`, synced)
	e.origin = e.value(fmt.Appendf(nil, `[origin enterpriseId="%d" software="reachwind" swVersion="`, c.Enterprise), truncate(c.Version, 32))
	e.origin = append(e.origin, `"]`...)
	if shortest := e.minLength(); shortest > c.MaxBytes {
		return nil, fmt.Errorf("a message without text takes up to %d bytes, max_bytes allows %d: shorten hostname or app_name", shortest, c.MaxBytes)
	}
	return e, nil
}

// minLength returns the length of the longest message from which everything that may be dropped has been dropped.
func (e *Encoder) minLength() int {
	r := record.Record{Kind: record.Request, Class: -1, Tenant: -1, At: 1 << 60, Severity: record.Info, Outcome: record.Refused}
	m := Meta{Seq: MaxSeq, Number: 1<<64 - 1, Weight: 1<<64 - 1}
	longest := 0
	for k := range record.Kinds {
		r.Kind = record.Kind(k)
		m.Gap = &Gap{Cause: "0123456789abcdef", Count: 1<<64 - 1, First: MaxSeq, Last: MaxSeq}
		b, _ := e.write(nil, &r, m, maxRank, cutAll)
		longest = max(longest, len(b)+len(`-4294967295`))
	}
	return longest
}

func printable(s string, maxLen int) error {
	if len(s) > maxLen {
		return fmt.Errorf("%d characters, want at most %d", len(s), maxLen)
	}
	for i := range len(s) {
		if s[i] < 33 || s[i] > 126 {
			return fmt.Errorf("holds the byte %#x, want printable US-ASCII without spaces", s[i])
		}
	}
	return nil
}

// Parts that are dropped, in this order, from a message that exceeds the limit without its text. Rank 0 is never dropped.
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
	rankTenant
	rankCause
	rankClass
	maxRank = rankClass
)

type cutMode int

const (
	cutNone cutMode = iota
	cutText         // the text was cut
	cutAll          // the text was removed and parameters were dropped
)

// ErrTooLong is returned for a record that does not fit into MaxBytes with all optional parts dropped. The gateway
// makes no such records; the error ensures that no message exceeds the limit.
var ErrTooLong = errors.New("syslog: no message within max_bytes holds this record")

// Append appends the message for r to dst and returns the offset of its sequenceId in the result. The message is at
// most MaxBytes long, also after Renumber with any other sequenceId. A longer message is shortened: first its text,
// then parameters in the order that is documented for operators. Its parameter "cut" then says "text" or "params".
func (e *Encoder) Append(dst []byte, r *record.Record, m Meta) (out []byte, seqAt int, err error) {
	start := len(dst)
	limit := e.config.MaxBytes - maxSeqDigits + digits(uint64(m.Seq))
	dst, seqAt = e.write(dst, r, m, 0, cutNone)
	textAt := len(dst)
	dst = e.text(dst, r, m)
	if len(dst)-start <= limit {
		return dst, seqAt, nil
	}
	for rank, how := 0, cutText; ; rank, how = rank+1, cutAll {
		if rank > maxRank {
			return dst[:start], 0, ErrTooLong
		}
		dst, seqAt = e.write(dst[:start], r, m, rank, how)
		if textAt = len(dst); textAt-start > limit {
			continue
		}
		if rank == 0 { // if parameters had to be dropped, the text is left out
			dst = e.text(dst, r, m)
			if n := len(dst) - start; n > limit {
				keep := start + limit
				for keep > textAt && !utf8.RuneStart(dst[keep]) {
					keep--
				}
				if keep-textAt <= 1+3 { // only the space, or the space and a BOM, is left
					keep = textAt
				}
				dst = dst[:keep]
			}
		}
		return dst, seqAt, nil
	}
}

// write appends the message without its text. Parts of rank 1 to drop are left out.
func (e *Encoder) write(b []byte, r *record.Record, m Meta, drop int, how cutMode) (out []byte, seqAt int) {
	facility := e.config.Facility
	if r.Kind >= record.Program {
		facility = daemonFacility
	}
	b = append(b, '<')
	b = strconv.AppendUint(b, uint64(facility*8+int(r.Severity)), 10)
	b = append(b, ">1 "...)
	b = e.time(b, r.At)
	b = append(b, e.head[r.Kind]...)
	if drop < rankQuality {
		b = append(b, e.timeQuality...)
	}
	if drop < rankOrigin {
		b = append(b, e.origin...)
	}
	b = append(b, `[meta sequenceId="`...)
	seqAt = len(b)
	b = strconv.AppendUint(b, uint64(m.Seq), 10)
	b = append(b, `" sysUpTime="`...)
	b = strconv.AppendUint(b, uint64(max(0, r.At-e.config.Start)/(10*time.Millisecond))%sysUpTimeModulus, 10)
	b = append(b, `"]`...)
	b = append(b, e.elementStart[r.Kind]...)
	b = uintParam(b, "n", m.Number)
	if m.Weight > 1 {
		b = uintParam(b, "weight", m.Weight)
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
		b = e.memberChange(b, r, drop)
	case record.Gap:
		if m.Gap != nil {
			b = e.param(b, "cause", m.Gap.Cause)
			b = uintParam(b, "count", m.Gap.Count)
			b = uintParam(b, "first", uint64(m.Gap.First))
			b = uintParam(b, "last", uint64(m.Gap.Last))
		}
	}
	return append(b, ']'), seqAt
}

func (e *Encoder) request(b []byte, r *record.Record, drop int) []byte {
	b = e.param(b, "outcome", r.Outcome.String())
	if drop < rankClass {
		b = e.param(b, "class", nameAt(e.config.Classes, r.Class))
	}
	if drop < rankTenant {
		b = e.param(b, "customer", nameAt(e.config.Tenants, r.Tenant))
	}
	if r.Cause != record.NoCause && drop < rankCause {
		b = e.param(b, "cause", r.Cause.String())
	}
	if r.Outcome == record.Refused && r.RetryAfter > 0 && drop < rankAfter {
		b = millisParam(b, "after_ms", r.RetryAfter)
	}
	if drop < rankAttempts {
		b = uintParam(b, "attempts", uint64(r.Attempts))
	}
	if drop < rankTotal {
		b = millisParam(b, "total_ms", r.Total)
	}
	if drop < rankWait {
		b = millisParam(b, "wait_ms", r.WaitTime)
	}
	if drop < rankCluster {
		b = e.intParam(b, "cluster", r.Group)
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
	b = append(append(b, ']'), e.memberElementStart...)
	b = e.param(b, "id", r.Member)
	b = e.roleAndPosition(b, r, drop)
	if r.AttemptTime > 0 && drop < rankTaken {
		b = millisParam(b, "took_ms", r.AttemptTime)
	}
	if r.HasLag && drop < rankLag {
		b = millisParam(b, "lag_ms", r.Lag)
	}
	return b
}

func (e *Encoder) memberChange(b []byte, r *record.Record, drop int) []byte {
	b = e.param(b, "change", r.Change.String())
	if r.Member != "" && drop < rankMember {
		b = e.param(b, "id", r.Member)
	}
	if drop < rankCluster {
		b = e.intParam(b, "cluster", r.Group)
	}
	return e.roleAndPosition(b, r, drop)
}

func (e *Encoder) roleAndPosition(b []byte, r *record.Record, drop int) []byte {
	if r.Role != decide.RoleUnknown && drop < rankRole {
		role := "replica"
		if r.Role == decide.Primary {
			role = "primary"
		}
		b = e.param(b, "role", role)
	}
	if r.Position > 0 && drop < rankPosition {
		b = uintParam(b, "position", uint64(r.Position/time.Millisecond))
	}
	return b
}

// text appends " MSG". Control bytes in it become #ooo (octal), as RFC 5424 suggests for NUL, so that LF can delimit
// messages.
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

// plain appends s as valid UTF-8 with control bytes escaped, and without BOMs at its start.
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

// char appends the character of s at i and returns the index of the next one.
func (e *Encoder) char(b []byte, s string, i int) ([]byte, int) {
	c := s[i]
	if c >= utf8.RuneSelf {
		r, n := utf8.DecodeRuneInString(s[i:])
		return utf8.AppendRune(b, r), i + n // U+FFFD for invalid UTF-8
	}
	if c < ' ' || c == 0x7f {
		return append(b, '#', '0'+c>>6, '0'+c>>3&7, '0'+c&7), i + 1
	}
	return append(b, c), i + 1
}

// value appends s, escaped as a PARAM-VALUE of RFC 5424, section 6.3.3.
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

func (e *Encoder) intParam(b []byte, name string, v int64) []byte {
	b = append(append(append(b, ' '), name...), `="`...)
	return append(strconv.AppendInt(b, v, 10), '"')
}

func uintParam(b []byte, name string, v uint64) []byte {
	b = append(append(append(b, ' '), name...), `="`...)
	return append(strconv.AppendUint(b, v, 10), '"')
}

// millisParam appends a duration in milliseconds with three decimals.
func millisParam(b []byte, name string, d time.Duration) []byte {
	us := uint64(max(d, 0) / time.Microsecond)
	b = append(append(append(b, ' '), name...), `="`...)
	b = strconv.AppendUint(b, us/1000, 10)
	return append(b, '.', '0'+byte(us/100%10), '0'+byte(us/10%10), '0'+byte(us%10), '"')
}

func nameAt(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return ""
	}
	return names[i]
}

func truncate(s string, maxLen int) string {
	if len(s) > maxLen {
		s = s[:maxLen]
	}
	return s
}

// time appends a TIMESTAMP in UTC with microseconds.
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
	twoDigits := func(b []byte, n int64) []byte { return append(b, byte('0'+n/10), byte('0'+n%10)) }
	b = append(append(b, e.date[:]...), 'T')
	b = append(twoDigits(b, s/3600), ':')
	b = append(twoDigits(b, s/60%60), ':')
	b = append(twoDigits(b, s%60), '.')
	b = twoDigits(twoDigits(twoDigits(b, us/10000), us/100%100), us%100)
	return append(b, 'Z')
}

func digits(n uint64) int {
	d := 1
	for ; n >= 10; n /= 10 {
		d++
	}
	return d
}

// Renumber appends msg to dst with its sequenceId, which starts at offset seqAt of msg, replaced by seq.
func Renumber(dst, msg []byte, seqAt int, seq uint32) []byte {
	dst = append(dst, msg[:seqAt]...)
	dst = strconv.AppendUint(dst, uint64(seq), 10)
	for seqAt < len(msg) && msg[seqAt] != '"' {
		seqAt++
	}
	return append(dst, msg[seqAt:]...)
}
