package syslog

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"pgregory.net/rapid"

	"reachwind/decide"
	"reachwind/internal/record"
	"reachwind/internal/standin/rfc5424"
)

const at = 1767225600123456 * time.Microsecond

func encoder(t testing.TB, most int) *Encoder {
	e, err := New(Config{Hostname: "gw-1", AppName: "reachwind", ProcID: "77", Version: "0.1", MaxBytes: most, Facility: 16,
		Start: at - time.Second, Classes: []string{"map-tiles"}, Tenants: []string{"kea-basin"}, Key: []byte("k")})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func served() *record.Record {
	r := &record.Record{Kind: record.Request, At: at, Front: "pg", Attempts: 1, WaitTime: 250 * time.Microsecond, AttemptTime: 9 * time.Millisecond,
		Total: 9250 * time.Microsecond, Session: "skier-7", Group: 2, Member: "db-3", Role: decide.Replica, Position: at - 40*time.Millisecond,
		Lag: 31 * time.Millisecond, HasLag: true}
	r.SetRequestSeverity()
	return r
}

// TestMessage pins one message down to the byte: operators' tools rely on the names.
func TestMessage(t *testing.T) {
	got, seqAt, err := encoder(t, 2048).Append(nil, served(), Meta{Seq: 41, Number: 9001, Weight: 10})
	want := `<134>1 2026-01-01T00:00:00.123456Z gw-1 reachwind 77 request [timeQuality tzKnown="1" isSynced="0"]` +
		`[origin enterpriseId="32473" software="reachwind" swVersion="0.1"][meta sequenceId="41" sysUpTime="100"]` +
		`[request@32473 n="9001" weight="10" outcome="served" class="map-tiles" customer="kea-basin" attempts="1" total_ms="9.250" ` +
		`wait_ms="0.250" cluster="2" front="pg" session="8cc62b0a4d5eb8d7"]` +
		`[member@32473 id="db-3" role="replica" position="1767225600083" took_ms="9.000" lag_ms="31.000"] served`
	mask := func(s string) string {
		i := strings.Index(s, `session="`) + len(`session="`)
		return s[:i] + s[i+16:]
	}
	if err != nil || mask(string(got)) != mask(want) {
		t.Errorf("%v\n got %s\nwant %s", err, got, want)
	}
	if again := Renumber(nil, got, seqAt, MaxSeq); !bytes.Contains(again, []byte(`sequenceId="2147483647" sys`)) || len(again) != len(got)+8 {
		t.Errorf("renumbered %s", again)
	}
	if bytes.Contains(got, []byte("skier")) {
		t.Error("the session stands in the message")
	}
}

// hostile are values that break naive encoders.
var hostile = []string{``, `"`, `]`, `\`, `""""]]]]\\\\`, "a\nb\x00c\x7f", "\xff\xfe broken", "\xEF\xBB\xBFbom", "Aoraki – Mt Cook ❄", `\"`,
	strings.Repeat(`"]`, 300), strings.Repeat("❄", 700), strings.Repeat("x", 5000)}

// checked parses a message with both parsers, which must agree, and checks the limit.
func checked(t interface{ Fatalf(string, ...any) }, b []byte, most int) *rfc5424.Message {
	var m Message
	if err := Parse(b, &m); err != nil {
		t.Fatalf("parser: %v in %q", err, b)
	}
	g, err := rfc5424.Check(b)
	if err != nil {
		t.Fatalf("grammar: %v in %q", err, b)
	}
	if len(b) > most {
		t.Fatalf("%d bytes, at most %d allowed: %q", len(b), most, b)
	}
	return g
}

// TestEncode: whatever stands in a record, the message is sound, within the limit also under any other number, and
// its values come back.
func TestEncode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.SampledFrom([]int{480, 481, 700, 2048, 8192}).Draw(t, "most")
		text := rapid.OneOf(rapid.SampledFrom(hostile), rapid.String(), rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 300), func(b []byte) string { return string(b) }))
		class, customer, member, line := text.Draw(t, "class"), text.Draw(t, "customer"), text.Draw(t, "member"), text.Draw(t, "line")
		e, err := New(Config{Hostname: "gw", AppName: "reachwind", MaxBytes: most, Classes: []string{class}, Tenants: []string{customer}})
		if err != nil {
			t.Fatal(err)
		}
		r := served()
		r.Kind, r.Member, r.Text = record.Kind(rapid.IntRange(0, 3).Draw(t, "kind")), member, line
		r.Outcome, r.Cause, r.RetryAfter = record.Refused, record.Full, time.Second
		m := Meta{Seq: rapid.Uint32Range(1, MaxSeq).Draw(t, "seq"), Number: 7, Weight: 1, Gap: &Gap{Cause: "rate", Count: 3, First: 1, Last: 9}}
		b, seqAt, err := e.Append([]byte("before"), r, m)
		if err != nil || string(b[:6]) != "before" {
			t.Fatalf("%v %q", err, b)
		}
		b, seqAt = b[6:], seqAt-6
		g := checked(t, b, most)
		checked(t, Renumber(nil, b, seqAt, MaxSeq), most)
		cut := g.Find(record.Kinds[r.Kind], "cut")
		full := encoderFor(t, class, customer)
		long, _, _ := full.Append(nil, r, m)
		if spare := seqDigits - digits(uint64(m.Seq)); (len(long)+spare <= most) != (cut == "") {
			t.Fatalf("%d bytes in full, limit %d, cut %q", len(long), most, cut)
		}
		if cut == "" && r.Kind == record.Request && g.Find("request", "class") != clean(class) {
			t.Fatalf("class %q came back as %q", class, g.Find("request", "class"))
		}
		if cut != "params" && g.Find("member", "id") != clean(member) && r.Kind <= record.Member {
			t.Fatalf("member %q came back as %q", member, g.Find("member", "id"))
		}
	})
}

func encoderFor(t *rapid.T, class, customer string) *Encoder {
	e, err := New(Config{Hostname: "gw", AppName: "reachwind", MaxBytes: 1 << 20, Classes: []string{class}, Tenants: []string{customer}})
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// clean is what a value becomes: valid UTF-8, its control bytes written out.
func clean(s string) string {
	var b strings.Builder
	for i := 0; i < len(s); {
		r, n := utf8.DecodeRuneInString(s[i:])
		switch {
		case r < ' ' || r == 0x7f:
			b.WriteString("#" + string([]byte{'0' + byte(r)>>6, '0' + byte(r)>>3&7, '0' + byte(r)&7}))
		default:
			b.WriteRune(r)
		}
		i += n
	}
	return b.String()
}

// TestLimits: a message exactly at the limit is whole, one byte over loses text and nothing else, and headers that
// leave no room are refused when the encoder is made.
func TestLimits(t *testing.T) {
	r := &record.Record{Kind: record.Program, Severity: record.Info, At: at, Class: -1, Tenant: -1}
	m := Meta{Seq: MaxSeq, Number: 1, Weight: 1}
	for _, most := range []int{480, 2048, 8192} {
		e := encoder(t, most)
		empty, _, _ := e.Append(nil, r, m)
		r.Text = strings.Repeat("x", most-len(empty))
		if b, _, _ := e.Append(nil, r, m); len(b) != most || bytes.Contains(b, []byte("cut=")) {
			t.Errorf("at the limit of %d: %d bytes, %q", most, len(b), b)
		}
		r.Text += "y"
		b, _, _ := e.Append(nil, r, m)
		if g := checked(t, b, most); len(b) < most-8 || g.Find("log", "cut") != "text" {
			t.Errorf("one over %d: %d bytes, %q", most, len(b), b)
		}
		r.Text = strings.Repeat("❄", most) // never cut inside a character
		b, _, _ = e.Append(nil, r, m)
		checked(t, b, most)
		r.Text = ""
	}
	host := strings.Repeat("h", hostMost)
	for _, c := range []Config{{Hostname: host, AppName: strings.Repeat("a", appMost), ProcID: strings.Repeat("p", procMost), MaxBytes: 480},
		{MaxBytes: 479}, {Hostname: "two words"}, {Hostname: host + "h"}, {AppName: "ü"}, {Facility: 24}} {
		if _, err := New(c); err == nil {
			t.Errorf("%+v: no error", c)
		}
	}
}

// FuzzParse: the parser and the grammar, written apart, give the same verdict on every input.
func FuzzParse(f *testing.F) {
	good, _, _ := encoder(f, 2048).Append(nil, served(), Meta{Seq: 1, Number: 1, Weight: 1})
	f.Add(good)
	for _, s := range []string{`<0>1 - - - - - -`, `<191>999 2024-02-29T23:59:59.123456+23:59 h a p m - x`, `<192>1 - - - - - -`, `<01>1 - - - - - -`,
		`<1>0 - - - - - -`, `<1>1 2023-02-29T00:00:00Z - - - - -`, `<1>1 2023-01-01T00:00:60Z - - - - -`, `<1>1 2023-01-01T24:00:00Z - - - - -`,
		`<1>1 2023-01-01T00:00:00.1234567Z - - - - -`, `<1>1 2023-01-01T00:00:00 - - - - -`, `<1>1 - - - - - [a][b x="1"] m`, `<1>1 - - - - - [a][a]`,
		`<1>1 - - - - - [a x="\]\"\\\z"]`, `<1>1 - - - - - [a x="]"]`, `<1>1 - - - - - [a x="\"]`, `<1>1 - - - - - [a x="` + "\xff" + `"]`, `<1>1 - - - - - [a  x="1"]`,
		`<1>1 - - - - - []`, `<1>1 - - - - - [a x=""] ` + "\xEF\xBB\xBF\xff", `<1>1 - - - - - - ` + "\xEF\xBB\xBFü\n", `<1>1 - - - - - -x`, `<1>1 - - - - - - `, `<1>1 -  - - - -`,
		`<1>1 0000-12-31T00:00:00-00:00 - - - - -`, `<1>1 - ` + strings.Repeat("h", 256) + ` - - - -`, `<1>1 - - - - - [` + strings.Repeat("i", 33) + `]`, ``, `<`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		err := Parse(b, &m)
		g, wrong := rfc5424.Check(b)
		if (err == nil) != (wrong == nil) {
			t.Fatalf("parser: %v, grammar: %v", err, wrong)
		}
		if err == nil && len(g.Elements) != len(m.Elements) {
			t.Fatalf("%d elements, by the grammar %d", len(m.Elements), len(g.Elements))
		}
	})
}

// TestAllocations: an encoded record costs no allocation.
func TestAllocations(t *testing.T) {
	e, r, buf := encoder(t, 2048), served(), make([]byte, 0, 4096)
	if n := testing.AllocsPerRun(200, func() { buf, _, _ = e.Append(buf[:0], r, Meta{Seq: 1, Number: 1, Weight: 1}) }); n != 0 {
		t.Errorf("%v allocations a record", n)
	}
}

// BenchmarkEncode against the text handler that wrote such a record before, with the same values.
func BenchmarkEncode(b *testing.B) {
	r := served()
	b.Run("rfc5424", func(b *testing.B) {
		e, buf := encoder(b, 2048), make([]byte, 0, 4096)
		b.ReportAllocs()
		for b.Loop() {
			buf, _, _ = e.Append(buf[:0], r, Meta{Seq: 1, Number: 1, Weight: 1})
		}
	})
	b.Run("slog-text", func(b *testing.B) {
		log := slog.New(slog.NewTextHandler(io.Discard, nil))
		b.ReportAllocs()
		for b.Loop() {
			log.Info("served", "n", 1, "outcome", r.Outcome.String(), "class", "map-tiles", "customer", "kea-basin", "attempts", r.Attempts, "total", r.Total,
				"wait", r.WaitTime, "cluster", r.Group, "front", r.Front, "session", r.Session, "member", r.Member, "role", "replica", "position", r.Position, "took", r.AttemptTime, "lag", r.Lag)
		}
	})
	b.Run("parse", func(b *testing.B) {
		msg, _, _ := encoder(b, 2048).Append(nil, r, Meta{Seq: 1, Number: 1, Weight: 1})
		var m Message
		b.ReportAllocs()
		for b.Loop() {
			if err := Parse(msg, &m); err != nil {
				b.Fatal(err)
			}
		}
	})
}
