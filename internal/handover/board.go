// Package handover holds what two processes of one gateway share while one replaces the other: a block of shared memory,
// state files, and file locks that show which processes are alive. All of them are in one folder. No process waits
// for another longer than a documented bound, and a process that is killed at any step leaves the files consistent.
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
	sharedStateName = "reachwind.board"
	lockFileName    = "reachwind.lock"

	magic        = 0x72776264
	version      = 1
	slots        = 4 // processes of one gateway at a time: the one in service, its successor, and those that are shutting down
	sessionWords = 1 << 13

	wordMagic, wordSize, wordSum, wordStarts, wordChanges = 0, 1, 2, 3, 4

	slotsStart, wordsPerSlot                                        = 8, 8
	slotStartNumber, slotReady, slotDescriptors, slotAppliedChanges = 0, 1, 2, 3

	sessionsStart = slotsStart + slots*wordsPerSlot
	totalWords    = sessionsStart + sessionWords

	lockCreate = slots     // byte of the lock file that is locked while the shared state is created
	lockFiles  = slots + 1 // byte of the lock file that is locked while a state file is changed

	lockTimeout = 300 * time.Millisecond // bound on the wait for another process that holds one of these two locks
)

// Errors of shared memory or a state file that cannot be used.
var (
	ErrMissing          = errors.New("is missing")
	ErrDamaged          = errors.New("is not whole")
	ErrVersion          = errors.New("is of another version")
	ErrTooLarge         = errors.New("is larger than any that this program writes")
	ErrBusy             = errors.New("is held by another process that does not go on")
	ErrTooManyProcesses = errors.New("too many processes of this gateway are alive at once")
)

// StateError reports a shared file that cannot be used, and what an operator can do about it.
type StateError struct {
	File   string
	Err    error // one of the errors above, or one of the operating system
	Remedy string
}

func (e *StateError) Error() string { return fmt.Sprintf("%s %v; %s", e.File, e.Err, e.Remedy) }

// Unwrap returns the cause.
func (e *StateError) Unwrap() error { return e.Err }

// SharedState is the state that the processes of a gateway share. Its methods are safe for concurrent use; those that use the
// shared memory only do not block.
type SharedState struct {
	dir         string
	lockFile    *os.File
	slot        int
	startNumber uint64
	inode       uint64                                    // inode of the shared memory's file; the lock file holds it for each slot
	memory      atomic.Pointer[[totalWords]atomic.Uint64] // nil: no shared memory; this process only knows which others are alive
}

// Peer describes another process of the same gateway.
type Peer struct {
	Joined         bool // it uses the same shared memory; else nothing more is known about it
	StartNumber    uint64
	Older          bool
	Ready          bool
	Descriptors    int    // file descriptors that it holds
	AppliedChanges uint64 // number of state changes that it has applied
}

// Open claims a slot among the processes of the gateway whose folder is dir. If the shared memory cannot be used, it
// returns an error together with a Board that knows which processes are alive, or nil if not even that can be known.
func Open(dir string) (*SharedState, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFileName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, &StateError{lockFileName, err, "set TMPDIR to a folder that the gateway can write to"}
	}
	b := &SharedState{dir: dir, lockFile: f, slot: -1}
	for i := range slots {
		if b.tryLock(i) == nil {
			b.slot = i
			break
		}
	}
	if b.slot < 0 {
		_ = f.Close()
		return nil, &StateError{lockFileName, ErrTooManyProcesses, "end processes of former upgrades that were left running"}
	}
	b.publishInode(0)
	return b, b.Join()
}

// Join maps the shared memory and registers this process in it, unless that is done already. It creates the shared memory
// if it is missing, and replaces it if it is unusable and no other process is alive.
func (b *SharedState) Join() error {
	if b.Joined() {
		return nil
	}
	release, err := b.acquireLock(lockCreate)
	if err != nil {
		return &StateError{sharedStateName, err, "end the process that was suspended during its start"}
	}
	defer release()
	err = b.attach()
	if err != nil && !b.Alone() && !errors.Is(err, ErrMissing) {
		return &StateError{sharedStateName, err, "no action needed: it is replaced once the other process has ended"}
	}
	if err != nil {
		if err = b.create(); err == nil {
			err = b.attach()
		}
		if err != nil {
			return &StateError{sharedStateName, err, "free 64 KB of disk space in the folder"}
		}
	}
	b.ownWord(slotStartNumber).Store(0) // invalidates what the former process of this slot stored
	for i := slotStartNumber + 1; i < wordsPerSlot; i++ {
		b.ownWord(i).Store(0)
	}
	b.startNumber = b.memory.Load()[wordStarts].Add(1)
	b.ownWord(slotStartNumber).Store(b.startNumber)
	b.publishInode(b.inode)
	return nil
}

// publishInode writes the inode of the shared memory that this process uses to the lock file, 0 = none. A file that replaced it has
// another inode.
func (b *SharedState) publishInode(file uint64) {
	_, _ = b.lockFile.WriteAt(binary.LittleEndian.AppendUint64(nil, file), int64(b.slot*8))
}

// inodeOf returns the inode of the shared memory that the process in a slot uses.
func (b *SharedState) inodeOf(slot int) uint64 {
	var w [8]byte
	if _, err := b.lockFile.ReadAt(w[:], int64(slot*8)); err != nil {
		return 0
	}
	return binary.LittleEndian.Uint64(w[:])
}

