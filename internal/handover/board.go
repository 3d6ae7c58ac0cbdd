// Package handover is what two processes of one gateway share while one replaces the other: a board in shared memory,
// state files, and locks that tell who lives. All of it is in a folder that both reach. No process ever waits for
// another here for longer than a stated bound, and one that is killed at any step leaves what it wrote whole.
package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	boardName = "reachwind.board"
	lockName  = "reachwind.lock"

	magic    = 0x72776264
	version  = 1
	slots    = 4 // processes of one gateway at once: the one in service, its successor, and such as are ending
	sessions = 1 << 13

	wordMagic, wordSize, wordSum, wordBirths, wordBans = 0, 1, 2, 3, 4

	slotAt, slotWords                       = 8, 8
	slotBirth, slotReady, slotUsed, slotSaw = 0, 1, 2, 3

	sessionsAt = slotAt + slots*slotWords
	words      = sessionsAt + sessions

	lockMaking = slots     // byte of the lock file that is held while the board is made
	lockFiles  = slots + 1 // and while a state file is changed

	lockWait = 300 * time.Millisecond // for another that makes the board or changes a file
)

// Errors of a board or a state file that can't be used.
var (
	ErrMissing          = errors.New("is missing")
	ErrDamaged          = errors.New("is not whole")
	ErrVersion          = errors.New("is of another version")
	ErrTooLarge         = errors.New("is larger than any that this program writes")
	ErrBusy             = errors.New("is held by another process that does not go on")
	ErrTooManyProcesses = errors.New("too many processes of this gateway live at once")
)

// StateError tells of a shared file that can't be used, and what an operator can do.
type StateError struct {
	File   string
	Err    error // one of the above, or the system's
	Remedy string
}

func (e *StateError) Error() string { return fmt.Sprintf("%s %v; %s", e.File, e.Err, e.Remedy) }

// Unwrap gives the cause.
func (e *StateError) Unwrap() error { return e.Err }

// SharedState is the shared memory of a gateway's processes. Its methods may be called from any goroutine; none blocks.
type SharedState struct {
	dir   string
	lock  *os.File
	slot  int
	birth uint64
	file  uint64                               // which file the board is, as the lock file has it for each place
	at    atomic.Pointer[[words]atomic.Uint64] // nil: this process runs without a board, and only knows who lives
}

// Peer is what a process of the same gateway says of itself.
type Peer struct {
	Joined         bool // it uses the board; else nothing more is known of it
	StartNumber    uint64
	Older          bool
	Ready          bool
	Descriptors    int    // descriptors
	AppliedChanges uint64 // count of state changes that it has taken over
}

// Open takes a place among the processes of the gateway whose folder is dir. Where the board can't be used an error
// comes with a Board that knows who lives, or with none if not even that can be told.
func Open(dir string) (*SharedState, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, &StateError{lockName, err, "give the gateway a folder that it may write to, as TMPDIR"}
	}
	b := &SharedState{dir: dir, lock: f, slot: -1}
	for i := range slots {
		if b.hold(i) == nil {
			b.slot = i
			break
		}
	}
	if b.slot < 0 {
		_ = f.Close()
		return nil, &StateError{lockName, ErrTooManyProcesses, "end processes of former upgrades that were left running"}
	}
	b.tell(0)
	return b, b.Join()
}

// Join takes part in the board, if this process does not yet and if it can.
func (b *SharedState) Join() error {
	if b.Joined() {
		return nil
	}
	release, err := b.claim(lockMaking)
	if err != nil {
		return &StateError{boardName, err, "end the process that was stopped while it started"}
	}
	defer release()
	err = b.attach()
	if err != nil && !b.Alone() && !errors.Is(err, ErrMissing) {
		return &StateError{boardName, err, "nothing: it is replaced once the other process has ended"}
	}
	if err != nil {
		if err = b.make(); err == nil {
			err = b.attach()
		}
		if err != nil {
			return &StateError{boardName, err, "give the folder room for 64 KB"}
		}
	}
	b.own(slotBirth).Store(0) // the place's former holder's words count no more
	for i := slotBirth + 1; i < slotWords; i++ {
		b.own(i).Store(0)
	}
	b.birth = b.at.Load()[wordBirths].Add(1)
	b.own(slotBirth).Store(b.birth)
	b.tell(b.file)
	return nil
}

// tell notes in the lock file which board this process uses, 0 = none: one that was put in its place is another.
func (b *SharedState) tell(file uint64) {
	_, _ = b.lock.WriteAt(binary.LittleEndian.AppendUint64(nil, file), int64(b.slot*8))
}

// uses is the board that the process at a place uses.
func (b *SharedState) uses(slot int) uint64 {
	var w [8]byte
	if _, err := b.lock.ReadAt(w[:], int64(slot*8)); err != nil {
		return 0
	}
	return binary.LittleEndian.Uint64(w[:])
}

