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

// A state file is a head of 24 bytes and a payload: magic, version, length, CRC-32C of the payload and of the head.
const (
	fileMagic   = "rwst"
	fileVersion = 1
	fileHead    = 24
	fileMost    = 1 << 20 // bytes of payload; the list of a thousand members takes 200 KB
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func seal(payload []byte) []byte {
	b := make([]byte, fileHead, fileHead+len(payload))
	copy(b, fileMagic)
	binary.LittleEndian.PutUint32(b[4:], fileVersion)
	binary.LittleEndian.PutUint64(b[8:], uint64(len(payload)))
	binary.LittleEndian.PutUint32(b[16:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(b[20:], crc32.Checksum(b[:20], castagnoli))
	return append(b, payload...)
}

func unseal(b []byte) ([]byte, error) {
	if len(b) < fileHead || string(b[:4]) != fileMagic ||
		binary.LittleEndian.Uint32(b[20:]) != crc32.Checksum(b[:20], castagnoli) {
		return nil, ErrDamaged
	}
	if binary.LittleEndian.Uint32(b[4:]) != fileVersion {
		return nil, ErrVersion
	}
	payload := b[fileHead:]
	if binary.LittleEndian.Uint64(b[8:]) != uint64(len(payload)) ||
		binary.LittleEndian.Uint32(b[16:]) != crc32.Checksum(payload, castagnoli) {
		return nil, ErrDamaged
	}
	return payload, nil
}

// Load reads a state file whole, or tells why it can't be used.
func (b *SharedState) Load(name string) ([]byte, error) { return Load(b.dir, name) }

// Load is Board.Load for a process that has not taken its place yet.
func Load(dir, name string) ([]byte, error) {
	f, err := os.Open(filepath.Join(dir, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, &StateError{name, ErrMissing, "nothing, where no process has run here before"}
	}
	var all []byte
	if err == nil {
		defer func() { _ = f.Close() }()
		all, err = io.ReadAll(io.LimitReader(f, fileHead+fileMost+1))
	}
	if err == nil && len(all) > fileHead+fileMost {
		err = ErrTooLarge
	}
	if err == nil {
		all, err = unseal(all)
	}
	if err != nil {
		return nil, &StateError{name, err, "nothing: it is written anew with the next change"}
	}
	return all, nil
}

// Save puts a state file in place, whole: a reader sees the former or the new one.
func (b *SharedState) Save(name string, payload []byte) error {
	if len(payload) > fileMost {
		return &StateError{name, ErrTooLarge, "take fewer machines out, or lists of fewer members"}
	}
	f, err := os.CreateTemp(b.dir, name+".*")
	if err == nil {
		if _, err = f.Write(seal(payload)); err == nil {
			err = f.Close()
		} else {
			_ = f.Close()
		}
		if err == nil {
			err = os.Rename(f.Name(), filepath.Join(b.dir, name))
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

// Update reads a state file, has edit make the next payload of it and saves that, while no other process does the
// same. A file that can't be used is given to edit as nil. The change is counted on the board, and the count given.
func (b *SharedState) Update(name string, edit func(payload []byte) ([]byte, error)) (count uint64, err error) {
	release, err := b.claim(lockFiles)
	if err != nil {
		return 0, &StateError{name, err, "end the process that was stopped, or resume it"}
	}
	defer release()
	was, err := b.Load(name)
	if err != nil {
		was = nil
	}
	next, err := edit(was)
	if err != nil {
		return 0, err
	}
	if err := b.Save(name, next); err != nil {
		return 0, err
	}
	at := b.at.Load()
	if at == nil {
		return 0, nil
	}
	return at[wordBans].Add(1), nil
}

// ChangeCount is the count of changes that any process made.
func (b *SharedState) ChangeCount() uint64 {
	at := b.at.Load()
	if at == nil {
		return 0
	}
	return at[wordBans].Load()
}

// SetAppliedChanges says that this process has taken over all changes up to count.
func (b *SharedState) SetAppliedChanges(count uint64) {
	if b.Joined() {
		b.own(slotSaw).Store(count)
	}
}

// AwaitApplied returns true once all others that live have said that they saw count, false if they have not after wait.
func (b *SharedState) AwaitApplied(count uint64, wait time.Duration) bool {
	for until := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		all := true
		for _, o := range b.Peers() {
			all = all && o.AppliedChanges >= count
		}
		if all || !time.Now().Before(until) {
			return all
		}
	}
}
