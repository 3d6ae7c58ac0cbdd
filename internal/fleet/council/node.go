// Package council keeps the agreed state on three to seven voters: consensus by
// go.etcd.io/raft, storage of its log and of snapshots, and the way in for those
// who ask. Gateways are no voters and serve without it.
package council

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"reachwind/internal/fleet/agreed"
)

// Time is a point on the owner's monotonic clock, or a span on it.
type Time = time.Duration

const (
	tickInterval        = 100 * time.Millisecond
	electionTicks       = 10
	maxInflightMessages = 64
	maxMessageBytes     = 256 << 10
	maxUncommittedBytes = 4 << 20                // bytes of commands that wait for a majority; more are refused
	entriesPerSnapshot  = 1000                   // commands
	entriesKeptBehind   = 200                    // entries kept before a snapshot, for those who are a little behind
	councilTimeInterval = 500 * time.Millisecond // council time is told so often while permits run
)

// NodeConfig is what a node is told.
type NodeConfig struct {
	ID     uint64
	Voters []uint64
	Log    *slog.Logger
	Form   int          // that the council was founded with; 0 = the newest
	Off    agreed.Guard // for checkers only
}

// Saved is what a node must find again after a start.
type Saved struct {
	Hard     raftpb.HardState
	Entries  []raftpb.Entry
	Snapshot raftpb.Snapshot // empty: none
	Applied  uint64          // not needed: what is committed is applied again from the snapshot on

	// Of the folder, not of a Ready:
	Form     int      // that the council was founded with, by the program that made the folder
	Founders []string // names of the first voters, by number from 1; empty: a voter that joins
	ID       uint64   // of this voter, 0 = its place among the founders
	Starts   uint64   // of this folder, this one counted
	Past     []uint64 // numbers of the processes of the starts before, the last one last
}

// Ready is what must be done, in this order: Save must be on disk before Messages go out.
type Ready struct {
	Save      Saved
	Sync      bool // Save must be synced
	Messages  []raftpb.Message
	Results   []CommandResult
	Fatal     error // this program can't do what was agreed: it must stop
	raftReady raft.Ready
}

// CommandResult is the result of a command that this node took.
type CommandResult struct {
	Ticket uint64
	Result agreed.Result
	Err    error
}

// ErrNotLeader is returned to a command that came to a node which does not lead, or lost the lead meanwhile: it may
// have been done, and the same client may send it again under the same number.
var ErrNotLeader = errors.New("council: not the leader")

// Node is one voter without disk, net and clock: time and messages go in, Ready comes out. It is its owner's alone.
type Node struct {
	cfg     NodeConfig
	raw     *raft.RawNode
	mem     *raft.MemoryStorage
	Machine *agreed.Machine

	now               Time
	lastTick          Time
	nextCouncilTime   Time
	leadBaseMs        int64 // council time when this node began to lead
	leadSince         Time
	leading           bool
	snapshotIndex     uint64
	conf              raftpb.ConfState
	tickets           map[uint64]pendingCommand
	lastTicket        uint64
	leaderLastKnown   Time // when this node last knew of a leader
	snapshotForJoiner bool // a voter joins: it takes a snapshot only if that names it
	Removed           bool // this node was removed from the council
}

// pendingCommand is a command that was proposed and is not known to be done.
type pendingCommand struct {
	client string
	number uint64
	term   uint64
}

