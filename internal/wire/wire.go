// Package wire parses the lines of the simulator's protocol: a message name
// followed by name=value fields, separated by spaces.
package wire

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// textFields holds the fields whose value extends to the end of the line.
var textFields = map[string]bool{"Facts": true, "ReasonText": true}

type field struct{ name, value string }

// Line is one parsed line: a message with its fields.
type Line struct {
	Name   string
	fields []field
}

// Parse splits a line into its message name and fields, and reuses the storage of l's fields.
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
		if textFields[key] {
			l.fields = append(l.fields, field{key, value})
			return nil
		}
		value, rest, more = strings.Cut(value, " ")
		l.fields = append(l.fields, field{key, value})
	}
	return nil
}

// clip shortens s for an error message.
func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}

// Field returns the value of a field, and whether the line has it.
func (l *Line) Field(name string) (string, bool) {
	for i := range l.fields {
		if l.fields[i].name == name {
			return l.fields[i].value, true
		}
	}
	return "", false
}

// Reader reads typed fields of a Line. Err is the first error.
type Reader struct {
	Line *Line
	Err  error
}

func (r *Reader) fail(format string, args ...any) {
	if r.Err == nil {
		r.Err = fmt.Errorf(r.Line.Name+": "+format, args...)
	}
}

// Text returns a required text field. It must not be empty.
func (r *Reader) Text(name string) string {
	s, ok := r.Line.Field(name)
	if !ok || s == "" {
		r.fail("missing field %s", name)
	}
	return s
}

// OptText returns an optional text field, empty if absent.
func (r *Reader) OptText(name string) string {
	s, _ := r.Line.Field(name)
	return s
}

// Int returns a required integer.
func (r *Reader) Int(name string) int64 {
	s := r.Text(name)
	if r.Err != nil {
		return 0
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		r.fail("field %s: %q is not a whole number", name, s)
	}
	return n
}

// OptInt returns an optional integer, 0 if absent.
func (r *Reader) OptInt(name string) int64 {
	if _, ok := r.Line.Field(name); !ok {
		return 0
	}
	return r.Int(name)
}

// OptNum returns an optional number, def if absent. NaN and magnitudes above 1e18 are errors.
func (r *Reader) OptNum(name string, def float64) float64 {
	s, ok := r.Line.Field(name)
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

// Bool returns an optional boolean, written as 0 or 1, false if absent.
func (r *Reader) Bool(name string) bool {
	switch s := r.OptText(name); s {
	case "", "0":
		return false
	case "1":
		return true
	default:
		r.fail("field %s: %q is not 0 or 1", name, s)
		return false
	}
}

// EachFigure calls each for every name:value pair of a load report.
func (r *Reader) EachFigure(name string, each func(key string, value float64)) {
	s := r.OptText(name)
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