// create creates new shared memory and atomically replaces the existing file by it.
func (b *SharedState) create() error {
	f, err := os.CreateTemp(b.dir, sharedStateName+".*")
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	head := make([]byte, 24)
	binary.NativeEndian.PutUint64(head, magic<<32|version)
	binary.NativeEndian.PutUint64(head[8:], totalWords)
	binary.NativeEndian.PutUint64(head[16:], uint64(crc32.Checksum(head[:16], castagnoli)))
	// Disk space is allocated now: a page that cannot be allocated later would kill the process.
	if err = unix.Fallocate(int(f.Fd()), 0, 0, totalWords*8); err == nil {
		_, err = f.WriteAt(head, 0)
	}
	if err == nil {
		err = os.Rename(f.Name(), filepath.Join(b.dir, sharedStateName))
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// attach maps the existing shared memory if it is intact and of this version.
func (b *SharedState) attach() error {
	f, err := os.OpenFile(filepath.Join(b.dir, sharedStateName), os.O_RDWR, 0)
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
	case first&0xffffffff != version || size != totalWords:
		return ErrVersion
	case info.Size() > totalWords*8:
		return ErrTooLarge
	case info.Size() < totalWords*8:
		return ErrDamaged
	}
	var stat unix.Stat_t
	if err := unix.Fstat(int(f.Fd()), &stat); err != nil {
		return err
	}
	mem, err := unix.Mmap(int(f.Fd()), 0, totalWords*8, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return err
	}
	b.inode = stat.Ino
	b.memory.Store((*[totalWords]atomic.Uint64)(unsafe.Pointer(&mem[0])))
	return nil
}

// Close releases the slot. The shared memory remains for other processes, and mapped: a goroutine may still read it.
func (b *SharedState) Close() { _ = b.lockFile.Close() }

// Joined reports whether this process uses the shared memory.
func (b *SharedState) Joined() bool { return b.memory.Load() != nil }

// tryLock locks a byte of the lock file until the lock is released or the process ends. It does not wait.
func (b *SharedState) tryLock(at int) error {
	return unix.FcntlFlock(b.lockFile.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: unix.F_WRLCK, Start: int64(at), Len: 1})
}

// acquireLock locks a byte of the lock file for a short time. It waits for another holder up to lockWait, then returns ErrBusy.
func (b *SharedState) acquireLock(at int) (release func(), err error) {
	for until := time.Now().Add(lockTimeout); ; time.Sleep(2 * time.Millisecond) {
		if err = b.tryLock(at); err == nil {
			return func() {
				_ = unix.FcntlFlock(b.lockFile.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: unix.F_UNLCK, Start: int64(at), Len: 1})
			}, nil
		}
		if !time.Now().Before(until) {
			return nil, ErrBusy
		}
	}
}

// isAlive reports whether another process holds a slot.
func (b *SharedState) isAlive(slot int) bool {
	l := unix.Flock_t{Type: unix.F_WRLCK, Start: int64(slot), Len: 1}
	err := unix.FcntlFlock(b.lockFile.Fd(), unix.F_OFD_GETLK, &l)
	return err == nil && l.Type != unix.F_UNLCK
}

// Alone reports whether no other process of the gateway is alive.
func (b *SharedState) Alone() bool {
	for i := range slots {
		if i != b.slot && b.isAlive(i) {
			return false
		}
	}
	return true
}

// Peers returns the other live processes of the gateway.
func (b *SharedState) Peers() (all []Peer) {
	for i := range slots {
		if i == b.slot || !b.isAlive(i) {
			continue
		}
		at := b.memory.Load()
		o := Peer{Older: at == nil}
		if at != nil && b.inodeOf(i) == b.inode {
			s := at[slotsStart+i*wordsPerSlot:]
			if birth := s[slotStartNumber].Load(); birth != 0 {
				o = Peer{true, birth, birth < b.startNumber, s[slotReady].Load() != 0, int(s[slotDescriptors].Load()), s[slotAppliedChanges].Load()}
			}
		}
		all = append(all, o)
	}
	return all
}

func (b *SharedState) ownWord(word int) *atomic.Uint64 {
	return &b.memory.Load()[slotsStart+b.slot*wordsPerSlot+word]
}

// SetReady publishes whether this process can serve.
func (b *SharedState) SetReady(yes bool) {
	if b.Joined() {
		n := uint64(0)
		if yes {
			n = 1
		}
		b.ownWord(slotReady).Store(n)
	}
}

// SetDescriptors publishes how many file descriptors this process holds.
func (b *SharedState) SetDescriptors(n int) {
	if b.Joined() {
		b.ownWord(slotDescriptors).Store(uint64(n))
	}
}

// sessionWord returns the index of the word that holds the last commit of a session. Sessions whose hashes collide share a word.
func sessionWord(group int64, session string) int {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(group)))
	_, _ = h.WriteString(session)
	return sessionsStart + int(h.Sum64()%sessionWords)
}

// RecordCommit records that a write of a session was committed at p, a time since the Unix epoch. It must be called before the
// write is answered.
func (b *SharedState) RecordCommit(group int64, session string, p time.Duration) {
	at := b.memory.Load()
	if at == nil || p <= 0 {
		return
	}
	w := &at[sessionWord(group, session)]
	for {
		was := w.Load()
		if was >= uint64(p) || w.CompareAndSwap(was, uint64(p)) {
			return
		}
	}
}

// LastCommit returns the time, since the Unix epoch, up to which the reads of a session must see all writes: that of its last
// commit in any process, or later. 0 means that it has none.
func (b *SharedState) LastCommit(group int64, session string) time.Duration {
	at := b.memory.Load()
	if at == nil {
		return 0
	}
	return time.Duration(at[sessionWord(group, session)].Load())
}
