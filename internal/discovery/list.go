package discovery

import (
	"fmt"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
)

// List is an answer of the discovery service: the whole list of members, or a
// change of it.
type List struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"` // Instances is the whole list, not a change
	Instances  []Entry `json:"instances"`
}

// Entry is one member of a List.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int64   `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

var lifecycleStates = map[string]decide.MemberState{
	"ready": decide.Up, "draining": decide.Draining, "gone": decide.Removed}

// EntryOf converts a member to the form that discovery uses.
func EntryOf(m core.ListedMember) Entry {
	e := Entry{InstanceID: m.ID, HostPort: m.Addr, Zone: m.Zone, MachineType: m.Kind, Cell: m.Group, Lifecycle: "ready", Weight: m.Weight,
		StartedAtMs: m.Started.Milliseconds()}
	for name, state := range lifecycleStates {
		if state == m.State {
			e.Lifecycle = name
		}
	}
	return e
}

// Members converts the entries. It fails if an entry has no id or an unknown
// lifecycle.
func (l *List) Members() ([]core.ListedMember, error) {
	list := make([]core.ListedMember, 0, len(l.Instances))
	for _, e := range l.Instances {
		state, ok := lifecycleStates[e.Lifecycle]
		if !ok || e.InstanceID == "" {
			return nil, fmt.Errorf("list: instance %q: unknown lifecycle %q", e.InstanceID, e.Lifecycle)
		}
		list = append(list, core.ListedMember{Addr: e.HostPort, Member: decide.Member{ID: e.InstanceID, Group: e.Cell,
			Zone: e.Zone, Kind: e.MachineType, Weight: e.Weight, State: state,
			Started: core.Time(e.StartedAtMs) * time.Millisecond}})
	}
	return list, nil
}
