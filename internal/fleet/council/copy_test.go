package council

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"reachwind/internal/fleet/agreed"
	"reachwind/internal/fleet/peers"
)

var leaderIncarnation = Incarnation{Identity: 11, Starts: 1, ProcessID: 1}

// startVoter starts voter c3 in a folder, without sockets.
func startVoter(t *testing.T, dir string) *Voter {
	t.Helper()
	store, saved, err := OpenStore(dir)
	if err != nil {
		t.Fatal(err)
	}
	v, err := newVoter(Config{Name: "c3", Voters: map[string]string{"c1": "", "c2": "", "c3": ""}}, slog.New(slog.DiscardHandler), store, saved)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	if _, err := drain(v.node); err != nil { // committed entries are applied again
		t.Fatal(err)
	}
	return v
}

// sendFromC1 hands the voter a raft message of c1 and returns its answers; none once it must stop.
func sendFromC1(t *testing.T, v *Voter, known Incarnation, m raftpb.Message) (answers []raftpb.Message) {
	t.Helper()
	m.From, m.To = 1, 3
	raw, err := m.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	b, err := cbor.Marshal(&envelopeV2{Name: "c1", Incarnation: leaderIncarnation, KnownIncarnation: known, Message: raw})
	if err != nil {
		t.Fatal(err)
	}
	v.handleFrame(peers.Incoming{Frame: append([]byte{frameRaftV2}, b...)})
	for v.fatal == nil {
		r, ok := v.node.Ready()
		if !ok {
			break
		}
		if err := v.store.Save(&r.Save); err != nil {
			t.Fatal(err)
		}
		answers = append(answers, r.Messages...)
		if v.node.Advance(&r); r.Fatal != nil {
			t.Fatal(r.Fatal)
		}
	}
	return answers
}

// emptyEntry is the entry without data that a new leader writes first.
func emptyEntry(index, term uint64) raftpb.Entry { return raftpb.Entry{Index: index, Term: term} }

// TestOldCopy: a voter started from an old copy of its folder stops at the leader's first message, whatever that is and
// before any hello: it neither panics nor votes. A voter started from its own folder gets the same messages and continues,
// and stops where a leader has other entries in place of committed ones.
func TestOldCopy(t *testing.T) {
	beat := raftpb.Message{Type: raftpb.MsgHeartbeat, Term: 3, Commit: 4}
	for _, c := range []struct {
		name   string
		within bool // the copy is taken after the second start, before entry 4 arrives
		own    bool // the voter restarts from its own folder
		known  bool // the leader's message carries the incarnation that it knows
		first  raftpb.Message
		want   error
	}{
		{"heartbeat", false, false, true, beat, ErrOldCopy},
		{"heartbeat of the former program", false, false, false, beat, ErrOldCopy},
		{"heartbeat to a copy of the present incarnation", true, false, true, beat, ErrOldCopy},
		{"vote", false, false, true, raftpb.Message{Type: raftpb.MsgVote, Term: 4, Index: 3, LogTerm: 2}, ErrOldCopy},
		{"entries", false, false, true, raftpb.Message{Type: raftpb.MsgApp, Term: 3, Index: 3, LogTerm: 2, Entries: []raftpb.Entry{emptyEntry(4, 3)}}, ErrOldCopy},
		{"entries that follow a conflicting committed entry", true, true, true, raftpb.Message{Type: raftpb.MsgApp, Term: 4, Index: 3, LogTerm: 4, Entries: []raftpb.Entry{emptyEntry(4, 4)}}, ErrLogConflict},
		{"entries that replace a committed one", true, true, true, raftpb.Message{Type: raftpb.MsgApp, Term: 4, Index: 2, LogTerm: 2, Entries: []raftpb.Entry{emptyEntry(3, 4)}}, ErrLogConflict},
		{"entries of a former leader", true, true, true, raftpb.Message{Type: raftpb.MsgApp, Term: 2, Index: 3, LogTerm: 1, Entries: []raftpb.Entry{emptyEntry(4, 1)}}, nil},
		{"heartbeat to its own folder", false, true, true, beat, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir, copied := filepath.Join(t.TempDir(), "f"), filepath.Join(t.TempDir(), "copy")
			take := func() {
				if err := os.CopyFS(copied, os.DirFS(dir)); err != nil {
					t.Fatal(err)
				}
			}
			v := startVoter(t, dir)
			sendFromC1(t, v, Incarnation{}, raftpb.Message{Type: raftpb.MsgApp, Term: 2, Index: 1, LogTerm: 1, Commit: 3, Entries: []raftpb.Entry{emptyEntry(2, 2), emptyEntry(3, 2)}})
			_ = v.store.Close()
			if !c.within {
				take()
			}
			v = startVoter(t, dir)
			if c.within { // as disk copies are made: between two writes
				take()
			}
			later := v.incarnation
			answers := sendFromC1(t, v, later, raftpb.Message{Type: raftpb.MsgApp, Term: 3, Index: 3, LogTerm: 2, Commit: 3, Entries: []raftpb.Entry{emptyEntry(4, 3)}})
			if len(answers) != 1 || answers[0].Reject || answers[0].Index != 4 {
				t.Fatalf("entry 4 is answered by %v", answers)
			}
			_ = v.store.Close()
			if c.own {
				copied = dir
			}
			v = startVoter(t, copied)
			if !c.known {
				later = Incarnation{}
			}
			answers = sendFromC1(t, v, later, c.first)
			if !errors.Is(v.fatal, c.want) || c.want != nil && (len(answers) > 0 || v.fatal == nil || !strings.Contains(v.fatal.Error(), "empty one")) {
				t.Errorf("it ends with %v, want %v, and answers %v", v.fatal, c.want, answers)
			}
			if c.want == nil && (len(answers) != 1 || v.node.raw.BasicStatus().Commit != max(3, c.first.Commit)) {
				t.Errorf("its own folder: agreed up to %d, answers %v", v.node.raw.BasicStatus().Commit, answers)
			}
		})
	}
}