// NewNode returns a node that goes on from what was saved; saved is empty for the first start of all.
func NewNode(c NodeConfig, s Saved, now Time) (*Node, error) {
	n := &Node{cfg: c, mem: raft.NewMemoryStorage(), Machine: agreed.New(cmp.Or(c.Form, agreed.Form), c.Off), now: now, lastTick: now, leaderLastKnown: now, tickets: map[uint64]pendingCommand{}}
	n.conf = raftpb.ConfState{Voters: c.Voters}
	if !raft.IsEmptySnap(s.Snapshot) {
		if err := n.mem.ApplySnapshot(s.Snapshot); err != nil {
			return nil, err
		}
		if err := n.Machine.Restore(s.Snapshot.Data); err != nil {
			return nil, err
		}
		n.conf, n.snapshotIndex = s.Snapshot.Metadata.ConfState, s.Snapshot.Metadata.Index
	} else if len(c.Voters) > 0 { // all begin with the same voters, as if a snapshot had said so; who joins begins with none
		first := raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{ConfState: n.conf, Index: 1, Term: 1}, Data: n.Machine.Snapshot()}
		if err := n.mem.ApplySnapshot(first); err != nil {
			return nil, err
		}
		n.snapshotIndex = 1
	}
	last, err := n.mem.LastIndex()
	if err == nil && len(s.Entries) > 0 && s.Entries[0].Index > last+1 {
		err = fmt.Errorf("%w: entry %d follows %d", ErrDamaged, s.Entries[0].Index, last)
	}
	if err == nil {
		err = n.mem.Append(s.Entries)
	}
	if err == nil {
		last, err = n.mem.LastIndex()
	}
	if err != nil {
		return nil, err
	}
	if !raft.IsEmptyHardState(s.Hard) {
		if s.Hard.Commit < n.snapshotIndex || s.Hard.Commit > last {
			return nil, fmt.Errorf("%w: agreed up to %d, it holds %d to %d", ErrDamaged, s.Hard.Commit, n.snapshotIndex, last)
		}
		if err := n.mem.SetHardState(s.Hard); err != nil {
			return nil, err
		}
	} else if len(c.Voters) > 0 {
		if err := n.mem.SetHardState(raftpb.HardState{Term: 1, Commit: n.snapshotIndex}); err != nil {
			return nil, err
		}
	}
	n.raw, err = raft.NewRawNode(&raft.Config{ID: c.ID, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: n.mem, Applied: n.snapshotIndex,
		MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedBytes, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, Logger: raftLogger{c.Log}, DisableProposalForwarding: true})
	return n, err
}

// Tick passes time. It is to be called each 100 ms; after a pause the ticks that were missed are not made up for, so
// that a voter that was stopped asks before it acts.
func (n *Node) Tick(now Time) {
	n.now = now
	if now-n.lastTick < tickInterval {
		return
	}
	n.lastTick = now
	n.raw.Tick()
	if n.raw.BasicStatus().Lead != 0 && !n.leading {
		n.leaderLastKnown = now
	}
	if n.leading && now >= n.nextCouncilTime && n.Machine.Ticks() {
		n.nextCouncilTime = now + councilTimeInterval
		_ = n.propose(&agreed.Command{Op: agreed.Tick}) // a leader that is not heard loses its lead soon
	}
}

// Receive takes a message of another voter, after all that Ready has returned is done. An error means that the node must
// not go on, nor do what Ready may still have: ErrOldCopy or ErrParted.
func (n *Node) Receive(now Time, m raftpb.Message) error {
	n.now = now
	if m.To != n.cfg.ID || !validMessage(&m) {
		return nil
	}
	last, err := n.mem.LastIndex()
	if err != nil {
		return err
	}
	switch {
	case m.Type == raftpb.MsgHeartbeat && m.Commit > last:
		if n.raw.HasReady() { // what is not saved yet may be what it tells of; it comes again
			return nil
		}
		// A leader tells what is agreed and this voter has acknowledged, the smaller of both. To one that is new it tells
		// nothing until that has acknowledged something, so this folder has forgotten what it had.
		return fmt.Errorf("%w, or was emptied: its log ends at %d, it had acknowledged %d", ErrOldCopy, last, m.Commit)
	case m.Type == raftpb.MsgApp && m.Term >= n.Term() && !n.raw.HasReady():
		if err := n.checkLogConflict(&m); err != nil {
			return err
		}
	case m.Type == raftpb.MsgAppResp && !m.Reject && m.Index > last: // of what was never sent: a leader would count it
		return nil
	}
	return recoverRaftPanic(func() { _ = n.raw.Step(m) }) // what does not fit the term is dropped there
}

// checkLogConflict looks at what a leader of this term or a later one tells of places that are agreed here: it must have the same
// there. Raft refuses such a message only to be sent it again at once, without end, or gives up on it.
func (n *Node) checkLogConflict(m *raftpb.Message) error {
	agreed := n.raw.BasicStatus().Commit
	at, term := m.Index, m.LogTerm
	for i := 0; at <= agreed; i++ {
		if has, err := n.mem.Term(at); err == nil && has != term { // an error: it is cut off, or not there
			return fmt.Errorf("%w: entry %d is of term %d here, of term %d there", ErrLogConflict, at, has, term)
		}
		if i == len(m.Entries) {
			break
		}
		at, term = m.Entries[i].Index, m.Entries[i].Term
	}
	return nil
}

