package council

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
)

// TestStore: saved state is found again after a restart; entries of another leader are replaced; a flipped byte in a value
// is detected; incarnations of other folders and of old copies are refused.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	open := func() (*Store, Saved) {
		t.Helper()
		s, saved, err := OpenStore(dir)
		if err != nil {
			t.Fatal(err)
		}
		return s, saved
	}
	s, saved := open()
	if len(saved.Entries) > 0 || saved.Hard.Term > 0 {
		t.Errorf("a new folder holds %+v", saved)
	}
	entry := func(i, term uint64, text string) raftpb.Entry {
		return raftpb.Entry{Index: i, Term: term, Data: []byte(text)}
	}
	save := func(v Saved) {
		t.Helper()
		if err := s.Save(&v); err != nil {
			t.Fatal(err)
		}
	}
	save(Saved{Hard: raftpb.HardState{Term: 2, Vote: 1, Commit: 2}, Entries: []raftpb.Entry{entry(2, 2, "a"), entry(3, 2, "b"), entry(4, 2, "needle in the log")}})
	save(Saved{Hard: raftpb.HardState{Term: 3, Vote: 2, Commit: 2}, Entries: []raftpb.Entry{entry(3, 3, "c"), entry(4, 3, "needle in the log")}})
	self := s.Identity
	for _, c := range []struct {
		life Incarnation
		want IncarnationCheck
	}{{Incarnation{7, 0, 0}, IncarnationNew}, {Incarnation{7, 3, 1}, IncarnationNew}, {Incarnation{7, 3, 1}, IncarnationSame}, {Incarnation{8, 9, 1}, IncarnationForeign}, {Incarnation{7, 2, 5}, IncarnationStale}, {Incarnation{7, 3, 5}, IncarnationStale}, {Incarnation{7, 4, 5}, IncarnationNew}, {Incarnation{7, 3, 1}, IncarnationStale}} {
		if got, err := s.CheckIncarnation("c2", c.life, nil); got != c.want || err != nil {
			t.Errorf("%+v: check %d, %v, want %d", c.life, got, err, c.want)
		}
	}
	r := PeerIncarnations{ByName: map[string]Incarnation{"c2": {7, 5, 55}}}
	if m := r.Check("c2", Incarnation{7, 7, 70}, []uint64{30, 40, 41, 42}); m != IncarnationStale { // an old copy, started so often that its count exceeds the known one
		t.Errorf("an old copy with more starts than the known incarnation is checked as %d", m)
	}
	if m := r.Check("c2", Incarnation{7, 7, 70}, []uint64{44, 55, 66}); m != IncarnationNew {
		t.Errorf("a later incarnation is checked as %d", m)
	}
	if err := s.RecordStart(&saved, []string{"c1", "c2", "c3"}, 0, 9); err != nil || saved.Starts != 1 {
		t.Errorf("start %d, %v", saved.Starts, err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s, saved = open()
	if l := s.Roll.ByName["c2"]; saved.Starts != 1 || len(saved.Founders) != 3 || l != (Incarnation{7, 4, 5}) {
		t.Errorf("found start %d, founders %v, c2 %+v", saved.Starts, saved.Founders, l)
	}
	if saved.Hard.Term != 3 || len(saved.Entries) != 3 || string(saved.Entries[1].Data) != "c" || saved.Entries[1].Term != 3 || s.Identity != self {
		t.Errorf("found %+v", saved)
	}
	if err := s.SaveSnapshot(raftpb.Snapshot{Data: []byte("state"), Metadata: raftpb.SnapshotMetadata{Index: 3, Term: 3}}); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	s, saved = open()
	if len(saved.Entries) != 1 || saved.Entries[0].Index != 4 || string(saved.Snapshot.Data) != "state" {
		t.Errorf("after cutting, found %+v", saved)
	}
	_ = s.Close()
	path := filepath.Join(dir, storeFile)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	flipped := 0
	for i := range text { // every copy of the text, as old pages of the file hold some too
		if i+6 < len(text) && string(text[i:i+6]) == "needle" {
			text[i] ^= 1
			flipped++
		}
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := OpenStore(dir); flipped == 0 || !errors.Is(err, ErrDamaged) {
		t.Errorf("%d flipped bytes: %v, want that the file is damaged", flipped, err)
	}
}
