// Package council replicates the agreed state of the fleet on three to seven voters:
// consensus by go.etcd.io/raft, storage of the raft log and its snapshots, and the
// interfaces for operators and gateways. Gateways are not voters and keep serving
// requests without a council.
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

// Time is a point on the owner's monotonic clock, or a duration on it.
type Time = time.Duration

const (
	tickInterval        = 100 * time.Millisecond
	electionTicks       = 10
	maxInflightMessages = 64
	maxMessageBytes     = 256 << 10
	maxUncommittedBytes = 4 << 20                // of proposed commands that are not committed yet; further ones are refused
	entriesPerSnapshot  = 1000                   // applied entries between two snapshots
	entriesKeptBehind   = 200                    // log entries kept before a snapshot, so that voters slightly behind need no snapshot
	councilTimeInterval = 500 * time.Millisecond // how often the leader commits the council time while permits run
)

// NodeConfig configures a Node.
type NodeConfig struct {
	ID     uint64
	Voters []uint64
	Log    *slog.Logger
	Form   int          // format version that the council was founded with; 0 = the newest
	Off    agreed.Guard // guards to disable, for model checkers only
}

// Saved is the state that a node must find again after a restart.
type Saved struct {
	Hard     raftpb.HardState
	Entries  []raftpb.Entry
	Snapshot raftpb.Snapshot // empty: none
	Applied  uint64          // not needed: committed entries are applied again, starting from the snapshot

	// The fields below belong to the folder and are not set in a Ready.
	Form     int      // format version that the council was founded with, set by the program that created the folder
	Founders []string // names of the first voters, IDs counted from 1; empty: this voter joins an existing council
	ID       uint64   // of this voter; 0 = its position among the founders
	Starts   uint64   // starts of this folder, including the present one
	Past     []uint64 // process IDs of earlier starts, oldest first
}

// Ready is the work that a Node needs done. Save must be on disk before Messages are sent.
type Ready struct {
	Save      Saved
	Sync      bool // Save must be synced to disk
	Messages  []raftpb.Message
	Results   []CommandResult
	Fatal     error // this program can't apply a committed entry: the process must stop
	raftReady raft.Ready
}

// CommandResult is the result of a command that was proposed on this node.
type CommandResult struct {
	Ticket uint64
	Result agreed.Result
	Err    error
}

// ErrNotLeader is returned for a command proposed on a node that is not the leader, or that lost leadership before the
// command was committed. The command may still be applied; the same client may resend it under the same number.
var ErrNotLeader = errors.New("council: not the leader")

// Node is the logic of one voter without disk, network and clock: callers pass in time and messages and carry out Ready.
// It is not safe for concurrent use.
type Node struct {
	cfg     NodeConfig
	raw     *raft.RawNode
	mem     *raft.MemoryStorage
	Machine *agreed.Machine

	now               Time
	lastTick          Time
	nextCouncilTime   Time
	leadBaseMs        int64 // council time, in ms, when this node became leader
	leadSince         Time
	leading           bool
	snapshotIndex     uint64
	conf              raftpb.ConfState
	tickets           map[uint64]pendingCommand
	lastTicket        uint64
	leaderLastKnown   Time // when this node last knew of another leader
	snapshotForJoiner bool // a voter was added: it accepts only a snapshot whose configuration includes it, so a new one is due
	Removed           bool // this node is no longer a member of the council
}

// pendingCommand is a command that was proposed on this node and has no result yet.
type pendingCommand struct {
	client string
	number uint64
	term   uint64
}

// NewNode returns a node that continues from the saved state, which is empty on the very first start. It returns
// ErrDamaged where log, snapshot and commit index of the saved state contradict each other.
func NewNode(c NodeConfig, s Saved, now Time) (*Node, error) {
	n := &Node{cfg: c, mem: raft.NewMemoryStorage(), Machine: agreed.New(cmp.Or(c.Form, agreed.NewestFormat), c.Off), now: now, lastTick: now, leaderLastKnown: now, tickets: map[uint64]pendingCommand{}}
	n.conf = raftpb.ConfState{Voters: c.Voters}
	if !raft.IsEmptySnap(s.Snapshot) {
		if err := n.mem.ApplySnapshot(s.Snapshot); err != nil {
			return nil, err
		}
		if err := n.Machine.Restore(s.Snapshot.Data); err != nil {
			return nil, err
		}
		n.conf, n.snapshotIndex = s.Snapshot.Metadata.ConfState, s.Snapshot.Metadata.Index
	} else if len(c.Voters) > 0 { // all founders start from the same snapshot, which names the voters; a joining voter starts with none
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

// Tick advances the node's time. Call it every 100 ms. Ticks missed during a pause of the process are not made up for,
// so that a voter that was paused contacts the others before it starts an election.
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
	if n.leading && now >= n.nextCouncilTime && n.Machine.NeedsTicks() {
		n.nextCouncilTime = now + councilTimeInterval
		_ = n.propose(&agreed.Command{Op: agreed.Tick}) // a failure needs no handling: a leader without a majority steps down soon
	}
}

// Receive handles a message of another voter. Everything that Ready returned must be done before. After an error, which
// is ErrOldCopy or ErrLogConflict, the node must stop without carrying out what Ready may still return.
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
		if n.raw.HasReady() { // the missing entries may be among those not saved yet; the heartbeat is repeated
			return nil
		}
		// A heartbeat carries the smaller of the leader's commit index and the index that this voter has acknowledged, and
		// 0 for a voter that has acknowledged nothing. This folder has therefore lost entries that it once acknowledged.
		return fmt.Errorf("%w, or was emptied: its log ends at %d, it had acknowledged %d", ErrOldCopy, last, m.Commit)
	case m.Type == raftpb.MsgApp && m.Term >= n.Term() && !n.raw.HasReady():
		if err := n.checkLogConflict(&m); err != nil {
			return err
		}
	case m.Type == raftpb.MsgAppResp && !m.Reject && m.Index > last: // acknowledges entries that were never sent: a leader would count them
		return nil
	}
	return recoverRaftPanic(func() { _ = n.raw.Step(m) }) // raft drops messages of another term
}