// TestMessagesCarryKnownIncarnation: each message carries the receiver's known incarnation, so that an old copy can be
// detected by the first message of any kind.
func TestMessagesCarryKnownIncarnation(t *testing.T) {
	v := startVoter(t, filepath.Join(t.TempDir(), "f"))
	sendFromC1(t, v, Incarnation{}, raftpb.Message{Type: raftpb.MsgHeartbeat, Term: 2})
	for _, kind := range []byte{frameRaftV2, frameHello} {
		var e envelopeV2
		if err := cbor.Unmarshal(v.encodeFrame(kind, 1, &envelopeV2{})[1:], &e); err != nil || e.KnownIncarnation != leaderIncarnation || e.Incarnation != v.incarnation {
			t.Errorf("frame %d tells %+v, %v", kind, e, err)
		}
	}
}

// TestEmptiedFolder: a founder whose folder was emptied stops when a leader's heartbeat shows that it had acknowledged
// entries it no longer has. A voter that joins with an empty folder, and one of a new council, get no such heartbeat and
// receive the log.
func TestEmptiedFolder(t *testing.T) {
	v := startVoter(t, filepath.Join(t.TempDir(), "f"))
	if sendFromC1(t, v, Incarnation{Identity: 12, Starts: 4, ProcessID: 5}, raftpb.Message{Type: raftpb.MsgHeartbeat, Term: 3, Commit: 4}); !errors.Is(v.fatal, ErrOldCopy) {
		t.Errorf("an emptied folder: it ends with %v", v.fatal)
	}
	v = startVoter(t, filepath.Join(t.TempDir(), "f"))
	sendFromC1(t, v, Incarnation{}, raftpb.Message{Type: raftpb.MsgHeartbeat, Term: 2})
	if a := sendFromC1(t, v, Incarnation{}, raftpb.Message{Type: raftpb.MsgApp, Term: 2, Index: 1, LogTerm: 1, Entries: []raftpb.Entry{emptyEntry(2, 2)}}); v.fatal != nil || len(a) != 1 || a[0].Reject {
		t.Errorf("a voter of a council that begins ends with %v, answers %v", v.fatal, a)
	}
	joins, err := NewNode(NodeConfig{ID: firstJoinedID + 1, Log: slog.New(slog.DiscardHandler)}, Saved{}, 0)
	if err != nil {
		t.Fatal(err)
	}
	snap := raftpb.Snapshot{Data: agreed.New(agreed.NewestFormat, 0).Snapshot(), Metadata: raftpb.SnapshotMetadata{Index: 900, Term: 7, ConfState: raftpb.ConfState{Voters: []uint64{1, 2, 3}, Learners: []uint64{firstJoinedID + 1}}}}
	for _, m := range []raftpb.Message{{Type: raftpb.MsgHeartbeat}, {Type: raftpb.MsgApp, Index: 950, LogTerm: 7, Commit: 950}, {Type: raftpb.MsgSnap, Snapshot: &snap}, {Type: raftpb.MsgHeartbeat, Commit: 900}} {
		m.From, m.To, m.Term = 1, firstJoinedID+1, 7
		if err := joins.Receive(0, m); err != nil {
			t.Errorf("%v to a voter that joins: %v", m.Type, err)
		}
		drain(joins)
	}
	if len(joins.ConfState().Learners) != 1 || joins.raw.BasicStatus().Commit != 900 {
		t.Errorf("who joins has %+v, agreed up to %d", joins.ConfState(), joins.raw.BasicStatus().Commit)
	}
}

