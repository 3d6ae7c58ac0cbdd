// Package rfc5424 checks syslog messages against the ABNF of RFC 5424, section 6,
// by a grammar of its own. It shares no code with the product's parser, so that
// each can find the other's faults. It is far too slow for anything but checking.
package rfc5424

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Message is a checked message. A header field that is NILVALUE is "-".
type Message struct {
	Pri       string     `parser:"@Pri"`
	Version   string     `parser:"@Version SP"`
	Timestamp string     `parser:"( @Timestamp | @NilTime ) SP"`
	Hostname  string     `parser:"@Hostname SP"`
	AppName   string     `parser:"@AppName SP"`
	ProcID    string     `parser:"@ProcID SP"`
	MsgID     string     `parser:"@MsgID SP"`
	Nil       bool       `parser:"( @NilData"`
	Elements  []*Element `parser:"| @@+ )"`
	Msg       *Msg       `parser:"@@?"`
}

// Msg is what follows the structured data.
type Msg struct {
	Space string `parser:"@SPMsg"`
	Text  string `parser:"@Text?"`
}

// Element is an SD-ELEMENT.
type Element struct {
	ID     string   `parser:"@Open"`
	Params []*Param `parser:"@@* Close"`
}

// Param is an SD-PARAM. Its value is without quotes, with its escapes.
type Param struct {
	Name  string `parser:"SP @Name '='"`
	Value string `parser:"@Value"`
}

// Header fields differ by their place only, so each place is a state of the lexer.
var (
	sdName = `[!#-<>-\\^-~]{1,32}`
	rules  = lexer.Rules{
		"Root":    {{Name: "Pri", Pattern: `<[0-9]{1,3}>`, Action: lexer.Push("Version")}},
		"Version": {{Name: "Version", Pattern: `[1-9][0-9]{0,2}`}, {Name: "SP", Pattern: ` `, Action: lexer.Push("Time")}},
		"Time":    {{Name: "Timestamp", Pattern: `[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9]{2}:[0-9]{2}:[0-9]{2}(\.[0-9]{1,6})?(Z|[+-][0-9]{2}:[0-9]{2})`}, {Name: "NilTime", Pattern: `-`}, {Name: "SP", Pattern: ` `, Action: lexer.Push("Host")}},
		"Host":    {{Name: "Hostname", Pattern: `[!-~]{1,255}`}, {Name: "SP", Pattern: ` `, Action: lexer.Push("App")}},
		"App":     {{Name: "AppName", Pattern: `[!-~]{1,48}`}, {Name: "SP", Pattern: ` `, Action: lexer.Push("Proc")}},
		"Proc":    {{Name: "ProcID", Pattern: `[!-~]{1,128}`}, {Name: "SP", Pattern: ` `, Action: lexer.Push("ID")}},
		"ID":      {{Name: "MsgID", Pattern: `[!-~]{1,32}`}, {Name: "SP", Pattern: ` `, Action: lexer.Push("Data")}},
		"Data":    {{Name: "NilData", Pattern: `-`}, {Name: "Open", Pattern: `\[` + sdName, Action: lexer.Push("Element")}, {Name: "SPMsg", Pattern: ` `, Action: lexer.Push("Msg")}},
		"Element": {{Name: "SP", Pattern: ` `}, {Name: "Name", Pattern: sdName}, {Name: "Equals", Pattern: `=`}, {Name: "Value", Pattern: `(?s)"([^"\\\]]|\\.)*"`}, {Name: "Close", Pattern: `\]`, Action: lexer.Pop()}},
		"Msg":     {{Name: "Text", Pattern: `(?s).+`}},
	}
	grammar = participle.MustBuild[Message](participle.Lexer(lexer.MustStateful(rules)), participle.UseLookahead(2))
)

const bom = "\xEF\xBB\xBF"

// Check parses a message, and reports the first rule of the RFC that it breaks.
func Check(b []byte) (*Message, error) {
	m, err := grammar.ParseString("", string(b))
	if err != nil {
		return nil, err
	}
	if pri, _ := strconv.Atoi(strings.Trim(m.Pri, "<>")); pri > 191 {
		return nil, fmt.Errorf("PRIVAL is %d, want 0 to 191", pri)
	}
	if err := date(m.Timestamp); err != nil {
		return nil, err
	}
	ids := map[string]bool{}
	for _, e := range m.Elements {
		e.ID = e.ID[1:]
		if ids[e.ID] {
			return nil, fmt.Errorf("SD-ID %q comes twice", e.ID)
		}
		ids[e.ID] = true
		for _, p := range e.Params {
			p.Value = p.Value[1 : len(p.Value)-1]
			if !utf8.ValidString(p.Value) {
				return nil, fmt.Errorf("the value of %s %s is not UTF-8", e.ID, p.Name)
			}
		}
	}
	if m.Msg != nil && strings.HasPrefix(m.Msg.Text, bom) && !utf8.ValidString(m.Msg.Text) {
		return nil, fmt.Errorf("a BOM, and no UTF-8 behind it")
	}
	return m, nil
}

func date(s string) error {
	if s == "-" {
		return nil
	}
	day, clock, _ := strings.Cut(s, "T")
	if _, err := time.Parse("2006-01-02", day); err != nil {
		return fmt.Errorf("TIMESTAMP: %w", err)
	}
	if _, err := time.Parse("15:04:05", clock[:8]); err != nil {
		return fmt.Errorf("TIMESTAMP: %w", err)
	}
	if !strings.HasSuffix(s, "Z") {
		if _, err := time.Parse("15:04", s[len(s)-5:]); err != nil {
			return fmt.Errorf("TIMESTAMP: offset: %w", err)
		}
	}
	return nil
}

// Find is a parameter's value without escapes, "" if it is not there. The id goes without its "@number".
func (m *Message) Find(id, name string) string {
	for _, e := range m.Elements {
		if got, _, _ := strings.Cut(e.ID, "@"); got != id {
			continue
		}
		for _, p := range e.Params {
			if p.Name == name {
				return unescape.Replace(p.Value)
			}
		}
	}
	return ""
}

var unescape = strings.NewReplacer(`\"`, `"`, `\\`, `\`, `\]`, `]`)
