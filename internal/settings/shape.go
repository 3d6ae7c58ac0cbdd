package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
)

// FaultKind classifies the faults of a configuration file.
type FaultKind int

// Kinds of faults. Up to NotJSON they are faults of the file itself, not of a key.
const (
	Empty     FaultKind = iota // the file is empty
	TooLong                    // the file is longer than MaxFileBytes
	NotJSON                    // the file is cut off, partly overwritten, or has more after the object
	Missing                    // a key is missing that the file had at the start, or that the gateway needs
	Duplicate                  // a key or a name appears more than once
	BadValue                   // a value has another type or is out of bounds
)

// Fault is the error for a file that is refused as a whole.
type Fault struct {
	Kind        FaultKind
	Key         string // path of the key, as settings.Grades[2].DeadlineUs; empty for the file itself
	Found, Want string
}

// Error implements error.
func (f *Fault) Error() string {
	action := "correct that key"
	if f.Kind <= NotJSON {
		action = "write the whole file again, preferably under another name that is then renamed to this one"
	}
	key := f.Key
	if key == "" {
		key = "the file"
	}
	return fmt.Sprintf("%s: found %s, want %s; the file was not applied: %s, and send SIGHUP again", key, f.Found, f.Want, action)
}

// MaxFileBytes is the maximum length of a configuration file, in bytes.
const MaxFileBytes = 4 << 20

// Bounds far above the values of any deployment: a figure beyond them is taken for a mistake.
const (
	dayUs    = int64(24 * 3600 * 1e6)
	maxCount = 1 << 20
)

// Schema is a schema of a configuration file: the keys of its objects, with the types of their values. It is derived
// from a valid file, and later files are checked against it, see Check.
type Schema struct {
	kind byte               // '{', '[', 's', 'n', 'b', or 0: any
	keys map[string]*Schema // of an object
	elem *Schema            // common to all entries of a list; nil for an empty list
}

var kindNames = map[byte]string{'{': "an object", '[': "a list", 's': "a text", 'n': "a number", 'b': "true or false", '0': "null"}

// kindOf returns the JSON type of a decoded value, as a key of kinds.
func kindOf(v any) byte {
	switch v.(type) {
	case map[string]any:
		return '{'
	case []any:
		return '['
	case string:
		return 's'
	case json.Number:
		return 'n'
	case bool:
		return 'b'
	}
	return '0'
}

// SchemaOf derives the schema of a valid text. Of the key known, which lists members, it keeps only the type, as
// members come and go.
func SchemaOf(text []byte) (*Schema, error) {
	var v any
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	s := schemaOf(v)
	if k := s.keys["known"]; k != nil {
		s.keys["known"] = &Schema{kind: k.kind}
	}
	return s, nil
}

// schemaOf derives the schema of a decoded value.
func schemaOf(v any) *Schema {
	s := &Schema{kind: kindOf(v)}
	switch v := v.(type) {
	case map[string]any:
		s.keys = map[string]*Schema{}
		for name, one := range v {
			s.keys[name] = schemaOf(one)
		}
	case []any:
		for i, one := range v {
			if t := schemaOf(one); i == 0 {
				s.elem = t
			} else {
				s.elem = intersect(s.elem, t)
			}
		}
	}
	if s.kind == '0' {
		s.kind = 0
	}
	return s
}

// intersect returns the schema that two schemas have in common.
func intersect(a, b *Schema) *Schema {
	if a == nil || b == nil || a.kind != b.kind {
		return &Schema{}
	}
	s := &Schema{kind: a.kind}
	if a.kind == '{' {
		s.keys = map[string]*Schema{}
		for name := range a.keys {
			if b.keys[name] != nil {
				s.keys[name] = intersect(a.keys[name], b.keys[name])
			}
		}
	} else if a.elem != nil && b.elem != nil {
		s.elem = intersect(a.elem, b.elem)
	}
	return s
}

// Check returns the first fault of a text that is to replace the one that s was derived from, as a *[Fault]. The new
// text must have all keys of the old one, with values of the same types, and the keys that the gateway needs; it may
// have more.
func (s *Schema) Check(text []byte) error {
	v, err := decodeTree(text)
	if err != nil {
		return err
	}
	if err := s.check("", v); err != nil {
		return err
	}
	return checkValues(v)
}