// drain carries out all pending work of a node and returns its messages.
func drain(n *Node) (all []raftpb.Message, fatal error) {
	for {
		r, ok := n.Ready()
		if !ok {
			return all, nil
		}
		all = append(all, r.Messages...)
		if n.Advance(&r); r.Fatal != nil {
			return all, r.Fatal
		}
	}
}

// TestNoMessagePanics: whatever another voter sends, a node drops it, handles it, or stops with a typed error.
func TestNoMessagePanics(t *testing.T) {
	rng := rand.New(rand.NewPCG(31, 7))
	near := func() uint64 { // mostly small values, which are often nearly valid
		switch rng.IntN(40) {
		case 0:
			return 1<<64 - 1 - rng.Uint64N(2)
		case 1:
			return numberLimit - 1
		}
		return rng.Uint64N(8)
	}
	ids := func() (all []uint64) {
		for range rng.IntN(4) {
			all = append(all, rng.Uint64N(5))
		}
		return all
	}
	old, parted, took, led := 0, 0, 0, 0
	for range 150 {
		voters := []uint64{1, 2, 3}
		if rng.IntN(5) == 0 {
			voters = nil // a joining voter
		}
		saved := Saved{Hard: raftpb.HardState{Term: 2, Commit: 4}, Entries: []raftpb.Entry{emptyEntry(2, 2), emptyEntry(3, 2), emptyEntry(4, 2), emptyEntry(5, 2), emptyEntry(6, 2)}}
		if voters == nil || rng.IntN(4) == 0 {
			saved = Saved{}
		}
		n, err := NewNode(NodeConfig{ID: 3, Voters: voters, Log: slog.New(slog.DiscardHandler)}, saved, 0)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = drain(n)
		if rng.IntN(3) == 0 && voters != nil { // make the node leader
			n.Campaign()
			_, _ = drain(n)
			_ = n.Receive(0, raftpb.Message{Type: raftpb.MsgPreVoteResp, From: 1, To: 3, Term: n.Term() + 1})
			_, _ = drain(n)
			_ = n.Receive(0, raftpb.Message{Type: raftpb.MsgVoteResp, From: 1, To: 3, Term: n.Term()})
			_, _ = drain(n)
			if n.raw.BasicStatus().RaftState == raft.StateLeader {
				led++
			}
		}
		now := Time(0)
		for range 40 {
			m := raftpb.Message{Type: raftpb.MessageType(rng.IntN(26) - 2), From: near(), To: 3, Term: near(), LogTerm: near(), Index: near(), Commit: near(), RejectHint: near(), Reject: rng.IntN(3) == 0, Vote: near()}
			if rng.IntN(2) == 0 {
				m.Type = []raftpb.MessageType{raftpb.MsgApp, raftpb.MsgSnap, raftpb.MsgHeartbeat, raftpb.MsgAppResp}[rng.IntN(4)]
			}
			if rng.IntN(2) == 0 { // of the node's own term, so that raft does not drop it at once
				m.From, m.Term = 1+rng.Uint64N(2), n.Term()
			}
			fit := rng.IntN(2) == 0
			for i := range rng.IntN(4) {
				e := raftpb.Entry{Index: near(), Term: near(), Type: raftpb.EntryType(rng.IntN(4))}
				if fit {
					e.Index, e.Term, e.Type = m.Index+1+uint64(i), m.Term, raftpb.EntryNormal
				}
				if rng.IntN(8) == 0 {
					e.Data = []byte{byte(rng.IntN(256)), byte(rng.IntN(256))}
				}
				if rng.IntN(8) == 0 {
					e.Type = raftpb.EntryConfChange
					if e.Data, err = (&raftpb.ConfChange{Type: raftpb.ConfChangeType(rng.IntN(5)), NodeID: rng.Uint64N(5)}).Marshal(); err != nil {
						t.Fatal(err)
					}
				}
				m.Entries = append(m.Entries, e)
			}
			if rng.IntN(3) > 0 {
				m.Snapshot = &raftpb.Snapshot{Data: n.Machine.Snapshot(), Metadata: raftpb.SnapshotMetadata{Index: near(), Term: near(), ConfState: raftpb.ConfState{Voters: ids(), Learners: ids()}}}
				if rng.IntN(3) == 0 {
					m.Snapshot.Metadata.ConfState = raftpb.ConfState{Voters: []uint64{1, 2, 3}}
				}
				if rng.IntN(20) == 0 {
					m.Snapshot.Metadata.ConfState.VotersOutgoing = ids()
				}
			}
			said := fmt.Sprintf("%+v", m)
			func() {
				defer func() {
					if p := recover(); p != nil {
						t.Fatalf("%s: panic: %v", said, p)
					}
				}()
				if err = n.Receive(now, m); err == nil {
					_, err = drain(n)
				}
				if now += tickInterval; err == nil {
					n.Tick(now)
					_, err = drain(n)
				}
			}()
			if err != nil {
				break
			}
			took++
		}
		switch {
		case errors.Is(err, ErrOldCopy):
			old++
		case errors.Is(err, ErrLogConflict):
			parted++
		}
	}
	t.Logf("%d messages handled or dropped, %d nodes led, %d stopped as old copies, %d with a log conflict", took, led, old, parted)
	if old == 0 || parted == 0 || led == 0 || took == 0 {
		t.Error("want at least one message handled, one leader, one old copy and one log conflict")
	}
}

