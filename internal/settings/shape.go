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

// FaultKind tells faults of a file of settings apart.
type FaultKind int

// The kinds.
const (
	Empty     FaultKind = iota // there is nothing in it
	TooLong                    // it is longer than FileMost
	NotJSON                    // it is cut off, half overwritten, or followed by something
	Missing                    // a key that the start held, or without which the rules can't be kept
	Duplicate                  // a key or a name that should stand once
	BadValue                   // a value of another kind or beyond its bounds
)

// Fault is why a file was refused as a whole. Every fault has a key, empty for the file itself.
type Fault struct {
	Kind        FaultKind
	Key         string // as settings.Grades[2].DeadlineUs
	Found, Want string
}

func (f *Fault) Error() string {
	do := "mend that key"
	if f.Kind <= NotJSON {
		do = "write the whole file anew, best under another name that is then moved over it"
	}
	key := f.Key
	if key == "" {
		key = "the file"
	}
	return fmt.Sprintf("%s: found %s, want %s; nothing was taken from the file: %s, and send SIGHUP again", key, f.Found, f.Want, do)
}

// MaxFileBytes bounds the length of a file, in bytes.
const MaxFileBytes = 4 << 20

// Bounds beyond which a figure is taken for a slip of the pen, far above those of any deployment.
const (
	dayUs     = int64(24 * 3600 * 1e6)
	countMost = 1 << 20
)

// Schema is which keys an object held, with the kinds of their values. It is made of a file that was found good and
// told of later ones, see Check.
type Schema struct {
	kind byte               // '{', '[', 's', 'n', 'b', or 0: any
	keys map[string]*Schema // of an object
	each *Schema            // what every entry of a list has; nil for an empty list
}

var kinds = map[byte]string{'{': "an object", '[': "a list", 's': "a text", 'n': "a number", 'b': "true or false", '0': "null"}

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

// SchemaOf is the shape of a text that was read without a fault. Of the members known only the kind counts, as they
// come and go.
func SchemaOf(text []byte) (*Schema, error) {
	var v any
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if err := d.Decode(&v); err != nil {
		return nil, err
	}
	s := shapeOf(v)
	if k := s.keys["known"]; k != nil {
		s.keys["known"] = &Schema{kind: k.kind}
	}
	return s, nil
}

func shapeOf(v any) *Schema {
	s := &Schema{kind: kindOf(v)}
	switch v := v.(type) {
	case map[string]any:
		s.keys = map[string]*Schema{}
		for name, one := range v {
			s.keys[name] = shapeOf(one)
		}
	case []any:
		for i, one := range v {
			if t := shapeOf(one); i == 0 {
				s.each = t
			} else {
				s.each = common(s.each, t)
			}
		}
	}
	if s.kind == '0' {
		s.kind = 0
	}
	return s
}

// common is what two shapes have in common.
func common(a, b *Schema) *Schema {
	if a == nil || b == nil || a.kind != b.kind {
		return &Schema{}
	}
	s := &Schema{kind: a.kind}
	if a.kind == '{' {
		s.keys = map[string]*Schema{}
		for name := range a.keys {
			if b.keys[name] != nil {
				s.keys[name] = common(a.keys[name], b.keys[name])
			}
		}
	} else if a.each != nil && b.each != nil {
		s.each = common(a.each, b.each)
	}
	return s
}

// Check reports the first fault of a text that is to follow the one that s was made of: whatever the text of the
// start held, and what the rules can't do without, must be held again; more may come. A fault is a *[Fault].
func (s *Schema) Check(text []byte) error {
	v, err := tree(text)
	if err != nil {
		return err
	}
	if err := s.check("", v); err != nil {
		return err
	}
	return values(v)
}

func (s *Schema) check(key string, v any) error {
	if s.kind != 0 && kindOf(v) != s.kind {
		return &Fault{BadValue, key, show(v), kinds[s.kind]}
	}
	switch v := v.(type) {
	case map[string]any:
		for _, name := range sorted(s.keys) {
			one, ok := v[name]
			if !ok {
				return &Fault{Missing, join(key, name), "nothing", "it, as the file of the start held it"}
			}
			if err := s.keys[name].check(join(key, name), one); err != nil {
				return err
			}
		}
	case []any:
		for i, one := range v {
			if s.each == nil {
				break
			}
			if err := s.each.check(fmt.Sprintf("%s[%d]", key, i), one); err != nil {
				return err
			}
		}
	}
	return nil
}