// make writes a whole new board and puts it in place of what is there.
func (b *SharedState) make() error {
	f, err := os.CreateTemp(b.dir, boardName+".*")
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	head := make([]byte, 24)
	binary.NativeEndian.PutUint64(head, magic<<32|version)
	binary.NativeEndian.PutUint64(head[8:], words)
	binary.NativeEndian.PutUint64(head[16:], uint64(crc32.Checksum(head[:16], castagnoli)))
	// The room is taken now: a page that can't be had later would end the process.
	if err = unix.Fallocate(int(f.Fd()), 0, 0, words*8); err == nil {
		_, err = f.WriteAt(head, 0)
	}
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(b.dir, boardName))
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// attach maps the board that is there, if it is whole and of this version.
func (b *SharedState) attach() error {
	f, err := os.OpenFile(filepath.Join(b.dir, boardName), os.O_RDWR, 0)
	if errors.Is(err, os.ErrNotExist) {
		return ErrMissing
	}
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return err
	}
	head := make([]byte, 24)
	if _, err := f.ReadAt(head, 0); err != nil || !info.Mode().IsRegular() {
		return ErrDamaged
	}
	first, size := binary.NativeEndian.Uint64(head), binary.NativeEndian.Uint64(head[8:])
	switch {
	case first>>32 != magic || binary.NativeEndian.Uint64(head[16:]) != uint64(crc32.Checksum(head[:16], castagnoli)):
		return ErrDamaged
	case first&0xffffffff != version || size != words:
		return ErrVersion
	case info.Size() > words*8:
		return ErrTooLarge
	case info.Size() < words*8:
		return ErrDamaged
	}
	var stat unix.Stat_t
	if err := unix.Fstat(int(f.Fd()), &stat); err != nil {
		return err
	}
	mem, err := unix.Mmap(int(f.Fd()), 0, words*8, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return err
	}
	b.file = stat.Ino
	b.at.Store((*[words]atomic.Uint64)(unsafe.Pointer(&mem[0])))
	return nil
}

// Close gives up the place. The board stays for others, and mapped: some goroutine may still look at it.
func (b *SharedState) Close() { _ = b.lock.Close() }

// Joined tells whether the board can be used.
func (b *SharedState) Joined() bool { return b.at.Load() != nil }

// hold takes a byte of the lock file, for as long as this process lives or until it is dropped.
func (b *SharedState) hold(at int) error {
	return unix.FcntlFlock(b.lock.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: unix.F_WRLCK, Start: int64(at), Len: 1})
}

// claim takes a byte for a moment; another that does not let go of it is waited for a bounded time.
func (b *SharedState) claim(at int) (release func(), err error) {
	for until := time.Now().Add(lockWait); ; time.Sleep(2 * time.Millisecond) {
		if err = b.hold(at); err == nil {
			return func() {
				_ = unix.FcntlFlock(b.lock.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: unix.F_UNLCK, Start: int64(at), Len: 1})
			}, nil
		}
		if !time.Now().Before(until) {
			return nil, ErrBusy
		}
	}
}

// lives tells whether another process holds a place.
func (b *SharedState) lives(slot int) bool {
	l := unix.Flock_t{Type: unix.F_WRLCK, Start: int64(slot), Len: 1}
	err := unix.FcntlFlock(b.lock.Fd(), unix.F_OFD_GETLK, &l)
	return err == nil && l.Type != unix.F_UNLCK
}

// Alone tells whether no other process of the gateway lives.
func (b *SharedState) Alone() bool {
	for i := range slots {
		if i != b.slot && b.lives(i) {
			return false
		}
	}
	return true
}

// Peers are the processes beside this one.
func (b *SharedState) Peers() (all []Peer) {
	for i := range slots {
		if i == b.slot || !b.lives(i) {
			continue
		}
		at := b.at.Load()
		o := Peer{Older: at == nil}
		if at != nil && b.uses(i) == b.file {
			s := at[slotAt+i*slotWords:]
			if birth := s[slotBirth].Load(); birth != 0 {
				o = Peer{true, birth, birth < b.birth, s[slotReady].Load() != 0, int(s[slotUsed].Load()), s[slotSaw].Load()}
			}
		}
		all = append(all, o)
	}
	return all
}

func (b *SharedState) own(word int) *atomic.Uint64 { return &b.at.Load()[slotAt+b.slot*slotWords+word] }

// SetReady says whether this process can serve.
func (b *SharedState) SetReady(yes bool) {
	if b.Joined() {
		n := uint64(0)
		if yes {
			n = 1
		}
		b.own(slotReady).Store(n)
	}
}

// SetDescriptors says how many descriptors this process holds.
func (b *SharedState) SetDescriptors(n int) {
	if b.Joined() {
		b.own(slotUsed).Store(uint64(n))
	}
}

func word(group int64, session string) int {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(group)))
	_, _ = h.WriteString(session)
	return sessionsAt + int(h.Sum64()%sessions)
}

// RecordCommit notes that a session's write was committed at p, as time since the start of Unix time. It must be called
// before the write is answered.
func (b *SharedState) RecordCommit(group int64, session string, p time.Duration) {
	at := b.at.Load()
	if at == nil || p <= 0 {
		return
	}
	w := &at[word(group, session)]
	for {
		was := w.Load()
		if was >= uint64(p) || w.CompareAndSwap(was, uint64(p)) {
			return
		}
	}
}

// LastCommit is a time up to which a session's reads must see: that of its last commit in any process, or later.
// 0 = it has none.
func (b *SharedState) LastCommit(group int64, session string) time.Duration {
	at := b.at.Load()
	if at == nil {
		return 0
	}
	return time.Duration(at[word(group, session)].Load())
}
