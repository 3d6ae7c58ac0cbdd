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
	slots        = 4       // processes of one gateway at a time: the one in service, its successor, and those shutting down
	sessionWords = 1 << 13 // words for the last commits of sessions

	// Words of the shared memory, 8 bytes each: a header of magic and version, size in words, checksum, number of processes
	// that have joined and number of changes of the state files; then the slots, then one word per hash value of a session.
	wordMagic, wordSize, wordSum, wordStarts, wordChanges = 0, 1, 2, 3, 4

	slotsStart, wordsPerSlot                                        = 8, 8
	slotStartNumber, slotReady, slotDescriptors, slotAppliedChanges = 0, 1, 2, 3 // words of a slot
	slotListUsableUntil                                             = 4

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

// SharedState is the state that the processes of a gateway share. Its methods are safe for concurrent use; those that use
// only the shared memory do not block.
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
	Joined         bool   // it uses the same shared memory; else nothing more is known about it
	StartNumber    uint64 // counts the processes that joined the shared memory; a later one has a higher number
	Older          bool   // it joined before this process
	Ready          bool   // it can serve
	Descriptors    int    // file descriptors that it holds
	AppliedChanges uint64 // number of state changes that it has applied
	// ListUsableUntil is the time of MonotonicNow until which it uses its list of members as it is; 0 = not known.
	ListUsableUntil time.Duration
}

// Open claims a slot among the processes of the gateway whose folder is dir. If the shared memory cannot be used, it
// returns an error together with a SharedState that knows which processes are alive, or nil if not even that can be known.
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
func (s *SharedState) Join() error {
	if s.Joined() {
		return nil
	}
	release, err := s.acquireLock(lockCreate)
	if err != nil {
		return &StateError{sharedStateName, err, "end the process that was suspended during its start"}
	}
	defer release()
	err = s.attach()
	if err != nil && !s.Alone() && !errors.Is(err, ErrMissing) {
		return &StateError{sharedStateName, err, "no action needed: it is replaced once the other process has ended"}
	}
	if err != nil {
		if err = s.create(); err == nil {
			err = s.attach()
		}
		if err != nil {
			return &StateError{sharedStateName, err, "free 64 KB of disk space in the folder"}
		}
	}
	s.ownWord(slotStartNumber).Store(0) // invalidates what the former process of this slot stored
	for i := slotStartNumber + 1; i < wordsPerSlot; i++ {
		s.ownWord(i).Store(0)
	}
	s.startNumber = s.memory.Load()[wordStarts].Add(1)
	s.ownWord(slotStartNumber).Store(s.startNumber)
	s.publishInode(s.inode)
	return nil
}

// publishInode writes the inode of the shared memory that this process uses to the lock file, 0 = none. A file that replaced
// it has another inode.
func (s *SharedState) publishInode(inode uint64) {
	_, _ = s.lockFile.WriteAt(binary.LittleEndian.AppendUint64(nil, inode), int64(s.slot*8))
}

// inodeOf returns the inode of the shared memory that the process in a slot uses.
func (s *SharedState) inodeOf(slot int) uint64 {
	var w [8]byte
	if _, err := s.lockFile.ReadAt(w[:], int64(slot*8)); err != nil {
		return 0
	}
	return binary.LittleEndian.Uint64(w[:])
}

// create creates new shared memory and atomically replaces the existing file by it.
func (s *SharedState) create() error {
	f, err := os.CreateTemp(s.dir, sharedStateName+".*")
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
		err = os.Rename(f.Name(), filepath.Join(s.dir, sharedStateName))
	}
	if err != nil {
		_ = os.Remove(f.Name())
	}
	return err
}

// attach maps the existing shared memory if it is intact and of this version.
func (s *SharedState) attach() error {
	f, err := os.OpenFile(filepath.Join(s.dir, sharedStateName), os.O_RDWR, 0)
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
	s.inode = stat.Ino
	s.memory.Store((*[totalWords]atomic.Uint64)(unsafe.Pointer(&mem[0])))
	return nil
}

// Close releases the slot. The shared memory remains for other processes, and mapped: a goroutine may still read it.
func (s *SharedState) Close() { _ = s.lockFile.Close() }

// Joined reports whether this process uses the shared memory.
func (s *SharedState) Joined() bool { return s.memory.Load() != nil }

// tryLock locks a byte of the lock file until the lock is released or the process ends. It does not wait.
func (s *SharedState) tryLock(offset int) error {
	return unix.FcntlFlock(s.lockFile.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: unix.F_WRLCK, Start: int64(offset), Len: 1})
}

