// Package edgeconf reads the product configuration, which is written in HCL. It
// handles the syntax only: each subsystem owns a block and reads its attributes by name.
// All faults are collected, each with file, line and column, what was found and what
// is wanted. An attribute or block that nobody reads is a fault.
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

// Faults are all faults of a file, in the order of line and column. It is the error of Load and Parse.
type Faults []Fault

// Fault is one fault and its position in the file. Line and Column count from 1.
type Fault struct {
	File         string
	Line, Column int
	Text         string
}

// String returns the fault as FILE:LINE:COLUMN: TEXT.
func (f Fault) String() string { return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Text) }

// Error returns a line for each fault.
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
	dir    string // file names are relative to it
	body   *hclsyntax.Body
	faults *Faults
	read   map[string]bool // attributes, and block types with a suffix " {", that were read
	span   hcl.Range
}

// Load reads the file at path and calls read with its top level. It returns Faults if the file or what read found in it
// is at fault, and another error if the file can't be read.
func Load(path string, read func(*Block)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return Parse(path, text, read)
}

// Parse is Load for the text of a file; path appears in faults, and file names in the text are relative to its folder.
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
		b := &Block{dir: filepath.Dir(path), body: body, faults: &faults, read: map[string]bool{}, span: body.SrcRange}
		read(b)
		b.reportUnread()
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

// AddFault records a fault of the block as a whole.
func (b *Block) AddFault(format string, args ...any) { b.faults.add(b.span, format, args...) }

// AddFaultAt records a fault of an attribute, or of the block if the attribute is absent.
func (b *Block) AddFaultAt(name, format string, args ...any) {
	if a := b.body.Attributes[name]; a != nil {
		b.faults.add(a.Expr.Range(), format, args...)
		return
	}
	b.AddFault(format, args...)
}

// Has reports whether an attribute is present.
func (b *Block) Has(name string) bool { return b.body.Attributes[name] != nil }

// value returns the value of an attribute, and false if it is absent or not a constant. want names the type in faults.
func (b *Block) value(name, want string) (cty.Value, bool) {
	b.read[name] = true
	a := b.body.Attributes[name]
	if a == nil {
		return cty.NilVal, false
	}
	v, diags := a.Expr.Value(nil)
	if diags.HasErrors() || v.IsNull() || !v.IsWhollyKnown() {
		b.AddFaultAt(name, "%s is not a constant, want %s", name, want)
		return cty.NilVal, false
	}
	return v, true
}

