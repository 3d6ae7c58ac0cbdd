package pgwire

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

func parse(text string) (*Statement, error) {
	b := NewPool(1, 0).Get(LargeBufSize, 0)
	b.B = append(b.B, text...)
	return Parse(b)
}

func TestParse(t *testing.T) {
	s, err := parse(`/* id=9b,c=order,t=acme,d=480,k=5c,cluster=2,after=1767225600123,r=1,new=x */ ` +
		`INSERT INTO items (id, doc) VALUES ('7f''3', '\x9f03') RETURNING doc`)
	if err != nil {
		t.Fatal(err)
	}
	if s.Class != "order" || s.Tenant != "acme" || s.WaitMs != 480 || s.Cluster != 2 || s.LastWriteUnixMs != 1767225600123 ||
		!s.Retry || s.ItemKey != "7f'3" || s.IsRead {
		t.Errorf("parsed %+v", s)
	}
	want := "/* id=9b,c=order,t=acme,d=7,k=5c,cluster=2,after=1767225600123,r=1,new=x */ " +
		`INSERT INTO items (id, doc) VALUES ('7f''3', '\x9f03') RETURNING doc` + "\x00"
	q := bytes.Join(s.Query(7), nil)
	if typ, n, err := Header(q); typ != 'Q' || n != len(want) || err != nil || string(q[5:]) != want {
		t.Errorf("query %q", q)
	}
	if s.ID != "9b" || !s.HasIdempotencyKey {
		t.Errorf("parsed %+v", s)
	}
	const good = "/* id=9,c=a,d=1,cluster=0 */ SELECT doc FROM items WHERE id = 'a'"
	if _, err := parse(good); err != nil {
		t.Error(err)
	}
	for name, tc := range map[string][2]string{
		"no comment": {"/* ", ""}, "no end": {"*/", ""}, "no class": {"c=a,", ""}, "no wait": {",d=1", ""},
		"no id": {"id=9,", ""}, "empty id": {"id=9", "id="}, "long id": {"id=9", "id=" + strings.Repeat("9", 300)},
		"no cluster": {",cluster=0", ""}, "two waits": {"d=1", "d=1,d=2"}, "many fields": {"d=1", "d=1" + fields(40)},
		"bad wait": {"d=1", "d=x"}, "negative": {"d=1", "d=-1"}, "huge": {"d=1", "d=99999999999999999999"},
		"verb": {"SELECT", "DROP"}, "late comment": {"/*", "SELECT /*"}, "no text": {"items", "it\xffems"},
		"zero": {"items", "it\x00ems"}, "open quote": {"'a'", "'a"}, "no key": {"'a'", "a"},
	} {
		if _, err := parse(strings.Replace(good, tc[0], tc[1], 1)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func fields(n int) (s string) {
	for i := range n {
		s += fmt.Sprintf(",x%d=1", i)
	}
	return s
}

// FuzzParse: whatever a client sends there is no panic, and what is passed on differs in d alone.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"/* id=1,c=a,d=1,cluster=0 */ SELECT 'x'", "/*d=,c=a*/ SELECT",
		"/* id=1,c=a,d= 5 ,cluster=2 */ INSERT 'a'''", "/*/", "/*c=a,,d=1*/select'"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := parse(text[:min(len(text), 4096)])
		if err != nil {
			return
		}
		q := bytes.Join(s.Query(12345), nil)
		want := string(s.Buf.B[:s.dFrom]) + "12345" + string(s.Buf.B[s.dTo:]) + "\x00"
		if string(q[5:]) != want || strings.Contains(string(s.Buf.B[s.dFrom:s.dTo]), ",") {
			t.Errorf("%q became %q", text, q)
		}
	})
}

func TestMessages(t *testing.T) {
	e := AppendError(nil, "ERROR", "53300", "no", "70")
	if ErrorField(e[5:], 'C') != "53300" || ErrorField(e[5:], 'D') != "70" || ErrorField(e[5:], 'H') != "" {
		t.Errorf("error %q", e)
	}
	if ErrorField([]byte("Cxx"), 'C') != "" {
		t.Error("a field without end was taken")
	}
	if n, v := ParseParameterStatus(AppendParameterStatus(nil, "recovery", "on")[5:]); n != "recovery" || v != "on" {
		t.Error(n, v)
	}
	for _, bad := range []string{"", "\x00\x00", "\x00\x01\xff\xff\xff\xff", "\x00\x01\x00\x00\x00\x05abc",
		"\x00\x01\x00\x00\x00\x01abc", "\x00\x02\x00\x00\x00\x01a"} {
		if v, err := DataRowValue([]byte(bad)); err == nil {
			t.Errorf("column of %q: %q", bad, v)
		}
		if CheckRowDescription([]byte(bad)) == nil {
			t.Errorf("description %q", bad)
		}
	}
	for tag, ok := range map[string]bool{"SELECT 1\x00": true, "SELECT 1": false, "\x00": false, "": false, "A\x00B\x00": false} {
		if (CheckCommandTag([]byte(tag)) == nil) != ok {
			t.Errorf("tag %q", tag)
		}
	}
	for _, bad := range []string{"", "C53300", "C5\x00\x00", "C\xff3300\x00\x00"} {
		if code, err := ErrorCode([]byte(bad)); err == nil {
			t.Errorf("error %q: code %q", bad, code)
		}
	}
	for _, n := range [][]byte{{'Q', 0, 0, 0, 3}, {'Q', 0x7f, 0, 0, 0}, {'Q', 0xff, 0xff, 0xff, 0xff}} {
		if _, _, err := Header(n); err == nil {
			t.Errorf("length %v taken", n[1:])
		}
	}
	var names []string
	ForEachLoadValue([]byte("x0=1.5, x1=1,bad,nan=NaN,inf=Inf"), func(n string, v float64) { names = append(names, n) })
	if strings.Join(names, " ") != "x0 x1" {
		t.Errorf("pairs %q", names)
	}
}

func TestPool(t *testing.T) {
	p := NewPool(2, 1)
	a, s := p.Get(LargeBufSize, 0), p.Get(SmallBufSize, 0)
	b := p.Get(1, 0) // there is no small one left
	if a == nil || b == nil || s == nil || cap(s.B) != SmallBufSize || p.Get(1, 0) != nil || p.FreeLarge()+p.FreeSmall() != 0 {
		t.Fatal("the pool has no limit")
	}
	a.B = append(a.B, bytes.Repeat([]byte("x"), 100)...)
	a.Release()
	s.Release()
	if p.Get(SmallBufSize+1, 1) != nil || p.Get(1, 1) != s {
		t.Error("a small buffer taken for too much, or full ones not kept")
	}
	if c := p.Get(LargeBufSize, 0); c != a || len(c.B) != 0 || cap(c.B) != LargeBufSize {
		t.Error("a buffer did not come back empty")
	}
}
