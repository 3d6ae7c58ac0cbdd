package council

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"reachwind/internal/fleet/agreed"
)

// Store keeps a voter's log, its term and vote, and a snapshot in one bbolt file. Each value carries a CRC-32C checksum.
// It is not safe for concurrent use.
type Store struct {
	db       *bbolt.DB
	Identity uint64 // random ID drawn when the folder was created: a voter whose folder is lost counts as another voter
	Roll     PeerIncarnations
}

const (
	storeFile   = "council.db"
	storeFormat = 1
)

var (
	bucketLog          = []byte("log")
	bucketMeta         = []byte("meta")
	bucketIdentities   = []byte("voters") // folder identities of other voters, by name; the former program reads them too
	bucketIncarnations = []byte("lives")  // latest incarnation of each other voter, by name
	keyFormat          = []byte("form")
	keyHardState       = []byte("hard")
	keySnapshot        = []byte("snapshot")
	keyIdentity        = []byte("identity")
	keyFoundingForm    = []byte("born")     // format version that the council was founded with; absent: 1
	keyFounders        = []byte("founders") // names of the first voters, and the ID of this one
	keyStarts          = []byte("starts")
	keyRuns            = []byte("runs") // process IDs of the last starts, the present one last
	castagnoli         = crc32.MakeTable(crc32.Castagnoli)
)

// ErrDamaged is returned for a file with content that this program never writes, such as a wrong checksum or a gap in the
// log.
var ErrDamaged = errors.New("council: the file is damaged")

func withChecksum(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), crc32.Checksum(b, castagnoli)), b...)
}

func verifyChecksum(b []byte) ([]byte, error) {
	if len(b) < 4 || binary.BigEndian.Uint32(b) != crc32.Checksum(b[4:], castagnoli) {
		return nil, ErrDamaged
	}
	return b[4:], nil
}

// OpenStore opens the file in folder dir, creating both if needed, and returns the saved state. It returns ErrDamaged for
// a damaged file, and fails after 2 s if another process holds the file's lock.
func OpenStore(dir string) (s *Store, saved Saved, err error) { return openStore(dir, nil) }

// openStore is OpenStore with options of bbolt, for tests of failing disks; nil means the default.
func openStore(dir string, o *bbolt.Options) (s *Store, saved Saved, err error) {
	if o == nil {
		o = &bbolt.Options{Timeout: 2 * time.Second}
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, saved, err
	}
	db, err := bbolt.Open(filepath.Join(dir, storeFile), 0o600, o)
	if err != nil {
		return nil, saved, fmt.Errorf("%s: %w", filepath.Join(dir, storeFile), err)
	}
	defer func() {
		if v := recover(); v != nil { // bbolt panics on a damaged page
			err = fmt.Errorf("%w: %v", ErrDamaged, v)
		}
		if err != nil {
			_ = db.Close()
			s = nil
		}
	}()
	s = &Store{db: db, Roll: PeerIncarnations{ByName: map[string]Incarnation{}}}
	if err := db.Update(s.init); err != nil {
		return nil, saved, err
	}
	err = db.View(func(tx *bbolt.Tx) error { return s.load(tx, &saved) })
	return s, saved, err
}

func (s *Store) init(tx *bbolt.Tx) error {
	for _, b := range [][]byte{bucketLog, bucketMeta, bucketIdentities, bucketIncarnations} {
		if _, err := tx.CreateBucketIfNotExists(b); err != nil {
			return err
		}
	}
	m := tx.Bucket(bucketMeta)
	if v := m.Get(keyFormat); v != nil {
		if f, err := verifyChecksum(v); err != nil || len(f) != 1 || f[0] > storeFormat {
			return fmt.Errorf("%w: form %v found, want up to %d", ErrDamaged, f, storeFormat)
		}
		self, err := verifyChecksum(m.Get(keyIdentity))
		if err != nil {
			return err
		}
		s.Identity = binary.BigEndian.Uint64(self)
		return nil
	}
	s.Identity = rand.Uint64() | 1
	if err := m.Put(keyIdentity, withChecksum(binary.BigEndian.AppendUint64(nil, s.Identity))); err != nil {
		return err
	}
	if err := m.Put(keyFoundingForm, withChecksum([]byte{agreed.NewestFormat})); err != nil {
		return err
	}
	return m.Put(keyFormat, withChecksum([]byte{storeFormat}))
}