// TestInvalidFolderAndVoterChange: a saved state that contradicts itself, and a change of voters of a kind that raft does not
// know, lead to errors, not panics.
func TestInvalidFolderAndVoterChange(t *testing.T) {
	c := NodeConfig{ID: 3, Voters: []uint64{1, 2, 3}, Log: slog.New(slog.DiscardHandler)}
	for _, s := range []Saved{
		{Hard: raftpb.HardState{Term: 2, Commit: 4}, Entries: []raftpb.Entry{emptyEntry(2, 2)}},
		{Hard: raftpb.HardState{Term: 2}, Entries: []raftpb.Entry{emptyEntry(2, 2)}},
		{Hard: raftpb.HardState{Term: 2, Commit: 1}, Entries: []raftpb.Entry{emptyEntry(3, 2)}},
	} {
		if _, err := NewNode(c, s, 0); !errors.Is(err, ErrDamaged) {
			t.Errorf("%+v: %v", s, err)
		}
	}
	odd, err := (&raftpb.ConfChange{Type: 9, NodeID: 4}).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	n, err := NewNode(c, Saved{Hard: raftpb.HardState{Term: 2, Commit: 2}, Entries: []raftpb.Entry{{Index: 2, Term: 2, Type: raftpb.EntryConfChange, Data: odd}}}, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := drain(n); !errors.Is(err, ErrLogConflict) {
		t.Errorf("an unknown change of voters: %v", err)
	}
}
