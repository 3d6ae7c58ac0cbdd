package handover

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"time"
)

// A state file is a header of 24 bytes and a payload. The header holds the magic, the version, the length of the payload,
// the CRC-32C of the payload and the CRC-32C of the header.
const (
	fileMagic      = "rwst"
	fileVersion    = 1
	fileHeaderSize = 24
	maxFilePayload = 1 << 20 // size limit of the payload in bytes; a list of a thousand members takes 200 KB
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeStateFile returns a state file with the given payload.
func encodeStateFile(payload []byte) []byte {
	b := make([]byte, fileHeaderSize, fileHeaderSize+len(payload))
	copy(b, fileMagic)
	binary.LittleEndian.PutUint32(b[4:], fileVersion)
	binary.LittleEndian.PutUint64(b[8:], uint64(len(payload)))
	binary.LittleEndian.PutUint32(b[16:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(b[20:], crc32.Checksum(b[:20], castagnoli))
	return append(b, payload...)
}

// decodeStateFile returns the payload of a state file, or ErrDamaged or ErrVersion.
func decodeStateFile(b []byte) ([]byte, error) {
	if len(b) < fileHeaderSize || string(b[:4]) != fileMagic ||
		binary.LittleEndian.Uint32(b[20:]) != crc32.Checksum(b[:20], castagnoli) {
		return nil, ErrDamaged
	}
	if binary.LittleEndian.Uint32(b[4:]) != fileVersion {
		return nil, ErrVersion
	}
	payload := b[fileHeaderSize:]
	if binary.LittleEndian.Uint64(b[8:]) != uint64(len(payload)) ||
		binary.LittleEndian.Uint32(b[16:]) != crc32.Checksum(payload, castagnoli) {
		return nil, ErrDamaged
	}
	return payload, nil
}

// Load returns the payload of a state file, or a *StateError that says why it cannot be used.
func (s *SharedState) Load(name string) ([]byte, error) { return Load(s.dir, name) }

// Load is the method Load for a process that has not claimed its slot yet.
func Load(dir, name string) ([]byte, error) {
	f, err := os.Open(filepath.Join(dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, &StateError{name, ErrMissing, "no action needed if no process has run here before"}
	}
	var all []byte
	if err == nil {
		defer func() { _ = f.Close() }()
		all, err = io.ReadAll(io.LimitReader(f, fileHeaderSize+maxFilePayload+1))
	}
	if err == nil && len(all) > fileHeaderSize+maxFilePayload {
		err = ErrTooLarge
	}
	if err == nil {
		all, err = decodeStateFile(all)
	}
	if err != nil {
		return nil, &StateError{name, err, "no action needed: it is rewritten with the next change"}
	}
	return all, nil
}

// Save replaces a state file atomically: a reader sees either the former or the new one. An error is a *StateError.
func (s *SharedState) Save(name string, payload []byte) error {
	if len(payload) > maxFilePayload {
		return &StateError{name, ErrTooLarge, "take fewer machines out, or lists of fewer members"}
	}
	f, err := os.CreateTemp(s.dir, name+".*")
	if err == nil {
		if _, err = f.Write(encodeStateFile(payload)); err == nil {
			err = f.Close()
		} else {
			_ = f.Close()
		}
		if err == nil {
			err = os.Rename(f.Name(), filepath.Join(s.dir, name))
		}
		if err != nil {
			_ = os.Remove(f.Name())
		}
	}
	if err != nil {
		return &StateError{name, err, "give the folder room, and leave to write there"}
	}
	return nil
}

// Update replaces the payload of a state file by what edit returns for the current one, which is nil if the file cannot be
// used. A lock keeps other processes from changing a state file meanwhile. It returns the number of changes so far, which
// it counts in the shared memory; 0 without shared memory.
func (s *SharedState) Update(name string, edit func(payload []byte) ([]byte, error)) (count uint64, err error) {
	release, err := s.acquireLock(lockFiles)
	if err != nil {
		return 0, &StateError{name, err, "end the process that was stopped, or resume it"}
	}
	defer release()
	current, err := s.Load(name)
	if err != nil {
		current = nil
	}
	next, err := edit(current)
	if err != nil {
		return 0, err
	}
	if err := s.Save(name, next); err != nil {
		return 0, err
	}
	memory := s.memory.Load()
	if memory == nil {
		return 0, nil
	}
	return memory[wordChanges].Add(1), nil
}

// ChangeCount returns the number of changes that all processes have made; 0 without shared memory.
func (s *SharedState) ChangeCount() uint64 {
	memory := s.memory.Load()
	if memory == nil {
		return 0
	}
	return memory[wordChanges].Load()
}

// SetAppliedChanges publishes that this process has applied the first count changes.
func (s *SharedState) SetAppliedChanges(count uint64) {
	if s.Joined() {
		s.ownWord(slotAppliedChanges).Store(count)
	}
}

// AwaitApplied returns true once all other live processes have published that they applied count changes, or false after wait.
func (s *SharedState) AwaitApplied(count uint64, wait time.Duration) bool {
	for until := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		allApplied := true
		for _, o := range s.Peers() {
			allApplied = allApplied && o.AppliedChanges >= count
		}
		if allApplied || !time.Now().Before(until) {
			return allApplied
		}
	}
}