// values checks what the rules can't do without, whatever the start held.
func values(file any) error {
	w := walker{}
	conf := w.object(file, "settings")
	info := w.object(conf, "settings.FamilyInfo")
	for _, name := range []string{"Allowed", "Rules"} { // which a site may have without
		in, _ := conf[name].(map[string]any)
		w.spans(in, "settings."+name)
	}
	allowed, _ := conf["Allowed"].(map[string]any)
	if _, ok := allowed["TryLimit"]; ok {
		w.number(allowed, "settings.Allowed.TryLimit", 1, countMost)
	}
	if _, ok := conf["Instances"]; ok {
		w.number(conf, "settings.Instances", 1, countMost)
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
			w.fault(&Fault{BadValue, key, show(g), kinds['{']})
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
		word(&w, w.get(k, key+".Effect"), key+".Effect", effects)
		if k["Effect"] == "by_key" {
			word(&w, k["KeyScope"], key+".KeyScope", scopes)
		}
		w.least0(k, key, "Value", "LateValue")
		w.number(k, key+".AimUs", 1, dayUs)
		w.number(k, key+".DeadlineUs", 1, dayUs)
		w.spans(k, key)
	}
	for _, name := range []string{"Consistency", "ClassBoundUs"} {
		key := "settings.FamilyInfo." + name
		if l := w.list(info, key); len(l) != len(grades) {
			w.fault(&Fault{BadValue, key, fmt.Sprintf("%d entries", len(l)), fmt.Sprintf("one for each of %d Grades", len(grades))})
		} else {
			for i, v := range l {
				if at := fmt.Sprintf("%s[%d]", key, i); name == "ClassBoundUs" {
					w.within(v, at, 0, dayUs)
				} else {
					word(&w, v, at, needs)
				}
			}
		}
	}
	if v, ok := info["ServerChecks"]; ok {
		word(&w, v, "settings.FamilyInfo.ServerChecks", checks)
	}
	w.spans(conf, "settings")
	w.least0(conf, "settings", "OverShareWorth")
	w.least0(conf["Rules"], "settings.Rules", "ColdShare", "FallMultiple")
	tenants, _ := conf["Tenants"].([]any)
	for i, one := range tenants {
		w.least0(one, fmt.Sprintf("settings.Tenants[%d]", i), "Fraction", "QuotaRps")
	}
	return w.err
}

// walker keeps the first fault.
type walker struct{ err error }

func (w *walker) fault(f *Fault) {
	if w.err == nil {
		w.err = f
	}
}

// get is the value under the last word of a key; in is the object that holds it.
func (w *walker) get(in any, key string) any {
	o, _ := in.(map[string]any)
	v, ok := o[key[strings.LastIndexByte(key, '.')+1:]]
	if !ok {
		w.fault(&Fault{Missing, key, "nothing", "it, as the rules can't be kept without"})
	}
	return v
}

func typed[T any](w *walker, in any, key string, kind byte) T {
	v := w.get(in, key)
	t, ok := v.(T)
	if !ok {
		w.fault(&Fault{BadValue, key, show(v), kinds[kind]})
	}
	return t
}

func (w *walker) object(in any, key string) map[string]any {
	return typed[map[string]any](w, in, key, '{')
}
func (w *walker) list(in any, key string) []any { return typed[[]any](w, in, key, '[') }
func (w *walker) text(in any, key string) string {
	return typed[string](w, in, key, 's')
}
func (w *walker) number(in any, key string, least, most int64) {
	w.within(w.get(in, key), key, least, most)
}

// spans checks the spans of an object, which are in microseconds as their names say.
func (w *walker) spans(in map[string]any, key string) {
	for _, name := range sorted(in) {
		if strings.HasSuffix(name, "Us") {
			w.within(in[name], join(key, name), 0, dayUs)
		}
	}
}

func (w *walker) within(v any, key string, least, most int64) {
	n, _ := v.(json.Number)
	if i, err := strconv.ParseInt(string(n), 10, 64); err != nil || i < least || i > most {
		w.fault(&Fault{BadValue, key, show(v), fmt.Sprintf("a whole number from %d to %d", least, most)})
	}
}

// least0 checks that what an object holds of some keys is no number below 0.
func (w *walker) least0(in any, key string, names ...string) {
	o, _ := in.(map[string]any)
	for _, name := range names {
		n, _ := o[name].(json.Number)
		if f, err := n.Float64(); o[name] != nil && (err != nil || f < 0) {
			w.fault(&Fault{BadValue, join(key, name), show(o[name]), "a number that is not below 0"})
		}
	}
}

// word checks that a value is one of the words that the settings know.
func word[V any](w *walker, v any, key string, known map[string]V) {
	name, ok := v.(string)
	if _, is := known[name]; !ok || !is {
		w.fault(&Fault{BadValue, key, show(v), "one of " + strings.Join(sorted(known), ", ")})
	}
}

func show(v any) string {
	b, err := json.Marshal(v)
	if err != nil || len(b) > 40 {
		return kinds[kindOf(v)]
	}
	return string(b)
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func sorted[V any](m map[string]V) []string {
	var names []string
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// tree reads a text into maps, lists and plain values. Unlike encoding/json it takes no key twice, not even in another
// case, as the later one would count and the earlier would go unseen.
func tree(text []byte) (any, error) {
	if len(text) > MaxFileBytes {
		return nil, &Fault{TooLong, "", fmt.Sprintf("more than %d bytes", MaxFileBytes), fmt.Sprintf("%d at most", MaxFileBytes)}
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return nil, &Fault{Empty, "", "nothing in it", "an object in JSON"}
	}
	if !json.Valid(text) { // bounds the depth, too
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
	v, err := branch(d, "")
	if err == nil && kindOf(v) != '{' {
		err = &Fault{BadValue, "", show(v), kinds['{']}
	}
	return v, err
}

func branch(d *json.Decoder, key string) (any, error) {
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
				return nil, &Fault{Duplicate, join(key, name), "it a second time", "each key once"}
			} else {
				seen[low] = true
			}
			if o[name], err = branch(d, join(key, name)); err != nil {
				return nil, err
			}
		}
		_, err = d.Token()
		return o, err
	case json.Delim('['):
		l := []any{}
		for d.More() {
			v, err := branch(d, fmt.Sprintf("%s[%d]", key, len(l)))
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
			return nil, &Fault{BadValue, key, n.String(), "a number that fits"}
		}
	}
	return token, nil
}

// Read reads a text of settings whole, of FileMost bytes at most.
func Read(r io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err == nil && len(text) > MaxFileBytes {
		_, err = tree(text)
	}
	return text, err
}
