package syslog

import (
	"fmt"
	"time"
	"unicode/utf8"
)

// Message is a parsed message. Its slices refer to the parsed bytes.
type Message struct {
	Facility, Severity               int
	Version                          int
	Time                             time.Time // zero for NILVALUE
	Hostname, AppName, ProcID, MsgID []byte    // nil for NILVALUE
	Elements                         []Element
	Text                             []byte // without its BOM
	BOM                              bool
	params                           []Param
}

// Element is an SD-ELEMENT.
type Element struct {
	ID     []byte
	Params []Param
}

// Param is an SD-PARAM. Its value is still escaped, see AppendValue.
type Param struct{ Name, Value []byte }

// SyntaxError reports what was expected at a byte offset of a message.
type SyntaxError struct {
	At   int
	Want string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("syslog: byte %d: want %s", e.At, e.Want)
}

// Find returns the escaped value of a parameter and whether it exists. An id without "@" also matches elements named
// "id@number".
func (m *Message) Find(id, name string) ([]byte, bool) {
	for i := range m.Elements {
		e := &m.Elements[i]
		if string(e.ID) != id && !(len(e.ID) > len(id) && string(e.ID[:len(id)]) == id && e.ID[len(id)] == '@') {
			continue
		}
		for _, p := range e.Params {
			if string(p.Name) == name {
				return p.Value, true
			}
		}
	}
	return nil, false
}

// AppendValue appends a parameter's value with its escapes removed. Only '"', '\\' and ']' can be escaped; a backslash
// before any other character is kept.
func AppendValue(dst, raw []byte) []byte {
	for i := 0; i < len(raw); i++ {
		if raw[i] == '\\' && i+1 < len(raw) && (raw[i+1] == '"' || raw[i+1] == '\\' || raw[i+1] == ']') {
			i++
		}
		dst = append(dst, raw[i])
	}
	return dst
}

type parser struct {
	b   []byte
	at  int
	err *SyntaxError
}

func (p *parser) fail(want string) bool {
	if p.err == nil {
		p.err = &SyntaxError{p.at, want}
	}
	return false
}

func (p *parser) byte(c byte, want string) bool {
	if p.at >= len(p.b) || p.b[p.at] != c {
		return p.fail(want)
	}
	p.at++
	return true
}

// number reads a decimal number of minDigits to maxDigits digits.
func (p *parser) number(minDigits, maxDigits int, want string) int {
	n, from := 0, p.at
	for p.at < len(p.b) && p.at-from < maxDigits && p.b[p.at] >= '0' && p.b[p.at] <= '9' {
		n = n*10 + int(p.b[p.at]-'0')
		p.at++
	}
	if p.at-from < minDigits {
		p.fail(want)
	}
	return n
}

// field reads a header field of at most maxLen printable characters and the space after it. It returns nil for NILVALUE.
func (p *parser) field(maxLen int, want string) []byte {
	from := p.at
	for p.at < len(p.b) && p.b[p.at] > 32 && p.b[p.at] < 127 {
		p.at++
	}
	f := p.b[from:p.at]
	if len(f) == 0 || len(f) > maxLen {
		p.at = from
		p.fail(want)
		return nil
	}
	p.byte(' ', "a space after "+want)
	if len(f) == 1 && f[0] == '-' {
		return nil
	}
	return f
}

// Parse parses one message into m and reuses the memory of m's slices. A non-nil error is a *SyntaxError.
func Parse(b []byte, m *Message) error {
	p := parser{b: b}
	*m = Message{Elements: m.Elements[:0], params: m.params[:0]}
	p.byte('<', "'<'")
	pri := p.number(1, 3, "a priority")
	if pri > 191 {
		p.fail("a priority of at most 191")
	}
	m.Facility, m.Severity = pri/8, pri%8
	p.byte('>', "'>'")
	if p.at < len(b) && b[p.at] == '0' {
		p.fail("a version above 0")
	}
	m.Version = p.number(1, 3, "a version")
	p.byte(' ', "a space after the version")
	if p.err == nil {
		p.time(m)
	}
	for _, f := range []struct {
		to   *[]byte
		most int
		want string
	}{{&m.Hostname, maxHostnameLen, "a hostname"}, {&m.AppName, maxAppNameLen, "an app name"}, {&m.ProcID, maxProcIDLen, "a process id"},
		{&m.MsgID, 32, "a message id"}} {
		if p.err != nil {
			return p.err
		}
		*f.to = p.field(f.most, f.want)
	}
	if p.err == nil {
		p.data(m)
	}
	if p.err == nil && p.at < len(b) && p.byte(' ', "a space before the text") {
		m.Text = b[p.at:]
		if len(m.Text) >= 3 && string(m.Text[:3]) == "\xEF\xBB\xBF" {
			m.Text, m.BOM = m.Text[3:], true
			if !utf8.Valid(m.Text) {
				p.fail("UTF-8 after a BOM")
			}
		}
	}
	if p.err != nil {
		return p.err
	}
	return nil
}

