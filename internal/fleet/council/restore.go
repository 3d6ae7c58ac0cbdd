package council

import (
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"

	"reachwind/internal/fleet/agreed"
)

// RestoreReport describes what a restore would do or has done.
type RestoreReport struct {
	Index   uint64   // of the last entry in the folder, which may be later than the last committed one
	Applied int      // number of commands applied after the snapshot
	Voters  []string // names of the other voters of the lost council, as the folder knows them
	Permits int      // number of permits whose targets count as out until they are seen serving
	Halted  []string // names of the releases that are halted
	Confirm string   // the confirmation code to pass to Restore
}

// ErrNotConfirmed is returned unless Restore is called with the code that an earlier call returned.
var ErrNotConfirmed = errors.New("council: a restore makes a second council if the other voters are not gone for good: stop them all, then confirm")

// Restore creates a new council of one voter from one folder of a council that has lost its majority for good. Folder from
// is read, never changed, and its voter must not run; folder into must not exist. lost must name all other voters, and
// confirm must be RestoreReport.Confirm of an earlier call. Fences of the new council start far above the lost one's, and
// voters of the lost council can't talk to the new one.
func Restore(from, into, name string, lost []string, confirm, who string) (r RestoreReport, err error) {
	if _, err := os.Stat(filepath.Join(from, storeFile)); err != nil {
		return r, err
	}
	s, saved, err := OpenStore(from) // fails on the file lock if the voter is running
	if err != nil {
		return r, err
	}
	defer func() { err = errors.Join(err, s.Close()) }()
	m := agreed.New(saved.Form, 0)
	if len(saved.Snapshot.Data) > 0 {
		if err := m.Restore(saved.Snapshot.Data); err != nil {
			return r, err
		}
	}
	r.Index = saved.Snapshot.Metadata.Index
	term := max(saved.Hard.Term, saved.Snapshot.Metadata.Term)
	dropped := map[uint64]bool{}
	for i := range saved.Entries { // uncommitted entries may have been committed elsewhere: a target they permit to leave counts as out
		e := &saved.Entries[i]
		r.Index, term = e.Index, max(term, e.Term)
		if e.Type != raftpb.EntryNormal {
			var cc raftpb.ConfChange
			if err := cc.Unmarshal(e.Data); err != nil {
				return r, err
			}
			var j changeContext
			if len(cc.Context) > 0 {
				if err := cbor.Unmarshal(cc.Context, &j); err != nil {
					return r, fmt.Errorf("entry %d: %w", e.Index, err)
				}
			}
			if dropped[cc.NodeID] = cc.Type == raftpb.ConfChangeRemoveNode; dropped[cc.NodeID] {
				m.DropVoter(e.Index, cc.NodeID, j.Voter.Name)
			} else {
				m.AddVoter(e.Index, cc.NodeID, j.Voter, j.All)
			}
			continue
		}
		if len(e.Data) == 0 {
			continue
		}
		c, err := agreed.Decode(e.Data)
		if err != nil {
			return r, fmt.Errorf("entry %d: %w", e.Index, err)
		}
		m.Apply(e.Index, c)
		r.Applied++
	}
	voters := map[uint64]string{}
	for i, n := range saved.Founders {
		id := uint64(i + 1)
		if c := saved.Snapshot.Metadata.ConfState.Voters; len(c) == 0 || slices.Contains(c, id) {
			voters[id] = n
		}
	}
	for id, v := range m.Voters() {
		voters[id] = v.Name
	}
	for id, n := range voters {
		if n != name && !dropped[id] {
			r.Voters = append(r.Voters, n)
		}
	}
	slices.Sort(r.Voters)
	r.Permits = len(m.Permits())
	for _, o := range m.Releases() {
		if !o.Ended() {
			r.Halted = append(r.Halted, o.Name)
		}
	}
	r.Confirm = fmt.Sprintf("%08x", crc32.Checksum(fmt.Appendf(nil, "%d/%d/%s/%v", r.Index, s.Identity, name, r.Voters), castagnoli))
	given := slices.Sorted(slices.Values(lost))
	switch {
	case !slices.Equal(given, r.Voters):
		return r, fmt.Errorf("%w: the other voters are %s, but --lost named %s", ErrNotConfirmed, strings.Join(r.Voters, ","), strings.Join(given, ","))
	case confirm != r.Confirm:
		return r, fmt.Errorf("%w with %s", ErrNotConfirmed, r.Confirm)
	}
	if _, err := os.Stat(into); !errors.Is(err, os.ErrNotExist) {
		return r, fmt.Errorf("council: %s exists already, want a new folder", into)
	}
	m.MarkRestored(rand.Uint64()|1, who)
	fresh, now, err := OpenStore(into)
	if err != nil {
		return r, err
	}
	defer func() { err = errors.Join(err, fresh.Close()) }()
	id := firstJoinedID + fresh.Identity>>16
	if err := fresh.RecordStart(&now, []string{name}, id, 0); err != nil {
		return r, err
	}
	snap := raftpb.Snapshot{Data: m.Snapshot(), Metadata: raftpb.SnapshotMetadata{Index: r.Index + 1, Term: term + 1, ConfState: raftpb.ConfState{Voters: []uint64{id}}}}
	return r, fresh.Save(&Saved{Hard: raftpb.HardState{Term: term + 1, Commit: r.Index + 1}, Snapshot: snap})
}
