package cursor

import (
	"crypto/rand"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const now = Time(1767225600) * time.Second

func key(id uint32, accept, issue, end Time) Key {
	k := Key{ID: id, AcceptFrom: accept, IssueFrom: issue, AcceptUntil: end}
	for i := range k.Secret {
		k.Secret[i] = byte(id) + byte(i)
	}
	return k
}

func ring(t interface{ Fatal(...any) }, keys ...Key) *KeyRing {
	r, err := NewKeyRing(keys, time.Hour, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestSealOpenRoundTrip: a sealed cursor opens to the same fields, at another gateway with the same keys too. One that is
// changed in any character, cut off, or of another query is refused with an error of the package.
func TestSealOpenRoundTrip(t *testing.T) {
	keys := []Key{key(1, 0, time.Second, 1<<62), key(2, now, now+time.Hour, 1<<62)}
	rapid.Check(t, func(t *rapid.T) {
		c := Cursor{Cluster: rapid.Int64().Draw(t, "cluster"), Query: rapid.Uint64().Draw(t, "query"), Position: Time(rapid.Int64().Draw(t, "position")),
			Page: rapid.Uint32().Draw(t, "page"), Cost: rapid.Uint32().Draw(t, "cost"), After: string(rapid.SliceOfN(rapid.Byte(), 0, MaxIDBytes).Draw(t, "after"))}
		text, err := ring(t, keys...).Seal(c, now, rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		other := ring(t, keys...)
		c.Issued = now
		if got, err := other.Open(text, c.Query, now+time.Minute); err != nil || got != c {
			t.Fatalf("%+v came back as %+v, %v", c, got, err)
		}
		if _, err := other.Open(text, c.Query+1, now); !errors.Is(err, ErrQueryMismatch) {
			t.Fatalf("another query: %v", err)
		}
		b := []byte(text)
		i := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		b[i] = rapid.SampledFrom([]byte("ABCXYZabcxyz0189-_=.\n")).Draw(t, "character")
		if string(b) != text {
			if _, err := other.Open(string(b), c.Query, now); !isCursorError(err) {
				t.Fatalf("changed at %d: %v", i, err)
			}
		}
		if _, err := other.Open(text[:i], c.Query, now); !isCursorError(err) {
			t.Fatalf("cut at %d: %v", i, err)
		}
	})
}

func isCursorError(err error) bool {
	for _, e := range []error{ErrFormat, ErrVersion, ErrUnknownKey, ErrForged, ErrExpired, ErrIssuedInFuture, ErrQueryMismatch} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// TestLifetimeAndSkew: a cursor is valid for the lifetime of its ring, for clocks apart by the skew, and not in other rings.
func TestLifetimeAndSkew(t *testing.T) {
	r := ring(t, key(1, 0, time.Second, 1<<62))
	text, err := r.Seal(Cursor{Query: 1}, now, rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		r    *KeyRing
		at   Time
		want error
	}{{r, now, nil}, {r, now - time.Second, nil}, {r, now - 2*time.Second, ErrIssuedInFuture}, {r, now + time.Hour + time.Second, nil}, {r, now + time.Hour + 2*time.Second, ErrExpired},
		{ring(t, key(2, 0, time.Second, 1<<62)), now, ErrUnknownKey}, {ring(t, Key{ID: 1, IssueFrom: time.Second, AcceptUntil: 1 << 62}), now, ErrForged},
		{ring(t, key(1, 0, time.Second, now-time.Hour)), now, ErrUnknownKey}, {ring(t, key(1, now+time.Hour, now+2*time.Hour, 1<<62)), now, ErrUnknownKey}} {
		if _, err := tc.r.Open(text, 1, tc.at); !errors.Is(err, tc.want) {
			t.Errorf("opened at %v: %v, want %v", tc.at-now, err, tc.want)
		}
	}
	for _, text := range []string{"", "!", strings.Repeat("A", 4000), text + "=", "Ag" + text[2:]} {
		if _, err := r.Open(text, 1, now); !isCursorError(err) {
			t.Errorf("%.20q: %v", text, err)
		}
	}
	if _, err := r.Seal(Cursor{After: strings.Repeat("x", MaxIDBytes+1)}, now, rand.Reader); err == nil {
		t.Error("an id beyond its bound was sealed")
	}
}

// TestKeyRotation: during key rotation a gateway can open every cursor that another one sealed within its lifetime, though
// gateways read a new key file at different times, up to an overlap apart.
func TestKeyRotation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const every, overlap = 4 * time.Hour, 30 * time.Minute
		file := func(at Time) []Key { // the file at a time: the key in use, the two before it, and the next one
			n := int(at / every)
			var keys []Key
			for i := max(0, n-2); i <= n+1; i++ {
				issue := Time(i) * every
				keys = append(keys, key(uint32(i+1), issue-overlap-time.Second, issue, issue+every+2*time.Hour))
			}
			return keys
		}
		at := Time(rapid.Int64Range(int64(10*time.Hour), int64(100*time.Hour)).Draw(t, "at"))
		behind := Time(rapid.Int64Range(0, int64(overlap)).Draw(t, "behind")) // how outdated the key file of the opening gateway is
		life := Time(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "later"))
		text, err := ring(t, file(at)...).Seal(Cursor{Query: 1}, at, rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ring(t, file(at+life-behind)...).Open(text, 1, at+life); err != nil {
			t.Fatalf("%v later, by a key file that is %v old: %v", life, behind, err)
		}
	})
}

// TestKeyFile: key files are parsed in the documented form, and errors name the line without the secret.
func TestKeyFile(t *testing.T) {
	secret := strings.Repeat("ab", 32)
	keys, err := ParseKeys([]byte("# keys\n\n1 " + secret + " - 2026-01-01T00:00:00Z 2026-02-01T00:00:00Z\n2 " + secret + " 2026-01-31T00:00:00Z 2026-01-31T12:00:00+13:00 -\n"))
	if err != nil || len(keys) != 2 || keys[0].IssueFrom != now || keys[1].AcceptUntil != 1<<62 {
		t.Errorf("%+v, %v", keys, err)
	}
	for text, want := range map[string]string{"1 " + secret + " - -": "line 1: 4 fields", "x " + secret + " - - -": "line 1: the id", "\n1 " + secret[:60] + " - - -": "line 2: the secret",
		"1 " + secret + " - soon -": "line 1: key 1: \"soon\"", strings.Repeat("1 "+secret+" - - -\n", maxKeys+1): "more than"} {
		if _, err := ParseKeys([]byte(text)); err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), secret[:10]) {
			t.Errorf("%.30q: %v, want %q", text, err, want)
		}
	}
	for _, keys := range [][]Key{nil, {key(1, 0, time.Second, 1<<62), key(1, 0, time.Second, 1<<62)}, {key(1, 10, 0, 100)}, {key(1, 0, time.Second, time.Second)}} {
		if _, err := NewKeyRing(keys, time.Hour, time.Second); err == nil {
			t.Errorf("%+v: no error", keys)
		}
	}
}

func FuzzOpen(f *testing.F) {
	r := ring(f, key(1, 0, time.Second, 1<<62))
	text, _ := r.Seal(Cursor{Query: 1, After: "lift-7"}, now, rand.Reader)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := r.Open(text, 1, now); err != nil && !isCursorError(err) {
			t.Fatal(err)
		}
	})
}

func BenchmarkCursor(b *testing.B) {
	r := ring(b, key(1, 0, time.Second, 1<<62))
	text, _ := r.Seal(Cursor{Query: 1, After: "lift-7"}, now, rand.Reader)
	b.Run("seal", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := r.Seal(Cursor{Query: 1, After: "lift-7"}, now, rand.Reader); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("open", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := r.Open(text, 1, now); err != nil {
				b.Fatal(fmt.Sprint(err))
			}
		}
	})
}
