// Package wire reads and writes the lines of the simulator's protocol. It
// knows names and units, and decides nothing.
package wire

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// textField marks the fields that run to the end of their line.
var textField = map[string]bool{"Facts": true, "ReasonText": true}

type field struct{ name, value string }

// Line is one parsed message.
type Line struct {
	Name   string
	fields []field
}

// Parse splits a line into its name and fields. The fields of l are reused.
func (l *Line) Parse(s string) error {
	l.fields = l.fields[:0]
	s = strings.TrimSuffix(s, "\r")
	name, rest, more := strings.Cut(s, " ")
	if name == "" || strings.Contains(name, "=") {
		return errors.New("no message name")
	}
	l.Name = name
	for more {
		key, value, ok := strings.Cut(rest, "=")
		if !ok || key == "" || strings.Contains(key, " ") {
			return fmt.Errorf("%s: part %q is not name=value", name, clip(rest))
		}
		if textField[key] {
			l.fields = append(l.fields, field{key, value})
			return nil
		}
		value, rest, more = strings.Cut(value, " ")
		l.fields = append(l.fields, field{key, value})
	}
	return nil
}

func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

// Text returns a field and whether it is there.
func (l *Line) Text(name string) (string, bool) {
	for i := range l.fields {
		if l.fields[i].name == name {
			return l.fields[i].value, true
		}
	}
	return "", false
}

// Reader takes typed fields from a Line and keeps the first fault.
type Reader struct {
	L   *Line
	Err error
}

func (r *Reader) fail(format string, args ...any) {
	if r.Err == nil {
		r.Err = fmt.Errorf(r.L.Name+": "+format, args...)
	}
}

// Need returns a text field that must be there.
func (r *Reader) Need(name string) string {
	s, ok := r.L.Text(name)
	if !ok || s == "" {
		r.fail("missing field %s", name)
	}
	return s
}

// Opt returns a text field, empty if absent.
func (r *Reader) Opt(name string) string {
	s, _ := r.L.Text(name)
	return s
}

// Int returns a whole number that must be there.
func (r *Reader) Int(name string) int64 {
	s := r.Need(name)
	if r.Err != nil {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		r.fail("field %s: %q is not a whole number", name, s)
	}
	return n
}

// OptInt returns a whole number, 0 if absent.
func (r *Reader) OptInt(name string) int64 {
	if _, ok := r.L.Text(name); !ok {
		return 0
	}
	return r.Int(name)
}

// OptNum returns a number, def if absent.
func (r *Reader) OptNum(name string, def float64) float64 {
	s, ok := r.L.Text(name)
	if !ok {
		return def
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || f != f || f > 1e18 || f < -1e18 {
		r.fail("field %s: %q is not a number", name, s)
		return def
	}
	return f
}

// Bool returns a 0 or 1 field, false if absent.
func (r *Reader) Bool(name string) bool {
	switch s := r.Opt(name); s {
	case "", "0":
		return false
	case "1":
		return true
	default:
		r.fail("field %s: %q is not 0 or 1", name, s)
		return false
	}
}

// Load calls each for every name:value pair of a load report.
func (r *Reader) Load(name string, each func(key string, value float64)) {
	s := r.Opt(name)
	for more := s != "" && s != "-"; more; {
		var pair string
		pair, s, more = strings.Cut(s, ",")
		key, text, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(text, 64)
		if !ok || key == "" || err != nil || v != v || v > 1e18 || v < -1e18 {
			r.fail("field %s: %q is not name:value", name, pair)
			return
		}
		each(key, v)
	}
}