func (p *parser) time(m *Message) {
	if p.at < len(p.b) && p.b[p.at] == '-' {
		p.at++
		p.byte(' ', "a space after the time")
		return
	}
	twoDigits := func(want string, minValue, maxValue int) int {
		n := p.number(2, 2, want)
		if n < minValue || n > maxValue {
			p.fail(want)
		}
		return n
	}
	year := p.number(4, 4, "a year")
	p.byte('-', "'-'")
	month := twoDigits("a month", 1, 12)
	p.byte('-', "'-'")
	lastDay := 31
	if month >= 1 && month <= 12 {
		lastDay = time.Date(year, time.Month(month)+1, 0, 0, 0, 0, 0, time.UTC).Day()
	}
	day := twoDigits("a day of the month", 1, lastDay)
	p.byte('T', "'T'")
	hour := twoDigits("an hour", 0, 23)
	p.byte(':', "':'")
	minute := twoDigits("a minute", 0, 59)
	p.byte(':', "':'")
	second := twoDigits("a second", 0, 59)
	ns := 0
	if p.at < len(p.b) && p.b[p.at] == '.' {
		p.at++
		from := p.at
		ns = p.number(1, 6, "a part of a second")
		for n := p.at - from; n < 9; n++ {
			ns *= 10
		}
	}
	zone := time.UTC
	if p.at < len(p.b) && p.b[p.at] == 'Z' {
		p.at++
	} else {
		sign := 1
		if p.at < len(p.b) && p.b[p.at] == '-' {
			sign = -1
			p.at++
		} else {
			p.byte('+', "'Z', '+' or '-'")
		}
		h := twoDigits("an hour", 0, 23)
		p.byte(':', "':'")
		s := sign * (h*3600 + 60*twoDigits("a minute", 0, 59))
		zone = time.FixedZone("", s)
	}
	p.byte(' ', "a space after the time")
	if p.err == nil {
		m.Time = time.Date(year, time.Month(month), day, hour, minute, second, ns, zone)
	}
}

// data reads STRUCTURED-DATA.
func (p *parser) data(m *Message) {
	if p.at < len(p.b) && p.b[p.at] == '-' {
		p.at++
		return
	}
	for first := true; p.err == nil && (first || p.at < len(p.b) && p.b[p.at] == '['); first = false {
		p.byte('[', "'-' or '['")
		id := p.name("an element's id")
		for i := range m.Elements {
			if string(m.Elements[i].ID) == string(id) {
				p.fail("an id that no element before it has")
			}
		}
		from := len(m.params)
		for p.err == nil && p.at < len(p.b) && p.b[p.at] == ' ' {
			p.at++
			name := p.name("a parameter's name")
			p.byte('=', "'='")
			p.byte('"', "'\"'")
			m.params = append(m.params, Param{name, p.value()})
		}
		p.byte(']', "']'")
		m.Elements = append(m.Elements, Element{id, m.params[from:len(m.params):len(m.params)]})
	}
}

// name reads an SD-NAME.
func (p *parser) name(want string) []byte {
	from := p.at
	for p.at < len(p.b) && p.b[p.at] > 32 && p.b[p.at] < 127 && p.b[p.at] != '=' && p.b[p.at] != ']' && p.b[p.at] != '"' {
		p.at++
	}
	if n := p.at - from; n == 0 || n > 32 {
		p.at = from
		p.fail(want + " of at most 32 characters")
	}
	return p.b[from:p.at]
}

// value reads a PARAM-VALUE and the quote that ends it.
func (p *parser) value() []byte {
	from := p.at
	for p.at < len(p.b) {
		switch p.b[p.at] {
		case '"':
			v := p.b[from:p.at]
			p.at++
			if !utf8.Valid(v) {
				p.at = from
				p.fail("a value in UTF-8")
			}
			return v
		case ']':
			p.fail("no bare ']' in a value")
			return nil
		case '\\':
			p.at++ // skip the escaped character too; a backslash before another character is literal
		}
		p.at++
	}
	p.fail("'\"' after a value")
	return nil
}