// acquireLock locks a byte of the lock file for a short time. It waits for another holder up to lockTimeout, then returns
// ErrBusy.
func (s *SharedState) acquireLock(offset int) (release func(), err error) {
	for until := time.Now().Add(lockTimeout); ; time.Sleep(2 * time.Millisecond) {
		if err = s.tryLock(offset); err == nil {
			return func() {
				_ = unix.FcntlFlock(s.lockFile.Fd(), unix.F_OFD_SETLK, &unix.Flock_t{Type: unix.F_UNLCK, Start: int64(offset), Len: 1})
			}, nil
		}
		if !time.Now().Before(until) {
			return nil, ErrBusy
		}
	}
}

// isAlive reports whether another process holds a slot.
func (s *SharedState) isAlive(slot int) bool {
	l := unix.Flock_t{Type: unix.F_WRLCK, Start: int64(slot), Len: 1}
	err := unix.FcntlFlock(s.lockFile.Fd(), unix.F_OFD_GETLK, &l)
	return err == nil && l.Type != unix.F_UNLCK
}

// Alone reports whether no other process of the gateway is alive.
func (s *SharedState) Alone() bool {
	for i := range slots {
		if i != s.slot && s.isAlive(i) {
			return false
		}
	}
	return true
}

// Peers returns the other live processes of the gateway.
func (s *SharedState) Peers() (all []Peer) {
	for i := range slots {
		if i == s.slot || !s.isAlive(i) {
			continue
		}
		memory := s.memory.Load()
		peer := Peer{Older: memory == nil}
		if memory != nil && s.inodeOf(i) == s.inode {
			slotMemory := memory[slotsStart+i*wordsPerSlot:]
			if startNumber := slotMemory[slotStartNumber].Load(); startNumber != 0 {
				peer = Peer{Joined: true, StartNumber: startNumber, Older: startNumber < s.startNumber, Ready: slotMemory[slotReady].Load() != 0,
					Descriptors: int(slotMemory[slotDescriptors].Load()), AppliedChanges: slotMemory[slotAppliedChanges].Load(),
					ListUsableUntil: time.Duration(slotMemory[slotListUsableUntil].Load())}
			}
		}
		all = append(all, peer)
	}
	return all
}

// ownWord returns a word of this process's slot.
func (s *SharedState) ownWord(word int) *atomic.Uint64 {
	return &s.memory.Load()[slotsStart+s.slot*wordsPerSlot+word]
}

// SetReady publishes whether this process can serve.
func (s *SharedState) SetReady(yes bool) {
	if s.Joined() {
		n := uint64(0)
		if yes {
			n = 1
		}
		s.ownWord(slotReady).Store(n)
	}
}

// SetDescriptors publishes how many file descriptors this process holds.
func (s *SharedState) SetDescriptors(n int) {
	if s.Joined() {
		s.ownWord(slotDescriptors).Store(uint64(n))
	}
}

// SetListUsableUntil publishes the time of MonotonicNow until which this process uses its list of members as it is.
func (s *SharedState) SetListUsableUntil(until time.Duration) {
	if s.Joined() {
		s.ownWord(slotListUsableUntil).Store(uint64(until))
	}
}

// MonotonicNow is the time of a clock that all processes of this machine share and that never steps; 0 if it can't be read.
func MonotonicNow() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// sessionWord returns the index of the word that holds the last commit of a session. Sessions whose hashes collide share a
// word, which then holds the later of their commits.
func sessionWord(group int64, session string) int {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(group)))
	_, _ = h.WriteString(session)
	return sessionsStart + int(h.Sum64()%sessionWords)
}

// RecordCommit records that a write of a session was committed at p, a time since the Unix epoch. It must be called before the
// write is answered.
func (s *SharedState) RecordCommit(group int64, session string, committedAt time.Duration) {
	memory := s.memory.Load()
	if memory == nil || committedAt <= 0 {
		return
	}
	w := &memory[sessionWord(group, session)]
	for {
		was := w.Load()
		if was >= uint64(committedAt) || w.CompareAndSwap(was, uint64(committedAt)) {
			return
		}
	}
}

// LastCommit returns the time, since the Unix epoch, up to which the reads of a session must see all writes: that of its last
// commit in any process, or later. 0 means that it has none.
func (s *SharedState) LastCommit(group int64, session string) time.Duration {
	memory := s.memory.Load()
	if memory == nil {
		return 0
	}
	return time.Duration(memory[sessionWord(group, session)].Load())
}