// recoverRaftPanic does something of raft's that may panic, as raft does where it finds what it was told not to follow.
func recoverRaftPanic(do func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrLogConflict, p)
		}
	}()
	do()
	return nil
}

// numberLimit is above all terms and places in the log that come about: raft adds to them without a look.
const numberLimit = 1 << 62

// validMessage tells a message that a voter may send, in itself: raft takes others too and gives up on some, at once or later.
func validMessage(m *raftpb.Message) bool {
	if m.From == 0 || m.From == m.To || m.Term == 0 || max(m.Term, m.Index, m.Commit, m.LogTerm, m.RejectHint) >= numberLimit {
		return false // without a term raft takes it for its own
	}
	switch m.Type {
	case raftpb.MsgApp:
		term := m.LogTerm
		for i := range m.Entries {
			e := &m.Entries[i]
			if e.Index != m.Index+1+uint64(i) || e.Term < max(term, 1) {
				return false
			}
			term = e.Term
		}
		return term <= m.Term
	case raftpb.MsgSnap:
		return m.Snapshot != nil && m.Snapshot.Metadata.Index < numberLimit && m.Snapshot.Metadata.Term > 0 && m.Snapshot.Metadata.Term <= m.Term && isSimpleConfState(m.Snapshot.Metadata.ConfState)
	case raftpb.MsgAppResp, raftpb.MsgVote, raftpb.MsgVoteResp, raftpb.MsgPreVote, raftpb.MsgPreVoteResp, raftpb.MsgHeartbeat, raftpb.MsgHeartbeatResp:
		return true
	}
	return false // nothing else is sent between voters
}

// isSimpleConfState tells voters that changed one at a time, none of them twice there.
func isSimpleConfState(c raftpb.ConfState) bool {
	all := slices.Sorted(slices.Values(slices.Concat(c.Voters, c.Learners)))
	return len(c.Voters) > 0 && all[0] != 0 && len(slices.Compact(slices.Clone(all))) == len(all) && len(c.VotersOutgoing) == 0 && len(c.LearnersNext) == 0 && !c.AutoLeave
}

// councilTime is the leader's: it goes on from the agreed one as its own clock runs.
func (n *Node) councilTime() int64 { return n.leadBaseMs + (n.now - n.leadSince).Milliseconds() }

func (n *Node) propose(c *agreed.Command) error {
	c.Form, c.At = n.Machine.Form(), n.councilTime()
	if c.Op == agreed.Raise {
		c.Form = c.To
	}
	return n.raw.Propose(c.Encode())
}

// ErrFormTooOld is returned for a command that voters of the form in use would not know.
var ErrFormTooOld = fmt.Errorf("council: the council works in form 1 until all its voters speak form %d: upgrade them, then `reachwind fleet raise`", agreed.Releases)

// Propose takes a command and returns a ticket by which its result will come.
func (n *Node) Propose(now Time, c *agreed.Command) (uint64, error) {
	n.now = now
	if !n.leading {
		return 0, ErrNotLeader
	}
	if c.Op > agreed.Revoke && c.Op != agreed.Raise && n.Machine.Form() < agreed.Releases {
		return 0, ErrFormTooOld
	}
	if err := n.propose(c); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	n.lastTicket++
	n.tickets[n.lastTicket] = pendingCommand{c.Client, c.Number, n.raw.BasicStatus().Term}
	return n.lastTicket, nil
}

// Leader is the leader as this node knows it, 0 = none, and whether it is this node, able to take commands.
func (n *Node) Leader() (id uint64, leading bool) { return n.raw.BasicStatus().Lead, n.leading }

// Term is the current term.
func (n *Node) Term() uint64 { return n.raw.BasicStatus().Term }

// Campaign is for checkers.
func (n *Node) Campaign() { _ = n.raw.Campaign() }

// Ready returns what must be done, and false if nothing. Done must follow.
func (n *Node) Ready() (r Ready, ok bool) {
	if !n.raw.HasReady() {
		return r, false
	}
	rd := n.raw.Ready()
	return Ready{Save: Saved{Hard: rd.HardState, Entries: rd.Entries, Snapshot: rd.Snapshot}, Sync: rd.MustSync || !raft.IsEmptySnap(rd.Snapshot),
		Messages: rd.Messages, raftReady: rd}, true
}

