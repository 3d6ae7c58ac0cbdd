package council

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Store keeps a voter's log, its term and vote, and a snapshot in one bbolt file. Each value has a checksum of its own.
// It is its owner's alone.
type Store struct {
	db       *bbolt.DB
	Identity uint64 // drawn when the folder was made: a voter whose folder is lost is another one
}

const (
	storeFile = "council.db"
	storeForm = 1
)

var (
	bucketLog  = []byte("log")
	bucketMeta = []byte("meta")
	bucketSeen = []byte("voters") // identities that were met, by name
	keyForm    = []byte("form")
	keyHard    = []byte("hard")
	keySnap    = []byte("snapshot")
	keySelf    = []byte("identity")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// ErrDamaged is returned for a file that holds what was never written so.
var ErrDamaged = errors.New("council: the file is damaged")

func sum(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), crc32.Checksum(b, castagnoli)), b...)
}

func whole(b []byte) ([]byte, error) {
	if len(b) < 4 || binary.BigEndian.Uint32(b) != crc32.Checksum(b[4:], castagnoli) {
		return nil, ErrDamaged
	}
	return b[4:], nil
}

// OpenStore opens the folder's file, or makes it.
func OpenStore(dir string) (s *Store, saved Saved, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, saved, err
	}
	db, err := bbolt.Open(filepath.Join(dir, storeFile), 0o600, &bbolt.Options{Timeout: 2 * time.Second})
	if err != nil {
		return nil, saved, fmt.Errorf("%s: %w", filepath.Join(dir, storeFile), err)
	}
	defer func() {
		if v := recover(); v != nil { // bbolt finds a damaged page by a panic
			err = fmt.Errorf("%w: %v", ErrDamaged, v)
		}
		if err != nil {
			_ = db.Close()
			s = nil
		}
	}()
	s = &Store{db: db}
	if err := db.Update(s.init); err != nil {
		return nil, saved, err
	}
	err = db.View(func(tx *bbolt.Tx) error { return s.load(tx, &saved) })
	return s, saved, err
}

func (s *Store) init(tx *bbolt.Tx) error {
	for _, b := range [][]byte{bucketLog, bucketMeta, bucketSeen} {
		if _, err := tx.CreateBucketIfNotExists(b); err != nil {
			return err
		}
	}
	m := tx.Bucket(bucketMeta)
	if v := m.Get(keyForm); v != nil {
		if f, err := whole(v); err != nil || len(f) != 1 || f[0] > storeForm {
			return fmt.Errorf("%w: form %v found, want up to %d", ErrDamaged, f, storeForm)
		}
		self, err := whole(m.Get(keySelf))
		if err != nil {
			return err
		}
		s.Identity = binary.BigEndian.Uint64(self)
		return nil
	}
	s.Identity = rand.Uint64() | 1
	if err := m.Put(keySelf, sum(binary.BigEndian.AppendUint64(nil, s.Identity))); err != nil {
		return err
	}
	return m.Put(keyForm, sum([]byte{storeForm}))
}

func (s *Store) load(tx *bbolt.Tx, saved *Saved) error {
	m := tx.Bucket(bucketMeta)
	for _, v := range []struct {
		key  []byte
		into interface{ Unmarshal([]byte) error }
	}{{keyHard, &saved.Hard}, {keySnap, &saved.Snapshot}} {
		raw := m.Get(v.key)
		if raw == nil {
			continue
		}
		b, err := whole(raw)
		if err == nil {
			err = v.into.Unmarshal(b)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", v.key, err)
		}
	}
	next := uint64(0)
	return tx.Bucket(bucketLog).ForEach(func(k, raw []byte) error {
		b, err := whole(raw)
		if err != nil {
			return fmt.Errorf("entry %x: %w", k, err)
		}
		var e raftpb.Entry
		if err := e.Unmarshal(b); err != nil {
			return fmt.Errorf("entry %x: %w", k, err)
		}
		if e.Index <= saved.Snapshot.Metadata.Index {
			return nil
		}
		if next != 0 && e.Index != next || binary.BigEndian.Uint64(k) != e.Index {
			return fmt.Errorf("%w: entry %d found, want %d", ErrDamaged, e.Index, next)
		}
		next = e.Index + 1
		saved.Entries = append(saved.Entries, e)
		return nil
	})
}

// Save puts on disk what a Ready says: all of it or nothing.
func (s *Store) Save(v *Saved) error {
	if raft.IsEmptyHardState(v.Hard) && len(v.Entries) == 0 && raft.IsEmptySnap(v.Snapshot) {
		return nil
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		m, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		put := func(key []byte, v interface{ Marshal() ([]byte, error) }) error {
			b, err := v.Marshal()
			if err != nil {
				return err
			}
			return m.Put(key, sum(b))
		}
		if !raft.IsEmptySnap(v.Snapshot) {
			if err := put(keySnap, &v.Snapshot); err != nil {
				return err
			}
			if err := cut(log, 0, v.Snapshot.Metadata.Index); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(v.Hard) {
			if err := put(keyHard, &v.Hard); err != nil {
				return err
			}
		}
		if len(v.Entries) == 0 {
			return nil
		}
		if err := cut(log, v.Entries[0].Index, 1<<63); err != nil { // what another leader wrote there is void
			return err
		}
		for i := range v.Entries {
			b, err := v.Entries[i].Marshal()
			if err != nil {
				return err
			}
			if err := log.Put(binary.BigEndian.AppendUint64(nil, v.Entries[i].Index), sum(b)); err != nil {
				return err
			}
		}
		return nil
	})
}

// Cut saves a snapshot of this voter's own and drops the entries that it makes needless.
func (s *Store) Cut(snap raftpb.Snapshot) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := snap.Marshal()
		if err != nil {
			return err
		}
		if err := tx.Bucket(bucketMeta).Put(keySnap, sum(b)); err != nil {
			return err
		}
		return cut(tx.Bucket(bucketLog), 0, snap.Metadata.Index)
	})
}

// cut deletes the entries from first to last.
func cut(b *bbolt.Bucket, first, last uint64) error {
	c := b.Cursor()
	for k, _ := c.Seek(binary.BigEndian.AppendUint64(nil, first)); k != nil && binary.BigEndian.Uint64(k) <= last; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Meet notes the identity of another voter when it is first met, and tells whether it is that one. A voter whose folder was
// lost has another identity: it must not vote as the one that it was, which may have promised otherwise.
func (s *Store) Meet(name string, identity uint64) (same bool, err error) {
	err = s.db.Update(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketSeen)
		if raw := b.Get([]byte(name)); raw != nil {
			known, err := whole(raw)
			if err != nil {
				return err
			}
			same = binary.BigEndian.Uint64(known) == identity
			return nil
		}
		same = true
		return b.Put([]byte(name), sum(binary.BigEndian.AppendUint64(nil, identity)))
	})
	return same, err
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }
