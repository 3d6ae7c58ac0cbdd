package council

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"

	"reachwind/internal/fleet/agreed"
	"reachwind/internal/fleet/peers"
)

// TestFailingDisk: a voter whose disk accepts no more writes reports no command as done that it could not save, and stops
// with an error. What it saved before can be read again.
func TestFailingDisk(t *testing.T) {
	dir := t.TempDir()
	keys := filepath.Join(dir, "keys")
	if err := os.WriteFile(keys, []byte("MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDE=\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	k, err := peers.ReadKeys(keys)
	if err != nil {
		t.Fatal(err)
	}
	addr := func() string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	c := Config{Name: "c1", Listen: addr(), Admin: addr(), Folder: filepath.Join(dir, "f"), Keys: k}
	c.Voters = map[string]string{"c1": c.Listen}
	var file *os.File
	begin := func(o *bbolt.Options) (stop func() error) {
		ctx, cancel := context.WithCancel(t.Context())
		end := make(chan error, 1)
		go func() { end <- run(ctx, c, slog.New(slog.DiscardHandler), o) }()
		return func() error {
			select {
			case err := <-end:
				cancel()
				return err
			case <-time.After(50 * time.Millisecond):
			}
			cancel()
			return <-end
		}
	}
	command := func(n int) (code int) {
		body := fmt.Sprintf(`{"op":"budget","client":"t","number":%d,"budget":{"of":"gateways","most":%d}}`, n, n)
		res, err := http.Post("http://"+c.Admin+"/v1/command", "application/json", strings.NewReader(body))
		if err != nil {
			return 0
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		return res.StatusCode
	}
	stop := begin(&bbolt.Options{Timeout: time.Second, OpenFile: func(path string, flag int, mode os.FileMode) (*os.File, error) {
		f, err := os.OpenFile(path, flag, mode)
		file = f
		return f, err
	}})
	done := 0
	for range 400 { // until the voter leads
		if command(1) == http.StatusOK {
			done = 1
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if done != 1 {
		t.Fatal("a council of one voter decided nothing within 400 tries")
	}
	_ = file.Close() // every later write fails
	if code := command(2); code == http.StatusOK {
		t.Error("a command that was not saved was reported as done")
	}
	time.Sleep(100 * time.Millisecond)
	if err := stop(); err == nil || !strings.Contains(err.Error(), "saving") {
		t.Errorf("it ends with %v, want that saving failed", err)
	}
	s, saved, err := OpenStore(c.Folder)
	if err != nil {
		t.Fatal(err)
	}
	m := agreed.New(saved.Form, 0)
	for _, e := range saved.Entries {
		if cmd, err := agreed.Decode(e.Data); err == nil && len(e.Data) > 0 {
			m.Apply(e.Index, cmd)
		}
	}
	if b := m.Budgets(); len(b) != 1 || b[0].MaxOut != 1 {
		t.Errorf("after the disk failed the folder has %+v", b)
	}
	_ = s.Close()
}

// plainLog is a synced append-only log of records with length and checksum, the simplest alternative to bbolt.
type plainLog struct{ f *os.File }

func (l *plainLog) append(entries []raftpb.Entry) error {
	var b []byte
	for i := range entries {
		text, err := entries[i].Marshal()
		if err != nil {
			return err
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(text)))
		b = binary.BigEndian.AppendUint32(b, crc32.Checksum(text, castagnoli))
		b = append(b, text...)
	}
	if _, err := l.f.Write(b); err != nil {
		return err
	}
	return l.f.Sync()
}

func (l *plainLog) read() (n int, err error) {
	text, err := os.ReadFile(l.f.Name())
	for len(text) >= 8 {
		size := int(binary.BigEndian.Uint32(text))
		if len(text) < 8+size || binary.BigEndian.Uint32(text[4:]) != crc32.Checksum(text[8:8+size], castagnoli) {
			return n, errors.New("torn")
		}
		var e raftpb.Entry
		if err := e.Unmarshal(text[8 : 8+size]); err != nil {
			return n, err
		}
		n, text = n+1, text[8+size:]
	}
	return n, err
}

// BenchmarkStore compares bbolt with a plain log: the time to save a decision, the file's size per decision and the
// recovery time per decision.
func BenchmarkStore(b *testing.B) {
	data := (&agreed.Command{Format: agreed.NewestFormat, Op: agreed.Acquire, Client: "0123456789abcdef01234567", Number: 7, Actor: "ops@host", Target: "gateway/gw-17", Term: 60000}).Encode()
	entry := func(i int) []raftpb.Entry { return []raftpb.Entry{{Index: uint64(i + 2), Term: 2, Data: data}} }
	size := func(path string) float64 {
		i, err := os.Stat(path)
		if err != nil {
			b.Fatal(err)
		}
		return float64(i.Size())
	}
	b.Run("bbolt", func(b *testing.B) {
		dir := b.TempDir()
		s, _, err := OpenStore(dir)
		if err != nil {
			b.Fatal(err)
		}
		for i := 0; b.Loop(); i++ {
			if err := s.Save(&Saved{Entries: entry(i), Hard: raftpb.HardState{Term: 2, Commit: uint64(i + 2)}}); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(size(filepath.Join(dir, storeFile))/float64(b.N), "B/entry")
		_ = s.Close()
		begin := time.Now()
		s, saved, err := OpenStore(dir)
		if err != nil || len(saved.Entries) != b.N {
			b.Fatal(len(saved.Entries), err)
		}
		b.ReportMetric(float64(time.Since(begin).Nanoseconds())/float64(b.N), "ns-recovery/entry")
		_ = s.Close()
	})
	b.Run("plain", func(b *testing.B) {
		f, err := os.Create(filepath.Join(b.TempDir(), "log"))
		if err != nil {
			b.Fatal(err)
		}
		l := &plainLog{f}
		for i := 0; b.Loop(); i++ {
			if err := l.append(entry(i)); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(size(f.Name())/float64(b.N), "B/entry")
		begin := time.Now()
		if n, err := l.read(); err != nil || n != b.N {
			b.Fatal(n, err)
		}
		b.ReportMetric(float64(time.Since(begin).Nanoseconds())/float64(b.N), "ns-recovery/entry")
	})
}