// checkLogConflict compares the entries sent by a leader of this term or a later one with those committed here; both must
// have the same terms. Without this check raft either rejects the message, which is resent at once and without end, or
// panics.
func (n *Node) checkLogConflict(m *raftpb.Message) error {
	agreed := n.raw.BasicStatus().Commit
	at, term := m.Index, m.LogTerm
	for i := 0; at <= agreed; i++ {
		if has, err := n.mem.Term(at); err == nil && has != term { // an error: the entry is compacted or missing
			return fmt.Errorf("%w: entry %d is of term %d here, of term %d there", ErrLogConflict, at, has, term)
		}
		if i == len(m.Entries) {
			break
		}
		at, term = m.Entries[i].Index, m.Entries[i].Term
	}
	return nil
}

// recoverRaftPanic runs a raft call and returns a panic as ErrLogConflict. Raft panics where a message contradicts its state.
func recoverRaftPanic(do func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrLogConflict, p)
		}
	}()
	do()
	return nil
}

// numberLimit is above all real terms and log indexes. Raft adds to them without checking for overflow.
const numberLimit = 1 << 62

// validMessage reports whether a voter may send such a message, judged by the message alone. Raft accepts others too and
// panics on some of them, at once or later.
func validMessage(m *raftpb.Message) bool {
	if m.From == 0 || m.From == m.To || m.Term == 0 || max(m.Term, m.Index, m.Commit, m.LogTerm, m.RejectHint) >= numberLimit {
		return false // raft treats a message without a term as a local one
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
	return false // voters send each other no other types
}

// isSimpleConfState reports whether the configuration lists each ID once and is not a joint one, as voters change one at
// a time.
func isSimpleConfState(c raftpb.ConfState) bool {
	all := slices.Sorted(slices.Values(slices.Concat(c.Voters, c.Learners)))
	return len(c.Voters) > 0 && all[0] != 0 && len(slices.Compact(slices.Clone(all))) == len(all) && len(c.VotersOutgoing) == 0 && len(c.LearnersNext) == 0 && !c.AutoLeave
}

// councilTime returns the leader's council time in ms: the committed time when it became leader plus what its own clock
// has advanced since.
func (n *Node) councilTime() int64 { return n.leadBaseMs + (n.now - n.leadSince).Milliseconds() }

func (n *Node) propose(c *agreed.Command) error {
	c.Format, c.At = n.Machine.Format(), n.councilTime()
	if c.Op == agreed.RaiseFormat {
		c.Format = c.To
	}
	return n.raw.Propose(c.Encode())
}

// ErrFormTooOld is returned for a command that the format version in use does not have.
var ErrFormTooOld = fmt.Errorf("council: the council works in form 1 until all its voters speak form %d: upgrade them, then `reachwind fleet raise`", agreed.ReleasesFormat)

// Propose proposes a command and returns the ticket that its CommandResult will carry. It returns ErrNotLeader or
// ErrFormTooOld for a command that it does not propose.
func (n *Node) Propose(now Time, c *agreed.Command) (uint64, error) {
	n.now = now
	if !n.leading {
		return 0, ErrNotLeader
	}
	if c.Op > agreed.Revoke && c.Op != agreed.RaiseFormat && n.Machine.Format() < agreed.ReleasesFormat {
		return 0, ErrFormTooOld
	}
	if err := n.propose(c); err != nil {
		return 0, fmt.Errorf("%w: %w", ErrNotLeader, err)
	}
	n.lastTicket++
	n.tickets[n.lastTicket] = pendingCommand{c.Client, c.Number, n.raw.BasicStatus().Term}
	return n.lastTicket, nil
}

// Leader returns the ID of the leader that this node knows, 0 = none, and whether this node leads and accepts commands.
func (n *Node) Leader() (id uint64, leading bool) { return n.raw.BasicStatus().Lead, n.leading }

// Term returns the current raft term.
func (n *Node) Term() uint64 { return n.raw.BasicStatus().Term }

// Campaign starts an election. For model checkers and tests only.
func (n *Node) Campaign() { _ = n.raw.Campaign() }

// Ready returns pending work, and false if there is none. The caller must call Advance once the work is done.
func (n *Node) Ready() (r Ready, ok bool) {
	if !n.raw.HasReady() {
		return r, false
	}
	rd := n.raw.Ready()
	return Ready{Save: Saved{Hard: rd.HardState, Entries: rd.Entries, Snapshot: rd.Snapshot}, Sync: rd.MustSync || !raft.IsEmptySnap(rd.Snapshot),
		Messages: rd.Messages, raftReady: rd}, true
}

// Advance applies committed entries after the caller has saved what Ready returned, and fills in r.Results and r.Fatal.
// A snapshot that is not empty must be saved before log entries up to it are deleted.
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
		return nil // the empty entry of a new leader
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

// ErrVoterChange is returned for a change of voters that is not possible now.
var ErrVoterChange = errors.New("council: this change of voters is not possible now")

// MembershipChange is a change of voters: one joins as a learner, a learner becomes a voter, or one is removed.
type MembershipChange struct {
	ID    uint64
	Voter agreed.Voter
	Learn bool
	Leave bool
	All   map[uint64]agreed.Voter // the present voters, for a joining one that knows no names yet
}

// changeContext is the context of a configuration change in the raft log. Fields may be added but never changed.
type changeContext struct {
	Voter agreed.Voter            `cbor:"1,keyasint"`
	All   map[uint64]agreed.Voter `cbor:"2,keyasint,omitempty"`
}

// ChangeVoters proposes a change. Raft allows one at a time. It returns ErrNotLeader or ErrVoterChange for a change that
// it does not propose.
func (n *Node) ChangeVoters(now Time, c MembershipChange) error {
	n.now = now
	switch {
	case !n.leading:
		return ErrNotLeader
	case n.Machine.Format() < agreed.ReleasesFormat:
		return fmt.Errorf("%w: the council works in form %d", ErrVoterChange, n.Machine.Format())
	case c.Leave && len(n.conf.Voters) == 1 && n.conf.Voters[0] == c.ID:
		return fmt.Errorf("%w: it is the last voter", ErrVoterChange)
	case !c.Leave && !c.Learn && !n.caughtUp(c.ID):
		return fmt.Errorf("%w: %s has not caught up yet", ErrVoterChange, c.Voter.Name)
	case n.raw.Status().Config.Learners != nil && c.Learn && len(n.raw.Status().Config.Learners) > 0:
		return fmt.Errorf("%w: another voter is joining, wait until it votes", ErrVoterChange)
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
	// Raft commits a change proposed while another is in progress as an empty one; callers check the voters again.
	return n.raw.ProposeConfChange(raftpb.ConfChange{Type: kind, NodeID: c.ID, Context: context})
}

// caughtUp reports whether a learner is active and has nearly all of the log.
func (n *Node) caughtUp(id uint64) bool {
	last, err := n.mem.LastIndex()
	pr, ok := n.raw.Status().Progress[id]
	return err == nil && ok && pr.Match > 0 && pr.Match+entriesKeptBehind/2 >= last && pr.RecentActive
}

// applyVoterChange applies a committed change of voters.
func (n *Node) applyVoterChange(e *raftpb.Entry) error {
	var cc raftpb.ConfChange
	if err := cc.Unmarshal(e.Data); err != nil {
		return fmt.Errorf("entry %d: %w", e.Index, err)
	}
	if err := recoverRaftPanic(func() { n.conf = *n.raw.ApplyConfChange(cc) }); err != nil {
		return fmt.Errorf("entry %d: %w", e.Index, err)
	}
	if cc.NodeID == 0 || len(cc.Context) == 0 { // emptied by raft, as another change was in progress
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

// ConfState returns the IDs of the voters and learners.
func (n *Node) ConfState() raftpb.ConfState { return n.conf }

// maxLeaderlessTime is how long the council may be without a leader before a new leader halts its releases.
const maxLeaderlessTime = 8 * time.Second

// updateLeadership records whether this node leads. It does once it has applied an entry of its own term, as only then
// has it applied everything committed before. Commands that lost their leader get ErrNotLeader.
func (n *Node) updateLeadership(r *Ready) {
	s := n.raw.BasicStatus()
	leads := s.RaftState == raft.StateLeader
	if leads {
		term, err := n.mem.Term(s.Applied)
		leads = err == nil && term == s.Term
	}
	if leads && !n.leading {
		n.leadBaseMs, n.leadSince, n.nextCouncilTime = n.Machine.Time(), n.now, n.now
		if gap := n.now - n.leaderLastKnown; gap > maxLeaderlessTime && n.Machine.ReleaseActive() {
			_ = n.propose(&agreed.Command{Op: agreed.SteerRelease, Name: "*", Steer: "halt", Actor: "council", Reason: fmt.Sprintf("nobody led for %v", gap.Round(time.Second))})
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

// raftLogger logs raft's own lines at level debug, as this package logs what matters to operators itself.
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
