// Package edgeconf reads the product configuration, which is written in HCL. It
// knows the form only: each subsystem owns a block and reads it by name. All faults
// are gathered, each with file, line and column, what was found and what is wanted;
// a name that nobody reads is a fault.
package edgeconf

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// Faults are all faults of a file, in the order of their places.
type Faults []Fault

// Fault is one fault and its place.
type Fault struct {
	File         string
	Line, Column int
	Text         string
}

func (f Fault) String() string { return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text) }

// Error gives a line for each fault.
func (f Faults) Error() string {
	var lines []string
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// Block is a block that is being read. Its methods return the value of an
// attribute, or the default where it is absent or at fault.
type Block struct {
	Type   string
	Label  string
	dir    string // names of files are relative to it
	body   *hclsyntax.Body
	faults *Faults
	seen   map[string]bool
	place  hcl.Range
}

// Load reads a file and has read take what it wants of it.
func Load(path string, read func(*Block)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Parse(path, text, read)
}

// Parse is Load for a text; path stands in faults, and names of files in it are relative to its folder.
func Parse(path string, text []byte, read func(*Block)) error {
	var faults Faults
	file, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	for _, d := range diags {
		r := hcl.Range{Filename: path, Start: hcl.InitialPos}
		if d.Subject != nil {
			r = *d.Subject
		}
		faults.add(r, "%s: %s", d.Summary, d.Detail)
	}
	if body, ok := file.Body.(*hclsyntax.Body); ok && !diags.HasErrors() {
		b := &Block{dir: filepath.Dir(path), body: body, faults: &faults, seen: map[string]bool{}, place: body.SrcRange}
		read(b)
		b.close()
	}
	if len(faults) == 0 {
		return nil
	}
	sort.SliceStable(faults, func(i, j int) bool {
		a, b := faults[i], faults[j]
		return a.Line < b.Line || a.Line == b.Line && a.Column < b.Column
	})
	return faults
}

func (f *Faults) add(r hcl.Range, format string, args ...any) {
	*f = append(*f, Fault{r.Filename, r.Start.Line, r.Start.Column, fmt.Sprintf(format, args...)})
}

// AddFault notes a fault of the block as a whole.
func (b *Block) AddFault(format string, args ...any) { b.faults.add(b.place, format, args...) }

// AddFaultAt notes a fault of an attribute, or of the block where that is absent.
func (b *Block) AddFaultAt(name, format string, args ...any) {
	if a := b.body.Attributes[name]; a != nil {
		b.faults.add(a.Expr.Range(), format, args...)
		return
	}
	b.AddFault(format, args...)
}

// Has tells whether an attribute is there.
func (b *Block) Has(name string) bool { return b.body.Attributes[name] != nil }

func (b *Block) value(name, want string) (cty.Value, bool) {
	b.seen[name] = true
	a := b.body.Attributes[name]
	if a == nil {
		return cty.NilVal, false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() || v.IsNull() || !v.IsWhollyKnown() {
		b.AddFaultAt(name, "%s is no plain value, want %s", name, want)
		return cty.NilVal, false
	}
	return v, true
}

// found describes a value for people.
func found(v cty.Value) string {
	switch v.Type() {
	case cty.String:
		return strconv.Quote(v.AsString())
	case cty.Number:
		return v.AsBigFloat().Text('g', 10)
	case cty.Bool:
		return strconv.FormatBool(v.True())
	}
	return "a " + v.Type().FriendlyName()
}

// String reads a string.
func (b *Block) String(name, usual string) string {
	v, ok := b.value(name, "a text")
	if !ok {
		return usual
	}
	if v.Type() != cty.String {
		b.AddFaultAt(name, "%s is %s, want a text in quotes", name, found(v))
		return usual
	}
	return v.AsString()
}

// FilePath reads the name of a file, relative to the configuration's folder.
func (b *Block) FilePath(name string) string {
	f := b.String(name, "")
	if f == "" || filepath.IsAbs(f) {
		return f
	}
	return filepath.Join(b.dir, f)
}

// Bool reads true or false.
func (b *Block) Bool(name string, usual bool) bool {
	v, ok := b.value(name, "true or false")
	if !ok {
		return usual
	}
	if v.Type() != cty.Bool {
		b.AddFaultAt(name, "%s is %s, want true or false", name, found(v))
		return usual
	}
	return v.True()
}

// Number reads a number from least to most.
func (b *Block) Number(name string, usual, least, most float64) float64 {
	v, ok := b.value(name, "a number")
	if !ok {
		return usual
	}
	if v.Type() != cty.Number {
		b.AddFaultAt(name, "%s is %s, want a number", name, found(v))
		return usual
	}
	n, _ := v.AsBigFloat().Float64()
	if n < least || n > most {
		b.AddFaultAt(name, "%s is %s, want from %g to %g", name, found(v), least, most)
		return usual
	}
	return n
}

// Int reads a whole number from least to most.
func (b *Block) Int(name string, usual, least, most int64) int64 {
	n := b.Number(name, float64(usual), float64(least), float64(most))
	if n != math.Trunc(n) {
		b.AddFaultAt(name, "%s is %g, want a whole number", name, n)
		return usual
	}
	return int64(n)
}

var units = []struct {
	name string
	n    float64
}{{"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}, {"B", 1}}

// Size reads bytes, as "4MB", from least to most.
func (b *Block) Size(name string, usual, least, most int64) int64 {
	text := b.String(name, "")
	if text == "" {
		return usual
	}
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err != nil {
			break
		}
		if size := n * u.n; size >= float64(least) && size <= float64(most) {
			return int64(size)
		}
		b.AddFaultAt(name, "%s is %q, want from %s to %s", name, text, FormatSize(least), FormatSize(most))
		return usual
	}
	b.AddFaultAt(name, "%s is %q, want a size such as \"64KB\", \"4MB\" or \"1GB\"", name, text)
	return usual
}

// FormatSize writes a size as Size reads it.
func FormatSize(n int64) string {
	for _, u := range []int{2, 1, 0} {
		if n >= int64(units[u].n) && n%int64(units[u].n) == 0 {
			return strconv.FormatInt(n/int64(units[u].n), 10) + units[u].name
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

// Duration reads a time span, as "250ms", from least to most.
func (b *Block) Duration(name string, usual, least, most time.Duration) time.Duration {
	text := b.String(name, "")
	if text == "" {
		return usual
	}
	d, err := time.ParseDuration(text)
	switch {
	case err != nil:
		b.AddFaultAt(name, "%s is %q, want a time span such as \"250ms\", \"5s\" or \"24h\"", name, text)
	case d < least || d > most:
		b.AddFaultAt(name, "%s is %q, want from %s to %s", name, text, least, most)
	default:
		return d
	}
	return usual
}

// Strings reads a list of strings.
func (b *Block) Strings(name string) []string {
	v, ok := b.value(name, "a list of texts")
	if !ok {
		return nil
	}
	if !v.Type().IsTupleType() && !v.Type().IsListType() {
		b.AddFaultAt(name, "%s is %s, want a list of texts such as [\"a\", \"b\"]", name, found(v))
		return nil
	}
	var texts []string
	for _, e := range v.AsValueSlice() {
		if e.Type() != cty.String {
			b.AddFaultAt(name, "%s holds %s, want texts only", name, found(e))
			return nil
		}
		texts = append(texts, e.AsString())
	}
	return texts
}

// Enum reads a text that must be among those given.
func (b *Block) Enum(name, usual string, among ...string) string {
	text := b.String(name, usual)
	for _, a := range among {
		if text == a {
			return text
		}
	}
	if b.Has(name) {
		b.AddFaultAt(name, "%s is %q, want one of %s", name, text, quoted(among))
	}
	return usual
}

// EnumIndexes reads a list of texts that must be among those given, as their places.
func (b *Block) EnumIndexes(name string, among []string) (places []int) {
	for _, text := range b.Strings(name) {
		at := -1
		for i, a := range among {
			if a == text {
				at = i
			}
		}
		if at < 0 {
			b.AddFaultAt(name, "%s holds %q, want some of %s", name, text, quoted(among))
			continue
		}
		places = append(places, at)
	}
	return places
}

func quoted(among []string) string {
	var q []string
	for _, a := range among {
		q = append(q, strconv.Quote(a))
	}
	return strings.Join(q, ", ")
}

// Blocks reads the blocks of a type, in their order. Labelled ones have exactly one label, which none before
// has; others have none, and there is at most one of them.
func (b *Block) Blocks(kind string, labelled bool, read func(*Block)) {
	b.seen[kind+" {"] = true
	labels := map[string]bool{}
	n := 0
	for _, h := range b.body.Blocks {
		if h.Type != kind {
			continue
		}
		n++
		in := &Block{Type: kind, dir: b.dir, body: h.Body, faults: b.faults, seen: map[string]bool{}, place: h.DefRange()}
		switch {
		case labelled && (len(h.Labels) != 1 || h.Labels[0] == ""):
			in.AddFault("block %s has %d labels, want one: its name", kind, len(h.Labels))
		case !labelled && len(h.Labels) > 0:
			in.AddFault("block %s has a label, want none", kind)
		case !labelled && n > 1:
			in.AddFault("a second block %s, want one at most", kind)
		}
		if len(h.Labels) > 0 {
			in.Label = h.Labels[0]
			if labels[in.Label] {
				in.AddFault("a second block %s %q, want a name that no other has", kind, in.Label)
			}
			labels[in.Label] = true
		}
		read(in)
		in.close()
	}
}

// close finds what nobody has read.
func (b *Block) close() {
	where := "at the top"
	if b.Type != "" {
		where = "in block " + b.Type
	}
	var known []string
	for name := range b.seen {
		known = append(known, strings.TrimSuffix(name, " {"))
	}
	sort.Strings(known)
	for name, a := range b.body.Attributes {
		if !b.seen[name] {
			b.faults.add(a.NameRange, "unknown setting %q %s, want one of %s", name, where, quoted(known))
		}
	}
	for _, h := range b.body.Blocks {
		if !b.seen[h.Type+" {"] {
			b.faults.add(h.DefRange(), "unknown block %q %s, want one of %s", h.Type, where, quoted(known))
		}
	}
}
