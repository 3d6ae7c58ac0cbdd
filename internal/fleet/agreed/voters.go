package agreed

// Voter is a council voter, added after the council was founded or taken from its configuration.
type Voter struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Addr     string `cbor:"2,keyasint" json:"address"`
	Identity uint64 `cbor:"3,keyasint" json:"identity"` // of its data folder; 0 = as each voter first saw it
}

// AddVoter records a voter that joins under a voter number, in log order with all commands. all are the present voters;
// those not yet recorded are added too.
func (m *Machine) AddVoter(index, id uint64, v Voter, all map[uint64]Voter) {
	if m.s.Voters == nil {
		m.s.Voters = map[uint64]Voter{}
	}
	for k, o := range all {
		if _, ok := m.s.Voters[k]; !ok {
			m.s.Voters[k] = o
		}
	}
	m.s.Voters[id], m.s.Index = v, index
	m.record(Entry{Index: index, Action: "voter added", Target: v.Name, OK: true, Result: "done"})
}

// DropVoter removes a voter that left.
func (m *Machine) DropVoter(index, id uint64, name string) {
	delete(m.s.Voters, id)
	m.s.Index = index
	m.record(Entry{Index: index, Action: "voter removed", Target: name, OK: true, Result: "done"})
}

// Voters returns the recorded voters by number. The caller must not change the map.
func (m *Machine) Voters() map[uint64]Voter { return m.s.Voters }

// Lineage identifies a council restored from one voter's folder; 0 if it never was restored.
func (m *Machine) Lineage() uint64 { return m.s.Lineage }

// restoredFenceGap puts the fences of a restored council above all that the lost one can have issued.
const restoredFenceGap = 1 << 40

// MarkRestored turns the state of one voter's folder into that of a new council: fences continue far above all that the
// lost voters may have agreed without it, targets that were out count as out until they are seen back, releases are halted.
func (m *Machine) MarkRestored(lineage uint64, who string) {
	s := &m.s
	s.Lineage = lineage
	s.Fence += restoredFenceGap
	s.Voters = nil
	for name, p := range s.Permits {
		p.Overdue, p.Until = true, min(p.Until, s.Time)
		s.Permits[name] = p
	}
	for _, r := range m.Releases() {
		if !r.Ended() {
			r.DriverClient, r.Driver, r.DriverUntil = "", "", 0
			r.setState(s.Time, Halted, "the council was restored")
			m.storeRelease(&r)
		}
	}
	m.record(Entry{Index: s.Index, Actor: who, Action: "council restored", Result: "from one folder", OK: true})
}