// check compares the value at a key path with the schema.
func (s *Schema) check(key string, v any) error {
	if s.kind != 0 && kindOf(v) != s.kind {
		return &Fault{BadValue, key, display(v), kindNames[s.kind]}
	}
	switch v := v.(type) {
	case map[string]any:
		for _, name := range sortedKeys(s.keys) {
			one, ok := v[name]
			if !ok {
				return &Fault{Missing, joinKey(key, name), "nothing", "it, as the file of the start held it"}
			}
			if err := s.keys[name].check(joinKey(key, name), one); err != nil {
				return err
			}
		}
	case []any:
		for i, one := range v {
			if s.elem == nil {
				break
			}
			if err := s.elem.check(fmt.Sprintf("%s[%d]", key, i), one); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkValues checks the keys that the gateway needs, and the bounds of values, whatever the file at the start had.
func checkValues(file any) error {
	w := checker{}
	conf := w.object(file, "settings")
	info := w.object(conf, "settings.FamilyInfo")
	for _, name := range []string{"Allowed", "Rules"} { // optional
		in, _ := conf[name].(map[string]any)
		w.durations(in, "settings."+name)
	}
	allowed, _ := conf["Allowed"].(map[string]any)
	if _, ok := allowed["TryLimit"]; ok {
		w.number(allowed, "settings.Allowed.TryLimit", 1, maxCount)
	}
	if _, ok := conf["Instances"]; ok {
		w.number(conf, "settings.Instances", 1, maxCount)
	}
	grades := w.list(conf, "settings.Grades")
	if len(grades) == 0 {
		w.fault(&Fault{BadValue, "settings.Grades", "no class", "at least one"})
	}
	names := map[string]bool{}
	for i, g := range grades {
		key := fmt.Sprintf("settings.Grades[%d]", i)
		k, ok := g.(map[string]any)
		if !ok {
			w.fault(&Fault{BadValue, key, display(g), kindNames['{']})
			break
		}
		name := w.text(k, key+".Name")
		switch {
		case name == "":
			w.fault(&Fault{BadValue, key + ".Name", "an empty text", "a name"})
		case names[name]:
			w.fault(&Fault{Duplicate, key + ".Name", strconv.Quote(name) + " a second time", "a name of its own"})
		}
		names[name] = true
		oneOf(&w, w.get(k, key+".Effect"), key+".Effect", effects)
		if k["Effect"] == "by_key" {
			oneOf(&w, k["KeyScope"], key+".KeyScope", scopes)
		}
		w.nonNegative(k, key, "Value", "LateValue")
		w.number(k, key+".AimUs", 1, dayUs)
		w.number(k, key+".DeadlineUs", 1, dayUs)
		w.durations(k, key)
	}
	for _, name := range []string{"Consistency", "ClassBoundUs"} {
		key := "settings.FamilyInfo." + name
		if l := w.list(info, key); len(l) != len(grades) {
			w.fault(&Fault{BadValue, key, fmt.Sprintf("%d entries", len(l)), fmt.Sprintf("one for each of %d Grades", len(grades))})
		} else {
			for i, v := range l {
				if at := fmt.Sprintf("%s[%d]", key, i); name == "ClassBoundUs" {
					w.inRange(v, at, 0, dayUs)
				} else {
					oneOf(&w, v, at, consistencies)
				}
			}
		}
	}
	if v, ok := info["ServerChecks"]; ok {
		oneOf(&w, v, "settings.FamilyInfo.ServerChecks", checks)
	}
	w.durations(conf, "settings")
	w.nonNegative(conf, "settings", "OverShareWorth")
	w.nonNegative(conf["Rules"], "settings.Rules", "ColdShare", "FallMultiple")
	tenants, _ := conf["Tenants"].([]any)
	for i, one := range tenants {
		w.nonNegative(one, fmt.Sprintf("settings.Tenants[%d]", i), "Fraction", "QuotaRps")
	}
	return w.err
}

// checker reads values of the decoded file and keeps the first fault.
type checker struct{ err error }

func (w *checker) fault(f *Fault) {
	if w.err == nil {
		w.err = f
	}
}

// get returns the value of a key path; in is the object that has its last element. A missing key is a fault.
func (w *checker) get(in any, key string) any {
	o, _ := in.(map[string]any)
	v, ok := o[key[strings.LastIndexByte(key, '.')+1:]]
	if !ok {
		w.fault(&Fault{Missing, key, "nothing", "it, as the rules can't be kept without"})
	}
	return v
}

// typed returns the value of a key path as a T; another type is a fault.
func typed[T any](w *checker, in any, key string, kind byte) T {
	v := w.get(in, key)
	t, ok := v.(T)
	if !ok {
		w.fault(&Fault{BadValue, key, display(v), kindNames[kind]})
	}
	return t
}

func (w *checker) object(in any, key string) map[string]any {
	return typed[map[string]any](w, in, key, '{')
}
func (w *checker) list(in any, key string) []any { return typed[[]any](w, in, key, '[') }
func (w *checker) text(in any, key string) string {
	return typed[string](w, in, key, 's')
}
func (w *checker) number(in any, key string, lowest, highest int64) {
	w.inRange(w.get(in, key), key, lowest, highest)
}

// durations checks the durations of an object: its keys that end in Us, for microseconds.
func (w *checker) durations(in map[string]any, key string) {
	for _, name := range sortedKeys(in) {
		if strings.HasSuffix(name, "Us") {
			w.inRange(in[name], joinKey(key, name), 0, dayUs)
		}
	}
}

// inRange checks that v is a whole number within bounds.
func (w *checker) inRange(v any, key string, lowest, highest int64) {
	n, _ := v.(json.Number)
	if i, err := strconv.ParseInt(string(n), 10, 64); err != nil || i < lowest || i > highest {
		w.fault(&Fault{BadValue, key, display(v), fmt.Sprintf("a whole number from %d to %d", lowest, highest)})
	}
}

// nonNegative checks that the given keys of an object are missing or numbers that are not negative.
func (w *checker) nonNegative(in any, key string, names ...string) {
	o, _ := in.(map[string]any)
	for _, name := range names {
		n, _ := o[name].(json.Number)
		if f, err := n.Float64(); o[name] != nil && (err != nil || f < 0) {
			w.fault(&Fault{BadValue, joinKey(key, name), display(o[name]), "a number that is not below 0"})
		}
	}
}

// oneOf checks that a value is one of the known names.
func oneOf[V any](w *checker, v any, key string, known map[string]V) {
	name, ok := v.(string)
	if _, is := known[name]; !ok || !is {
		w.fault(&Fault{BadValue, key, display(v), "one of " + strings.Join(sortedKeys(known), ", ")})
	}
}

// display returns a short value as JSON, and the type of a long one.
func display(v any) string {
	b, err := json.Marshal(v)
	if err != nil || len(b) > 40 {
		return kindNames[kindOf(v)]
	}
	return string(b)
}

// joinKey appends a name to a key path.
func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// decodeTree decodes a text into maps, slices and plain values. Unlike encoding/json it refuses duplicate keys, also
// those that differ only in case: the last would win and the others would silently be ignored.
func decodeTree(text []byte) (any, error) {
	if len(text) > MaxFileBytes {
		return nil, &Fault{TooLong, "", fmt.Sprintf("more than %d bytes", MaxFileBytes), fmt.Sprintf("at most %d", MaxFileBytes)}
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, &Fault{Empty, "", "nothing in it", "an object in JSON"}
	}
	if !json.Valid(text) { // which also bounds the depth
		var v any
		err := json.Unmarshal(text, &v)
		found := fmt.Sprint(err)
		var at *json.SyntaxError
		if errors.As(err, &at) {
			found += fmt.Sprintf(" after byte %d of %d", at.Offset, len(text))
		}
		return nil, &Fault{NotJSON, "", found, "one whole object in JSON"}
	}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	v, err := decodeValue(d, "")
	if err == nil && kindOf(v) != '{' {
		err = &Fault{BadValue, "", display(v), kindNames['{']}
	}
	return v, err
}

// decodeValue decodes the next value, which has the given key path.
func decodeValue(d *json.Decoder, key string) (any, error) {
	token, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		o, seen := map[string]any{}, map[string]bool{}
		for d.More() {
			t, err := d.Token()
			if err != nil {
				return nil, err
			}
			name, _ := t.(string)
			if low := strings.ToLower(name); seen[low] {
				return nil, &Fault{Duplicate, joinKey(key, name), "it a second time", "each key once"}
			} else {
				seen[low] = true
			}
			if o[name], err = decodeValue(d, joinKey(key, name)); err != nil {
				return nil, err
			}
		}
		_, err = d.Token()
		return o, err
	case json.Delim('['):
		l := []any{}
		for d.More() {
			v, err := decodeValue(d, fmt.Sprintf("%s[%d]", key, len(l)))
			if err != nil {
				return nil, err
			}
			l = append(l, v)
		}
		_, err = d.Token()
		return l, err
	}
	if n, ok := token.(json.Number); ok {
		if f, err := n.Float64(); err != nil || math.IsInf(f, 0) {
			return nil, &Fault{BadValue, key, n.String(), "a number within the range of a 64-bit float"}
		}
	}
	return token, nil
}

// Read reads a configuration file whole. For one of more than MaxFileBytes bytes it returns a *[Fault].
func Read(r io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err == nil && len(text) > MaxFileBytes {
		_, err = decodeTree(text)
	}
	return text, err
}
