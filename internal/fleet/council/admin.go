package council

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"

	"reachwind/internal/fleet/agreed"
)

// CommandRequest is the body of POST /v1/command on the admin address.
type CommandRequest struct {
	Op     string         `json:"op"` // one of the keys of operations
	Client string         `json:"client"`
	Number uint64         `json:"number"`
	Who    string         `json:"who"`
	Target string         `json:"target,omitempty"`
	Reason string         `json:"reason,omitempty"`
	TermMs int64          `json:"term_ms,omitempty"`
	Fence  uint64         `json:"fence,omitempty"`
	Budget *agreed.Budget `json:"budget,omitempty"`

	Rules   *agreed.Rules   `json:"rules,omitempty"`
	Release *agreed.Release `json:"release,omitempty"` // the plan of a release
	Name    string          `json:"name,omitempty"`    // of a release
	OK      bool            `json:"ok,omitempty"`
	Steer   string          `json:"steer,omitempty"` // halt, resume, back
}

var operations = map[string]agreed.Op{"budget": agreed.SetBudget, "acquire": agreed.Acquire, "renew": agreed.Renew, "give_back": agreed.GiveBack, "revoke": agreed.Revoke,
	"rules": agreed.SetRules, "plan": agreed.PlanRelease, "drive": agreed.DriveRelease, "next": agreed.NextTarget, "started": agreed.TargetStarted, "ended": agreed.TargetEnded, "steer": agreed.SteerRelease, "raise": agreed.RaiseFormat, "zone": agreed.OverrideZone}

// VoterState describes a voter as the answering voter knows it.
type VoterState struct {
	Name    string `json:"name"`
	ID      uint64 `json:"id"`
	Address string `json:"address"`
	Learns  bool   `json:"learns,omitempty"` // a learner, without a vote yet
	HeardMs int64  `json:"heard_ms"`         // time since its last hello, -1 = never heard
	Form    int    `json:"form"`             // newest format version that it supports
}

// VoterChange is the body of POST /v1/voter on the admin address.
type VoterChange struct {
	Name     string `json:"name"`
	Address  string `json:"address,omitempty"`
	Identity uint64 `json:"identity,omitempty"`
	ID       uint64 `json:"id,omitempty"`
	Leave    bool   `json:"leave,omitempty"`
}

// Status is what `reachwind fleet status` shows.
type Status struct {
	Name     string                         `json:"name"`
	Quorum   bool                           `json:"quorum"`
	Leader   string                         `json:"leader"`
	Leading  bool                           `json:"leading"`
	Term     uint64                         `json:"term"`
	Index    uint64                         `json:"index"`
	TimeMs   int64                          `json:"time_ms"`
	Budgets  []agreed.Budget                `json:"budgets"`
	Permits  []agreed.Permit                `json:"permits"`
	Targets  []agreed.Target                `json:"targets"`
	Releases []agreed.Release               `json:"releases"`
	Rules    agreed.Rules                   `json:"rules"`
	Serves   agreed.FleetHealth             `json:"serves"`
	Form     int                            `json:"form"`
	Identity uint64                         `json:"identity"` // of this voter's folder
	ID       uint64                         `json:"id"`
	Listen   string                         `json:"listen"`
	Starts   uint64                         `json:"starts"`
	Lineage  uint64                         `json:"lineage,omitempty"`
	Voters   []VoterState                   `json:"voters"`
	Zones    *agreed.ZonePlan               `json:"zones,omitempty"`
	ZoneActs map[string]agreed.ZoneOverride `json:"zone_acts,omitempty"`
}