// describe describes a value for a fault's text.
func describe(v cty.Value) string {
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
func (b *Block) String(name, fallback string) string {
	v, ok := b.value(name, "a string")
	if !ok {
		return fallback
	}
	if v.Type() != cty.String {
		b.AddFaultAt(name, "%s is %s, want a string in quotes", name, describe(v))
		return fallback
	}
	return v.AsString()
}

// FilePath reads the name of a file, which is relative to the configuration's folder. It returns an empty string if the
// attribute is absent.
func (b *Block) FilePath(name string) string {
	f := b.String(name, "")
	if f == "" || filepath.IsAbs(f) {
		return f
	}
	return filepath.Join(b.dir, f)
}

// Bool reads true or false.
func (b *Block) Bool(name string, fallback bool) bool {
	v, ok := b.value(name, "true or false")
	if !ok {
		return fallback
	}
	if v.Type() != cty.Bool {
		b.AddFaultAt(name, "%s is %s, want true or false", name, describe(v))
		return fallback
	}
	return v.True()
}

// Number reads a number between minimum and maximum.
func (b *Block) Number(name string, fallback, minimum, maximum float64) float64 {
	v, ok := b.value(name, "a number")
	if !ok {
		return fallback
	}
	if v.Type() != cty.Number {
		b.AddFaultAt(name, "%s is %s, want a number", name, describe(v))
		return fallback
	}
	n, _ := v.AsBigFloat().Float64()
	if n < minimum || n > maximum {
		b.AddFaultAt(name, "%s is %s, want from %g to %g", name, describe(v), minimum, maximum)
		return fallback
	}
	return n
}

// Int reads a whole number between minimum and maximum.
func (b *Block) Int(name string, fallback, minimum, maximum int64) int64 {
	n := b.Number(name, float64(fallback), float64(minimum), float64(maximum))
	if n != math.Trunc(n) {
		b.AddFaultAt(name, "%s is %g, want a whole number", name, n)
		return fallback
	}
	return int64(n)
}

var units = []struct {
	name string
	n    float64
}{{"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}, {"B", 1}}

// Size reads a number of bytes, such as "4MB", between minimum and maximum.
func (b *Block) Size(name string, fallback, minimum, maximum int64) int64 {
	text := b.String(name, "")
	if text == "" {
		return fallback
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
		if size := n * u.n; size >= float64(minimum) && size <= float64(maximum) {
			return int64(size)
		}
		b.AddFaultAt(name, "%s is %q, want from %s to %s", name, text, FormatSize(minimum), FormatSize(maximum))
		return fallback
	}
	b.AddFaultAt(name, "%s is %q, want a size such as \"64KB\", \"4MB\" or \"1GB\"", name, text)
	return fallback
}

// FormatSize formats a number of bytes as Size reads it.
func FormatSize(n int64) string {
	for _, u := range []int{2, 1, 0} {
		if n >= int64(units[u].n) && n%int64(units[u].n) == 0 {
			return strconv.FormatInt(n/int64(units[u].n), 10) + units[u].name
		}
	}
	return strconv.FormatInt(n, 10) + "B"
}

// Duration reads a duration, such as "250ms", between minimum and maximum.
func (b *Block) Duration(name string, fallback, minimum, maximum time.Duration) time.Duration {
	text := b.String(name, "")
	if text == "" {
		return fallback
	}
	duration, err := time.ParseDuration(text)
	switch {
	case err != nil:
		b.AddFaultAt(name, "%s is %q, want a duration such as \"250ms\", \"5s\" or \"24h\"", name, text)
	case duration < minimum || duration > maximum:
		b.AddFaultAt(name, "%s is %q, want from %s to %s", name, text, minimum, maximum)
	default:
		return duration
	}
	return fallback
}

// Strings reads a list of strings.
func (b *Block) Strings(name string) []string {
	v, ok := b.value(name, "a list of strings")
	if !ok {
		return nil
	}
	if !v.Type().IsTupleType() && !v.Type().IsListType() {
		b.AddFaultAt(name, "%s is %s, want a list of strings such as [\"a\", \"b\"]", name, describe(v))
		return nil
	}
	var texts []string
	for _, e := range v.AsValueSlice() {
		if e.Type() != cty.String {
			b.AddFaultAt(name, "%s holds %s, want strings only", name, describe(e))
			return nil
		}
		texts = append(texts, e.AsString())
	}
	return texts
}

// Enum reads a string that must be one of allowed.
func (b *Block) Enum(name, fallback string, allowed ...string) string {
	text := b.String(name, fallback)
	for _, a := range allowed {
		if text == a {
			return text
		}
	}
	if b.Has(name) {
		b.AddFaultAt(name, "%s is %q, want one of %s", name, text, quoteAll(allowed))
	}
	return fallback
}

// EnumIndexes reads a list of strings that must each be one of allowed, and returns their indexes in allowed.
func (b *Block) EnumIndexes(name string, allowed []string) (indexes []int) {
	for _, text := range b.Strings(name) {
		index := -1
		for i, a := range allowed {
			if a == text {
				index = i
			}
		}
		if index < 0 {
			b.AddFaultAt(name, "%s holds %q, want some of %s", name, text, quoteAll(allowed))
			continue
		}
		indexes = append(indexes, index)
	}
	return indexes
}

func quoteAll(values []string) string {
	var quoted []string
	for _, a := range values {
		quoted = append(quoted, strconv.Quote(a))
	}
	return strings.Join(quoted, ", ")
}

// Blocks calls read for each block of a type, in their order. Labelled blocks must have exactly one label, which must be
// unique; for other types there must be no label and at most one block.
func (b *Block) Blocks(kind string, labelled bool, read func(*Block)) {
	b.read[kind+" {"] = true
	labels := map[string]bool{}
	count := 0
	for _, block := range b.body.Blocks {
		if block.Type != kind {
			continue
		}
		count++
		inner := &Block{Type: kind, dir: b.dir, body: block.Body, faults: b.faults, read: map[string]bool{}, span: block.DefRange()}
		switch {
		case labelled && (len(block.Labels) != 1 || block.Labels[0] == ""):
			inner.AddFault("block %s has %d labels, want one: its name", kind, len(block.Labels))
		case !labelled && len(block.Labels) > 0:
			inner.AddFault("block %s has a label, want none", kind)
		case !labelled && count > 1:
			inner.AddFault("a second block %s, want one at most", kind)
		}
		if len(block.Labels) > 0 {
			inner.Label = block.Labels[0]
			if labels[inner.Label] {
				inner.AddFault("a second block %s %q, want a name that no other has", kind, inner.Label)
			}
			labels[inner.Label] = true
		}
		read(inner)
		inner.reportUnread()
	}
}

// reportUnread records a fault for each attribute and block that nobody has read.
func (b *Block) reportUnread() {
	where := "at the top"
	if b.Type != "" {
		where = "in block " + b.Type
	}
	var known []string
	for name := range b.read {
		known = append(known, strings.TrimSuffix(name, " {"))
	}
	sort.Strings(known)
	for name, a := range b.body.Attributes {
		if !b.read[name] {
			b.faults.add(a.NameRange, "unknown setting %q %s, want one of %s", name, where, quoteAll(known))
		}
	}
	for _, h := range b.body.Blocks {
		if !b.read[h.Type+" {"] {
			b.faults.add(h.DefRange(), "unknown block %q %s, want one of %s", h.Type, where, quoteAll(known))
		}
	}
}