// Advance goes on after what Ready returned is saved, and fills in results. snapshot is not empty where the log can be
// cut off there: it must be saved before the entries go.
func (n *Node) Advance(r *Ready) (snapshot raftpb.Snapshot) {
	rd := &r.raftReady
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := n.mem.ApplySnapshot(rd.Snapshot); err == nil {
			if err := n.Machine.Restore(rd.Snapshot.Data); err != nil {
				r.Fatal = err
				return snapshot
			}
			n.conf, n.snapshotIndex = rd.Snapshot.Metadata.ConfState, rd.Snapshot.Metadata.Index
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		_ = n.mem.SetHardState(rd.HardState)
	}
	if err := n.mem.Append(rd.Entries); err != nil {
		r.Fatal = err
		return snapshot
	}
	for i := range rd.CommittedEntries {
		if err := n.apply(&rd.CommittedEntries[i], r); err != nil {
			r.Fatal = err
			return snapshot
		}
	}
	n.raw.Advance(*rd)
	n.updateLeadership(r)
	if at := n.Machine.Index(); at >= n.snapshotIndex+entriesPerSnapshot || n.snapshotForJoiner && at > n.snapshotIndex {
		snap, err := n.mem.CreateSnapshot(at, &n.conf, n.Machine.Snapshot())
		if err == nil {
			n.snapshotIndex, n.snapshotForJoiner = at, false
			if first, err := n.mem.FirstIndex(); err == nil && at > first+entriesKeptBehind {
				_ = n.mem.Compact(at - entriesKeptBehind)
			}
			snapshot = snap
		}
	}
	return snapshot
}

func (n *Node) apply(e *raftpb.Entry, r *Ready) error {
	if e.Type == raftpb.EntryConfChangeV2 || e.Type == raftpb.EntryConfChange {
		return n.applyVoterChange(e)
	}
	if len(e.Data) == 0 {
		return nil // a leader's first
	}
	c, err := agreed.Decode(e.Data)
	if err != nil {
		return fmt.Errorf("entry %d: %w", e.Index, err)
	}
	res := n.Machine.Apply(e.Index, c)
	if c.Client == "" {
		return nil
	}
	for t, w := range n.tickets {
		if w.client == c.Client && w.number == c.Number {
			r.Results = append(r.Results, CommandResult{Ticket: t, Result: res})
			delete(n.tickets, t)
		}
	}
	return nil
}

// ErrVoterChange is returned for a change of voters that can't be made now.
var ErrVoterChange = errors.New("council: voters can't change so now")

// MembershipChange is a change of voters: one joins as a learner, a learner becomes a voter, or one leaves.
type MembershipChange struct {
	ID    uint64
	Voter agreed.Voter
	Learn bool
	Leave bool
	All   map[uint64]agreed.Voter // those that are there, for who joins and knows no names yet
}

// changeContext is what a change carries in the log. Fields are added, never changed.
type changeContext struct {
	Voter agreed.Voter            `cbor:"1,keyasint"`
	All   map[uint64]agreed.Voter `cbor:"2,keyasint,omitempty"`
}

// ChangeVoters proposes a change. One is under way at a time, which raft sees to.
func (n *Node) ChangeVoters(now Time, c MembershipChange) error {
	n.now = now
	switch {
	case !n.leading:
		return ErrNotLeader
	case n.Machine.Form() < agreed.Releases:
		return fmt.Errorf("%w: the council works in form %d", ErrVoterChange, n.Machine.Form())
	case c.Leave && len(n.conf.Voters) == 1 && n.conf.Voters[0] == c.ID:
		return fmt.Errorf("%w: it is the last one", ErrVoterChange)
	case !c.Leave && !c.Learn && !n.caughtUp(c.ID):
		return fmt.Errorf("%w: %s has not caught up yet", ErrVoterChange, c.Voter.Name)
	case n.raw.Status().Config.Learners != nil && c.Learn && len(n.raw.Status().Config.Learners) > 0:
		return fmt.Errorf("%w: another one joins", ErrVoterChange)
	}
	kind := raftpb.ConfChangeAddNode
	if c.Learn {
		kind = raftpb.ConfChangeAddLearnerNode
	}
	if c.Leave {
		kind = raftpb.ConfChangeRemoveNode
	}
	context, err := cbor.Marshal(&changeContext{c.Voter, c.All})
	if err != nil {
		return err
	}
	// A change while another is under way is taken and does nothing; who asked looks at the voters again.
	return n.raw.ProposeConfChange(raftpb.ConfChange{Type: kind, NodeID: c.ID, Context: context})
}