func (v *Voter) status() Status {
	id, leading := v.node.Leader()
	m := v.node.Machine
	s := Status{Name: v.conf.Name, Quorum: id != 0, Leader: v.voterName(id), Leading: leading, Term: v.node.Term(), Index: m.Index(), TimeMs: m.Time(),
		Budgets: m.Budgets(), Permits: m.Permits(), Targets: m.Targets(), Releases: m.Releases(), Rules: m.Rules(), Serves: m.FleetHealth(),
		Form: m.Format(), Identity: v.incarnation.Identity, ID: v.selfID, Listen: v.net.AdvertisedAddr(), Zones: m.Zones(), ZoneActs: maps.Clone(m.ZoneOverrides()), Starts: v.incarnation.Starts, Lineage: m.Lineage()}
	conf := v.node.ConfState()
	for _, id := range slices.Concat(conf.Voters, conf.Learners) {
		o := VoterState{Name: v.voterName(id), ID: id, Address: v.voterAddr(id), Learns: slices.Contains(conf.Learners, id), HeardMs: -1}
		if n, ok := v.lastHellos[o.Name]; ok {
			o.HeardMs, o.Form = (v.now() - n.at).Milliseconds(), n.form
		}
		if id == v.selfID {
			o.HeardMs, o.Form = 0, agreed.NewestFormat
		}
		s.Voters = append(s.Voters, o)
	}
	if s.Releases == nil {
		s.Releases = []agreed.Release{}
	}
	if s.Budgets == nil {
		s.Budgets = []agreed.Budget{}
	}
	if s.Targets == nil {
		s.Targets = []agreed.Target{}
	}
	if s.Permits == nil {
		s.Permits = []agreed.Permit{}
	}
	return s
}

