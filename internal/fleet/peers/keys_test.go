package peers

import (
	"encoding/base64"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func keyFile(t *testing.T, seeds ...byte) *Keys {
	t.Helper()
	var lines []string
	for _, s := range seeds {
		lines = append(lines, base64.StdEncoding.EncodeToString([]byte(strings.Repeat(string(rune(s)), 32))))
	}
	path := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(path, []byte("# keys\n\n"+strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	k, err := ReadKeys(path)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// TestSealAndOpen checks that a sealed message opens once, in any order within the window, under any key of the
// file, and that a message with any changed byte, under another key, repeated, or of this process itself is
// refused.
func TestSealAndOpen(t *testing.T) {
	both, old := keyFile(t, 'n', 'o'), keyFile(t, 'o')
	rapid.Check(t, func(t *rapid.T) {
		s := newSealer()
		o := &opener{windows: map[instance]*window{}}
		var sent [][]byte
		taken := map[int]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(sent) == 0 || rapid.Bool().Draw(t, "send") {
				if rapid.IntRange(0, 9).Draw(t, "jump") == 0 {
					s.counter += uint64(rapid.IntRange(0, 1200).Draw(t, "gap"))
				}
				sent = append(sent, s.seal(&both.list[rapid.IntRange(0, 1).Draw(t, "key")], "127.0.0.1:7", []byte{byte(len(sent)), 1, 2}))
				continue
			}
			i := rapid.IntRange(0, len(sent)-1).Draw(t, "which")
			b := append([]byte(nil), sent[i]...)
			if rapid.IntRange(0, 3).Draw(t, "harm") == 0 {
				b[rapid.IntRange(0, len(b)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
				if _, err := o.open(both, b); err == nil {
					t.Fatal("a changed message was accepted")
				}
				continue
			}
			m, err := o.open(both, b)
			var w *window
			for _, one := range o.windows {
				w = one
			}
			switch {
			case err == nil && taken[i]:
				t.Fatal("a message was accepted twice")
			case err == nil && (m.addr != "127.0.0.1:7" || m.frame[0] != byte(i)):
				t.Fatalf("opened as %+v", m)
			case err != nil && !taken[i] && (w == nil || w.top-uint64(b[28])-uint64(b[27])<<8 < windowSize):
				t.Fatalf("a new message was refused: %v", err)
			}
			taken[i] = taken[i] || err == nil
		}
	})
	s := newSealer()
	o := &opener{own: s.own, windows: map[instance]*window{}}
	if _, err := o.open(both, s.seal(&both.list[0], "a", []byte("x"))); !errors.Is(err, errReflected) {
		t.Errorf("own message reflected: %v", err)
	}
	o.own = instance{}
	if _, err := o.open(old, s.seal(&both.list[0], "a", []byte("x"))); !errors.Is(err, errUnknownKey) {
		t.Errorf("message under an unknown key: %v", err)
	}
	if len(o.windows) > 0 {
		t.Error("a message that failed authentication created state")
	}
	for i := range maxWindows + 10 { // the number of instances is bounded
		one := newSealer()
		if _, err := o.open(both, one.seal(&both.list[0], "a", []byte("x"))); err != nil {
			t.Fatal(i, err)
		}
	}
	if len(o.windows) > maxWindows {
		t.Errorf("%d instances are tracked", len(o.windows))
	}
}