// caughtUp tells that a learner has nearly all of the log.
func (n *Node) caughtUp(id uint64) bool {
	last, err := n.mem.LastIndex()
	pr, ok := n.raw.Status().Progress[id]
	return err == nil && ok && pr.Match > 0 && pr.Match+entriesKeptBehind/2 >= last && pr.RecentActive
}

// applyVoterChange applies a change of voters.
func (n *Node) applyVoterChange(e *raftpb.Entry) error {
	var cc raftpb.ConfChange
	if err := cc.Unmarshal(e.Data); err != nil {
		return fmt.Errorf("entry %d: %w", e.Index, err)
	}
	if err := recoverRaftPanic(func() { n.conf = *n.raw.ApplyConfChange(cc) }); err != nil {
		return fmt.Errorf("entry %d: %w", e.Index, err)
	}
	if cc.NodeID == 0 || len(cc.Context) == 0 { // refused by raft, as another was under way
		return nil
	}
	var j changeContext
	if err := cbor.Unmarshal(cc.Context, &j); err != nil {
		return fmt.Errorf("entry %d: %w", e.Index, err)
	}
	v := j.Voter
	if cc.Type == raftpb.ConfChangeRemoveNode {
		n.Machine.DropVoter(e.Index, cc.NodeID, v.Name)
		n.Removed = n.Removed || cc.NodeID == n.cfg.ID
	} else {
		n.Machine.AddVoter(e.Index, cc.NodeID, v, j.All)
		n.snapshotForJoiner = true
	}
	return nil
}

// ConfState is who votes and who learns.
func (n *Node) ConfState() raftpb.ConfState { return n.conf }

// maxLeaderlessTime is how long a council may have been without a leader before its releases are halted.
const maxLeaderlessTime = 8 * time.Second

// updateLeadership follows whether this node leads. It does once it has applied something of its own term, as only then it knows
// all that was agreed before.
func (n *Node) updateLeadership(r *Ready) {
	s := n.raw.BasicStatus()
	leads := s.RaftState == raft.StateLeader
	if leads {
		term, err := n.mem.Term(s.Applied)
		leads = err == nil && term == s.Term
	}
	if leads && !n.leading {
		n.leadBaseMs, n.leadSince, n.nextCouncilTime = n.Machine.Time(), n.now, n.now
		if gap := n.now - n.leaderLastKnown; gap > maxLeaderlessTime && n.Machine.Moving() {
			_ = n.propose(&agreed.Command{Op: agreed.Steer, Name: "*", Steer: "halt", Who: "council", Reason: fmt.Sprintf("nobody led for %v", gap.Round(time.Second))})
		}
	}
	n.leading = leads
	for t, w := range n.tickets {
		if !leads || w.term != s.Term {
			r.Results = append(r.Results, CommandResult{Ticket: t, Err: ErrNotLeader})
			delete(n.tickets, t)
		}
	}
}

// raftLogger passes raft's own lines on at debug, as what matters is told in words of ours.
type raftLogger struct{ log *slog.Logger }

func (q raftLogger) debug(v ...any)              { q.log.Debug("raft", "line", fmt.Sprint(v...)) }
func (q raftLogger) debugf(f string, v ...any)   { q.log.Debug("raft", "line", fmt.Sprintf(f, v...)) }
func (q raftLogger) Debug(v ...any)              {}
func (q raftLogger) Debugf(string, ...any)       {}
func (q raftLogger) Info(v ...any)               { q.debug(v...) }
func (q raftLogger) Infof(f string, v ...any)    { q.debugf(f, v...) }
func (q raftLogger) Warning(v ...any)            { q.debug(v...) }
func (q raftLogger) Warningf(f string, v ...any) { q.debugf(f, v...) }
func (q raftLogger) Error(v ...any)              { q.debug(v...) }
func (q raftLogger) Errorf(f string, v ...any)   { q.debugf(f, v...) }
func (q raftLogger) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (q raftLogger) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (q raftLogger) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (q raftLogger) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