// runInLoop queues do for the goroutine that owns the voter. It returns ctx's error if the queue stays full until ctx ends.
func (v *Voter) runInLoop(ctx context.Context, do func()) error {
	select {
	case v.requests <- do:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (v *Voter) handler() http.Handler {
	mux := http.NewServeMux()
	reply := func(w http.ResponseWriter, code int, x any) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(code)
		_ = json.NewEncoder(w).Encode(x)
	}
	get := func(path string, f func() any) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
			defer cancel()
			got := make(chan any, 1)
			if v.runInLoop(ctx, func() { got <- f() }) == nil {
				select {
				case x := <-got:
					reply(w, http.StatusOK, x)
					return
				case <-ctx.Done():
				}
			}
			http.Error(w, "busy", http.StatusServiceUnavailable)
		})
	}
	get("/v1/status", func() any { return v.status() })
	get("/v1/history", func() any { return slices.Clone(v.node.Machine.History()) })
	mux.HandleFunc("POST /v1/voter", func(w http.ResponseWriter, r *http.Request) {
		var q VoterChange
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&q); err != nil || q.Name == "" {
			http.Error(w, fmt.Sprintf("invalid change of voters: %v, name %q, want JSON with a name", err, q.Name), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
		defer cancel()
		got := make(chan error, 1)
		if v.runInLoop(ctx, func() { got <- v.changeVoters(&q) }) != nil {
			http.Error(w, "busy", http.StatusServiceUnavailable)
			return
		}
		switch err := <-got; {
		case errors.Is(err, ErrNotLeader):
			id, _ := v.node.Leader()
			reply(w, http.StatusMisdirectedRequest, map[string]string{"leader": v.voterName(id)})
		case err != nil:
			reply(w, http.StatusOK, agreed.Result{Refused: err.Error()})
		default:
			reply(w, http.StatusOK, agreed.Result{OK: true})
		}
	})
	mux.HandleFunc("POST /v1/command", func(w http.ResponseWriter, r *http.Request) {
		var q CommandRequest
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err == nil {
			err = json.Unmarshal(text, &q)
		}
		op, ok := operations[q.Op]
		if err != nil || !ok || q.Client == "" || q.Number == 0 {
			http.Error(w, fmt.Sprintf("invalid command: %v, operation %q, client %q, number %d, want a known operation, a client and a number from 1", err, q.Op, q.Client, q.Number), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
		defer cancel()
		type end struct {
			res    agreed.Result
			err    error
			leader string
		}
		got := make(chan end, 1)
		c := &agreed.Command{Rules: q.Rules, Release: q.Release, Name: q.Name, OK: q.OK, Steer: q.Steer, To: agreed.NewestFormat, Op: op, Client: q.Client, Number: q.Number, Actor: q.Who, Target: q.Target, Reason: q.Reason, Term: q.TermMs, Fence: q.Fence, Budget: q.Budget}
		err = v.runInLoop(ctx, func() {
			id, _ := v.node.Leader()
			tell := func(res agreed.Result, err error) { got <- end{res, err, v.voterName(id)} }
			if len(v.pending) >= maxPendingCommands {
				tell(agreed.Result{}, ErrNotLeader)
				return
			}
			if op == agreed.RaiseFormat && !v.allOnNewestForm() {
				tell(agreed.Result{Refused: fmt.Sprintf("not all voters have lately reported that they support form %d: upgrade them first", agreed.NewestFormat)}, nil)
				return
			}
			t, err := v.node.Propose(v.now(), c)
			if errors.Is(err, ErrFormTooOld) {
				tell(agreed.Result{Refused: err.Error()}, nil)
				return
			}
			if err != nil {
				tell(agreed.Result{}, err)
				return
			}
			v.pending[t] = tell
		})
		if err == nil {
			select {
			case e := <-got:
				if e.err != nil {
					reply(w, http.StatusMisdirectedRequest, map[string]string{"leader": e.leader})
					return
				}
				reply(w, http.StatusOK, e.res)
				return
			case <-ctx.Done():
			}
		}
		http.Error(w, "not decided in time: the command may still be applied", http.StatusServiceUnavailable)
	})
	return mux
}

// allOnNewestForm reports whether all other voters said within helloValidity that they support the newest format version.
func (v *Voter) allOnNewestForm() bool {
	for _, id := range v.otherIDs() {
		if n, ok := v.lastHellos[v.voterName(id)]; !ok || v.now()-n.at > helloValidity || n.form < agreed.NewestFormat {
			return false
		}
	}
	return true
}

// changeVoters proposes the next step of a change: a new voter first joins as a learner and becomes a voter once it has
// caught up. Callers repeat the request until it is reported as done.
func (v *Voter) changeVoters(q *VoterChange) error {
	conf := v.node.ConfState()
	has := uint64(0)
	for _, id := range slices.Concat(conf.Voters, conf.Learners) {
		if v.voterName(id) == q.Name {
			has = id
		}
	}
	if q.Leave {
		if has == 0 {
			return nil
		}
		return v.node.ChangeVoters(v.now(), MembershipChange{ID: has, Voter: agreed.Voter{Name: q.Name}, Leave: true})
	}
	switch {
	case q.Address == "" || q.Identity == 0 || q.ID <= firstJoinedID:
		return fmt.Errorf("%w: want the address, identity and ID of %s, as its own status shows them", ErrVoterChange, q.Name)
	case has != 0 && has != q.ID:
		return fmt.Errorf("%w: %s is a voter with another folder, remove it first", ErrVoterChange, q.Name)
	case slices.Contains(conf.Voters, q.ID):
		return nil
	case len(conf.Voters) >= MaxVoters:
		return fmt.Errorf("%w: there are %d voters", ErrVoterChange, len(conf.Voters))
	}
	return v.node.ChangeVoters(v.now(), MembershipChange{ID: q.ID, Voter: agreed.Voter{Name: q.Name, Addr: q.Address, Identity: q.Identity}, Learn: has == 0, All: v.knownVoters()})
}

// knownVoters returns all voters and learners by ID as this voter knows them.
func (v *Voter) knownVoters() map[uint64]agreed.Voter {
	m := map[uint64]agreed.Voter{}
	conf := v.node.ConfState()
	for _, id := range slices.Concat(conf.Voters, conf.Learners) {
		o := v.node.Machine.Voters()[id]
		if m[id] = o; o.Name == "" {
			m[id] = agreed.Voter{Name: v.voterName(id), Addr: v.voterAddr(id)}
		}
	}
	return m
}
