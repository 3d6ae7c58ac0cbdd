package edgeconf

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestFaults: every fault of a file is told with its place, what was found and what is wanted, and nothing panics.
func TestFaults(t *testing.T) {
	const text = `
box {
  size  = "4XB"
  wait  = "soon"
  count = "three"
  odd   = 1
  names = ["a", 2]
  kind  = "blue"
}
box {
}
item "a" { big = "9GB" }
item "a" { }
item { }
nothing { }
`
	err := Parse("edge.hcl", []byte(text), func(b *Block) {
		b.Blocks("box", false, func(b *Block) {
			b.Size("size", 1, 1, 1<<30)
			b.Duration("wait", 0, time.Second, time.Minute)
			b.Int("count", 0, 0, 9)
			b.Strings("names")
			b.Enum("kind", "red", "red", "green")
		})
		b.Blocks("item", true, func(b *Block) { b.Size("big", 1, 1, 1<<30) })
	})
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatal(err)
	}
	var got []string
	for _, f := range faults {
		got = append(got, f.String())
	}
	for _, want := range []string{`edge.hcl:3:11: size is "4XB", want a size such as`, `edge.hcl:4:11: wait is "soon", want a time span`,
		`edge.hcl:5:11: count is "three", want a number`, `edge.hcl:6:3: unknown setting "odd" in block box, want one of`,
		`edge.hcl:7:11: names holds 2, want texts only`, `edge.hcl:8:11: kind is "blue", want one of "red", "green"`,
		`edge.hcl:10:1: a second block box`, `edge.hcl:12:18: big is "9GB", want from 1B to 1GB`, `edge.hcl:13:1: a second block item "a"`,
		`edge.hcl:14:1: block item has 0 labels`, `edge.hcl:15:1: unknown block "nothing" at the top, want one of "box", "item"`} {
		found := false
		for _, g := range got {
			found = found || strings.HasPrefix(g, want)
		}
		if !found {
			t.Errorf("no fault %q among\n%s", want, strings.Join(got, "\n"))
		}
	}
	if len(got) != 11 {
		t.Errorf("%d faults, want 11:\n%s", len(got), err)
	}
	if err := Parse("edge.hcl", []byte("box {\n  a = \n"), func(*Block) {}); err == nil || !strings.HasPrefix(err.Error(), "edge.hcl:") {
		t.Errorf("broken HCL: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("box { size = \"4MB\" }"))
	f.Add([]byte("box { size = 1 + [2] \n } item \"x\" {}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		_ = Parse("f", text, func(b *Block) {
			b.Blocks("box", false, func(b *Block) {
				b.Size("size", 1, 1, 10)
				b.Strings("names")
				b.Duration("wait", 0, 0, 1)
				b.Bool("on", false)
				b.Number("n", 0, 0, 1)
			})
			b.Blocks("item", true, func(*Block) {})
		})
	})
}
