package spool

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// crashDisk is an in-memory FS that loses unsynced data when it crashes and returns errors on demand.
type crashDisk struct {
	r      *rand.Rand
	files  map[string]*fileData
	synced map[string]*fileData // file names that survive a crash
	fail   int                  // how many of the next operations fail
	full   bool                 // writes are short and fail
	locked bool
}

type fileData struct {
	data []byte
	safe int // bytes that survive a crash
}

type handle struct {
	d *crashDisk
	n *fileData
}

var errDisk = errors.New("disk error")

func newDisk(seed uint64) *crashDisk {
	return &crashDisk{r: rand.New(rand.NewPCG(seed, 9)), files: map[string]*fileData{}, synced: map[string]*fileData{}}
}

func (d *crashDisk) failing() bool {
	if d.fail > 0 {
		d.fail--
		return true
	}
	return false
}

func (h *handle) Write(p []byte) (int, error) {
	if h.d.full || h.d.failing() {
		n := h.d.r.IntN(len(p) + 1)
		h.n.data = append(h.n.data, p[:n]...)
		return n, errDisk
	}
	h.n.data = append(h.n.data, p...)
	return len(p), nil
}

func (h *handle) ReadAt(p []byte, at int64) (int, error) {
	if at >= int64(len(h.n.data)) {
		return 0, io.EOF
	}
	n := copy(p, h.n.data[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (h *handle) Sync() error {
	if h.d.failing() {
		return errDisk
	}
	h.n.safe = len(h.n.data)
	return nil
}

func (h *handle) Truncate(size int64) error {
	if h.d.failing() {
		return errDisk
	}
	h.n.data = h.n.data[:size]
	h.n.safe = min(h.n.safe, int(size))
	return nil
}

func (h *handle) Close() error { return nil }

func (d *crashDisk) Names() (names []string, err error) {
	for n := range d.files {
		names = append(names, n)
	}
	return names, nil
}

func (d *crashDisk) Create(name string) (File, error) {
	if d.files[name] != nil {
		return nil, os.ErrExist
	}
	if d.failing() {
		return nil, errDisk
	}
	d.files[name] = new(fileData)
	return &handle{d, d.files[name]}, nil
}

func (d *crashDisk) Open(name string) (File, int64, error) {
	n := d.files[name]
	if n == nil {
		return nil, 0, os.ErrNotExist
	}
	return &handle{d, n}, int64(len(n.data)), nil
}

func (d *crashDisk) Remove(name string) error {
	delete(d.files, name)
	return nil
}

func (d *crashDisk) Rename(from, to string) error {
	if d.failing() {
		return errDisk
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *crashDisk) Sync() error {
	if d.failing() {
		return errDisk
	}
	d.synced = map[string]*fileData{}
	for n, f := range d.files {
		d.synced[n] = f
	}
	return nil
}

func (d *crashDisk) Lock() (func(), error) {
	if d.locked {
		return nil, ErrLocked
	}
	d.locked = true
	return func() { d.locked = false }, nil
}

// crash keeps what was synced, and a random prefix of the rest, whose end may be corrupted.
func (d *crashDisk) crash() {
	for name, f := range d.files {
		if d.synced[name] != f && d.r.IntN(2) == 0 { // its name was not synced
			delete(d.files, name)
			if old := d.synced[name]; old != nil {
				d.files[name] = old
			}
			continue
		}
		keep := f.safe + d.r.IntN(len(f.data)-f.safe+1)
		f.data = f.data[:keep]
		for i := f.safe; i < keep && i < f.safe+20 && d.r.IntN(3) == 0; i++ {
			f.data[keep-1-(i-f.safe)] ^= byte(1 + d.r.IntN(255))
		}
		f.safe = len(f.data)
	}
	d.locked, d.fail, d.full = false, 0, false
	_ = d.Sync()
}

func payload(seq uint64) []byte {
	b := []byte(fmt.Sprintf("record %d %s", seq, strings.Repeat("RWSR", int(seq*7%23))))
	return fmt.Appendf(b, "#%d", crc32.ChecksumIEEE(b))
}

func record(seq uint64) Record {
	return Record{Seq: seq, At: time.Duration(seq) * time.Second, Key: seq * 3, SeqAt: 2, Worth: uint8(seq % 5), Moves: 1, Route: "all", Msg: payload(seq)}
}

func readAll(t testing.TB, s *Spool) map[uint64]bool {
	t.Helper()
	have := map[uint64]bool{}
	for {
		records, rotten, err := s.Read(500, func(uint64) bool { return true })
		if err != nil || len(rotten) > 0 {
			t.Fatalf("read: %v, rotten %v", err, rotten)
		}
		if len(records) == 0 {
			return have
		}
		for _, r := range records {
			want := record(r.Seq)
			if string(r.Msg) != string(want.Msg) || r.At != want.At || r.Key != want.Key || r.Route != want.Route || r.Worth != want.Worth {
				t.Fatalf("record %d came back as %+v", r.Seq, r)
			}
			if have[r.Seq] {
				t.Fatalf("record %d came twice", r.Seq)
			}
			have[r.Seq] = true
		}
	}
}

// TestCrashes runs random operations with disk errors and power failures between them. Records that were synced and
// are still needed must be found, no corrupt record may be read, and no record number may be used twice.
func TestCrashes(t *testing.T) {
	for seed := range uint64(150) {
		checkCrashes(t, seed)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func checkCrashes(t *testing.T, seed uint64) {
	d := newDisk(seed)
	r := d.r
	o := Options{Owner: "gw/office", Most: 200 << 10, Segment: 1, Age: 0, Reserve: 50}
	next, used := uint64(1), uint64(0)
	safe := map[uint64]bool{}   // synced and not done
	maybe := map[uint64]bool{}  // written and not done
	wanted := map[uint64]bool{} // not done, according to the open spool
	for range 4 {
		s, found, err := Open(d, o)
		if err != nil {
			t.Fatal(err)
		}
		if found.Next <= used {
			t.Fatalf("number %d would be used again, %d was", found.Next, used)
		}
		next = found.Next
		have := readAll(t, s)
		for q := range safe {
			if !have[q] {
				t.Fatalf("record %d was synced and is missing", q)
			}
		}
		safe, maybe, wanted = have, map[uint64]bool{}, map[uint64]bool{}
		for q := range have {
			wanted[q] = true
		}
		for range r.IntN(60) {
			if r.IntN(12) == 0 {
				d.fail = 1 + r.IntN(3)
			}
			d.full = r.IntN(15) == 0
			switch r.IntN(6) {
			case 0, 1, 2:
				var batch []Record
				for range 1 + r.IntN(20) {
					batch = append(batch, record(next))
					next++
				}
				if s.Reserve(next) != nil {
					next -= uint64(len(batch))
					continue
				}
				used = next - 1
				if s.Append(batch) == nil {
					for _, b := range batch {
						maybe[b.Seq], wanted[b.Seq] = true, true
					}
				}
			case 3:
				if s.Sync() == nil {
					for q := range maybe {
						safe[q] = wanted[q]
					}
				}
			case 4:
				var done []uint64
				for q := range wanted {
					if r.IntN(3) == 0 {
						done = append(done, q)
					}
				}
				slices.Sort(done)
				_ = s.Done(done)
				for _, q := range done {
					delete(wanted, q)
					delete(safe, q)
					delete(maybe, q)
				}
				if len(done) > 0 && r.IntN(2) == 0 { // a broken connection: the record waits again and is saved again
					if q := done[0]; s.Append([]Record{record(q)}) == nil {
						maybe[q], wanted[q] = true, true
					}
				}
			case 5:
				if !d.full && d.fail == 0 {
					for q := range readAll(t, s) {
						if !wanted[q] {
							t.Fatalf("record %d was read, but it was done or never written", q)
						}
					}
				}
			}
			for q, ok := range safe {
				if !ok {
					delete(safe, q)
				}
			}
		}
		d.crash()
	}
}

func spoolWith(t *testing.T, n uint64) (*crashDisk, string) {
	d := newDisk(1)
	s, _, err := Open(d, Options{Owner: "gw/office", Most: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	for seq := uint64(1); seq <= n; seq++ {
		if err := s.Append([]Record{record(seq)}); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	for name := range d.files {
		if strings.HasSuffix(name, ".seg") {
			return d, name
		}
	}
	t.Fatal("no segment")
	return nil, ""
}

// TestDamage truncates a segment at every byte: all records before the cut must be read. It also changes every byte:
// all records but the damaged one must be read, or none if the header is damaged.
func TestDamage(t *testing.T) {
	const n = 12
	d, name := spoolWith(t, n)
	whole := slices.Clone(d.files[name].data)
	_, head, _, _ := parseHeader(name, whole)
	var ends []int
	var r Record
	for at := head; at < len(whole); {
		at += parseRecord(whole[at:], &r)
		ends = append(ends, at)
	}
	open := func(data []byte) (map[uint64]bool, Found, error) {
		d.files = map[string]*fileData{name: {data: slices.Clone(data)}}
		s, found, err := Open(d, Options{Owner: "gw/office", Most: 1 << 20})
		if err != nil {
			return nil, found, err
		}
		defer s.Close()
		return readAll(t, s), found, nil
	}
	for cut := range len(whole) + 1 {
		have, found, err := open(whole[:cut])
		want := 0
		for want < len(ends) && ends[want] <= cut {
			want++
		}
		clean := cut >= head && (want == 0 && cut == head || want > 0 && ends[want-1] == cut)
		if err != nil || len(have) != want || (found.Torn == 0) != clean || found.Rotten > 0 {
			t.Fatalf("cut at %d: %d records, want %d; %+v, %v", cut, len(have), want, found, err)
		}
	}
	for at := range whole {
		damaged := slices.Clone(whole)
		damaged[at] ^= 0x41
		have, found, err := open(damaged)
		switch {
		case at < head && err == nil && (len(have) > 0 || found.Rotten != 1 || d.files[name+".bad"] == nil):
			t.Fatalf("byte %d of the header changed, and Open did not report it", at)
		case at >= head && (err != nil || len(have) != n-1 || found.Rotten+found.Torn != 1):
			t.Fatalf("byte %d changed: %d records of %d, %+v, %v", at, len(have), n, found, err)
		}
	}
}

// FuzzRecover opens folders with arbitrary content: Open must refuse them, or Read must end without an error.
func FuzzRecover(f *testing.F) {
	d, name := spoolWith(&testing.T{}, 3)
	f.Add(d.files[name].data, []byte(doneMagic))
	f.Add(d.files[name].data[:60], appendDone([]byte(doneMagic), 1, 2))
	f.Fuzz(func(t *testing.T, seg, done []byte) {
		d := newDisk(1)
		d.files["0000000000000001.seg"], d.files["0000000000000001.done"] = &fileData{data: seg}, &fileData{data: done}
		s, _, err := Open(d, Options{Owner: "gw/office", Most: 1 << 20})
		if err != nil {
			return
		}
		for range 1000 {
			records, _, err := s.Read(1<<20, func(uint64) bool { return true })
			if err != nil {
				t.Fatal(err)
			}
			if len(records) == 0 {
				return
			}
		}
		t.Fatal("Read still returns records after 1000 calls")
	})
}

// TestRefusals checks that Open refuses a folder of another owner, of a newer version or in use, and leaves it
// unchanged.
func TestRefusals(t *testing.T) {
	d, name := spoolWith(t, 3)
	before := slices.Clone(d.files[name].data)
	var owner *OwnerError
	if _, _, err := Open(d, Options{Owner: "other/office", Most: 1 << 20}); !errors.As(err, &owner) || d.locked {
		t.Errorf("folder of another owner: %v", err)
	}
	newer := slices.Clone(before)
	newer[8] = 2
	n := 12 + int(newer[10])
	binary.LittleEndian.PutUint32(newer[n:], crc32.Checksum(newer[:n], castagnoli))
	d.files[name].data = newer
	var version *VersionError
	if _, _, err := Open(d, Options{Owner: "gw/office", Most: 1 << 20}); !errors.As(err, &version) {
		t.Errorf("segment of a newer version: %v", err)
	}
	if !slices.Equal(d.files[name].data, newer) {
		t.Error("a refused folder was changed")
	}
	d.files[name].data = before
	dir := Dir(t.TempDir())
	s, _, err := Open(dir, Options{Owner: "gw/office", Most: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(dir, Options{Owner: "gw/office", Most: 1 << 20}); !errors.Is(err, ErrLocked) {
		t.Errorf("folder in use: %v", err)
	}
	s.Close()
}

// TestTrim checks that Trim removes the oldest segments beyond the size limit and expired ones beyond the age limit,
// and that a clock that steps back expires nothing.
func TestTrim(t *testing.T) {
	d := newDisk(1)
	s, _, err := Open(d, Options{Owner: "o", Most: 300 << 10, Segment: 64 << 10, Age: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	big := func(seq uint64) Record { r := record(seq); r.Msg = make([]byte, 10<<10); return r }
	var dropped []uint64
	note := func(_ bool, seqs []uint64) { dropped = append(dropped, seqs...) }
	for seq := uint64(1); seq <= 60; seq++ {
		if err := s.Append([]Record{big(seq)}); err != nil {
			t.Fatal(err)
		}
		s.Trim(-time.Hour, note)
	}
	if s.Bytes() > 300<<10 || len(dropped) == 0 || dropped[0] != 1 || !slices.IsSorted(dropped) {
		t.Errorf("%d bytes kept, dropped %v", s.Bytes(), dropped)
	}
	dropped = nil
	s.Trim(60*time.Second+time.Hour+1, note)
	if len(dropped) == 0 || dropped[len(dropped)-1] != 60 {
		t.Errorf("by age dropped %v", dropped)
	}
}