func (s *Store) load(tx *bbolt.Tx, saved *Saved) error {
	m := tx.Bucket(bucketMeta)
	for _, v := range []struct {
		key  []byte
		into interface{ Unmarshal([]byte) error }
	}{{keyHardState, &saved.Hard}, {keySnapshot, &saved.Snapshot}} {
		raw := m.Get(v.key)
		if raw == nil {
			continue
		}
		b, err := verifyChecksum(raw)
		if err == nil {
			err = v.into.Unmarshal(b)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", v.key, err)
		}
	}
	if saved.Form = 1; m.Get(keyFoundingForm) != nil {
		b, err := verifyChecksum(m.Get(keyFoundingForm))
		if err != nil || len(b) != 1 {
			return fmt.Errorf("%s: %w", keyFoundingForm, ErrDamaged)
		}
		saved.Form = int(b[0])
	}
	if raw := m.Get(keyFounders); raw != nil {
		var f founders
		b, err := verifyChecksum(raw)
		if err == nil {
			err = cbor.Unmarshal(b, &f)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", keyFounders, err)
		}
		saved.Founders, saved.ID = f.Names, f.ID
	}
	if raw := m.Get(keyStarts); raw != nil {
		b, err := verifyChecksum(raw)
		if err != nil || len(b) != 8 {
			return fmt.Errorf("%s: %w", keyStarts, ErrDamaged)
		}
		saved.Starts = binary.BigEndian.Uint64(b)
	}
	if raw := m.Get(keyRuns); raw != nil {
		b, err := verifyChecksum(raw)
		if err == nil {
			err = cbor.Unmarshal(b, &saved.Past)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", keyRuns, err)
		}
	}
	err := tx.Bucket(bucketIdentities).ForEach(func(k, raw []byte) error {
		b, err := verifyChecksum(raw)
		if err != nil {
			return fmt.Errorf("voter %s: %w", k, err)
		}
		if len(b) != 8 {
			return fmt.Errorf("voter %s: %w", k, ErrDamaged)
		}
		l := Incarnation{Identity: binary.BigEndian.Uint64(b)}
		if raw := tx.Bucket(bucketIncarnations).Get(k); raw != nil {
			var kept Incarnation
			b, err := verifyChecksum(raw)
			if err == nil {
				err = cbor.Unmarshal(b, &kept)
			}
			if err != nil {
				return fmt.Errorf("voter %s: %w", k, err)
			}
			if kept.Identity == l.Identity {
				l = kept
			}
		}
		s.Roll.ByName[string(k)] = l
		return nil
	})
	if err != nil {
		return err
	}
	next := uint64(0)
	return tx.Bucket(bucketLog).ForEach(func(k, raw []byte) error {
		b, err := verifyChecksum(raw)
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

// Save writes the Save part of a Ready to disk, all of it or nothing.
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
			return m.Put(key, withChecksum(b))
		}
		if !raft.IsEmptySnap(v.Snapshot) {
			if err := put(keySnapshot, &v.Snapshot); err != nil {
				return err
			}
			if err := deleteEntries(log, 0, v.Snapshot.Metadata.Index); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(v.Hard) {
			if err := put(keyHardState, &v.Hard); err != nil {
				return err
			}
		}
		if len(v.Entries) == 0 {
			return nil
		}
		if err := deleteEntries(log, v.Entries[0].Index, 1<<63); err != nil { // entries of an earlier leader from there on are replaced
			return err
		}
		for i := range v.Entries {
			b, err := v.Entries[i].Marshal()
			if err != nil {
				return err
			}
			if err := log.Put(binary.BigEndian.AppendUint64(nil, v.Entries[i].Index), withChecksum(b)); err != nil {
				return err
			}
		}
		return nil
	})
}

// SaveSnapshot saves a snapshot that this voter took and deletes the log entries that it covers.
func (s *Store) SaveSnapshot(snap raftpb.Snapshot) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		b, err := snap.Marshal()
		if err != nil {
			return err
		}
		if err := tx.Bucket(bucketMeta).Put(keySnapshot, withChecksum(b)); err != nil {
			return err
		}
		return deleteEntries(tx.Bucket(bucketLog), 0, snap.Metadata.Index)
	})
}

// deleteEntries deletes the log entries from index first to last, both included.
func deleteEntries(b *bbolt.Bucket, first, last uint64) error {
	c := b.Cursor()
	for k, _ := c.Seek(binary.BigEndian.AppendUint64(nil, first)); k != nil && binary.BigEndian.Uint64(k) <= last; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// founders are the council's first voters, and this voter's ID where it is not its position among them.
type founders struct {
	Names []string `cbor:"1,keyasint"`
	ID    uint64   `cbor:"2,keyasint,omitempty"`
}

// RecordStart counts a start with process ID run, updates saved accordingly and, on the first start, stores the names of
// the first voters: their IDs must not change when a later configuration names others.
func (s *Store) RecordStart(saved *Saved, names []string, id, run uint64) error {
	saved.Starts++
	saved.Past = saved.Past[max(0, len(saved.Past)-maxPastRuns):]
	runs, err := cbor.Marshal(append(slices.Clone(saved.Past), run))
	if err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		m := tx.Bucket(bucketMeta)
		if m.Get(keyFounders) == nil {
			saved.Founders, saved.ID = names, id
			b, err := cbor.Marshal(&founders{names, id})
			if err != nil {
				return err
			}
			if err := m.Put(keyFounders, withChecksum(b)); err != nil {
				return err
			}
		}
		if err := m.Put(keyRuns, withChecksum(runs)); err != nil {
			return err
		}
		return m.Put(keyStarts, withChecksum(binary.BigEndian.AppendUint64(nil, saved.Starts)))
	})
}

// CheckIncarnation is PeerIncarnations.Check, which also saves a new incarnation to disk. On an error nothing is recorded.
func (s *Store) CheckIncarnation(name string, l Incarnation, past []uint64) (IncarnationCheck, error) {
	was, had := s.Roll.ByName[name]
	m := s.Roll.Check(name, l, past)
	if m != IncarnationNew {
		return m, nil
	}
	b, err := cbor.Marshal(&l)
	if err == nil {
		err = s.db.Update(func(tx *bbolt.Tx) error {
			if err := tx.Bucket(bucketIdentities).Put([]byte(name), withChecksum(binary.BigEndian.AppendUint64(nil, l.Identity))); err != nil {
				return err
			}
			return tx.Bucket(bucketIncarnations).Put([]byte(name), withChecksum(b))
		})
	}
	if err != nil {
		delete(s.Roll.ByName, name)
		if had {
			s.Roll.ByName[name] = was
		}
	}
	return m, err
}

// Forget deletes what is known of the voter of that name, in memory and on disk.
func (s *Store) Forget(name string) error {
	s.Roll.Forget(name)
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := tx.Bucket(bucketIncarnations).Delete([]byte(name)); err != nil {
			return err
		}
		return tx.Bucket(bucketIdentities).Delete([]byte(name))
	})
}

// Close closes the file and releases its lock.
func (s *Store) Close() error { return s.db.Close() }
