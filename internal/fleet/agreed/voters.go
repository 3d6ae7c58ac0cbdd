package agreed

// Voter is one that was added to the council after it was founded.
type Voter struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Addr     string `cbor:"2,keyasint" json:"address"`
	Identity uint64 `cbor:"3,keyasint" json:"identity"` // of its folder; 0 = as each voter met it
}

// AddVoter notes a voter that joins, by its number; the council's log does it in the order of all commands.
// All are those that are there, whose names it may not know.
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

// DropVoter forgets one that left.
func (m *Machine) DropVoter(index, id uint64, name string) {
	delete(m.s.Voters, id)
	m.s.Index = index
	m.record(Entry{Index: index, Action: "voter removed", Target: name, OK: true, Result: "done"})
}

// Voters are those that were added, by number.
func (m *Machine) Voters() map[uint64]Voter { return m.s.Voters }

// Lineage tells councils apart that were restored from one folder: 0 for one that never was.
func (m *Machine) Lineage() uint64 { return m.s.Lineage }

// fenceJump puts the fences of a restored council above all that the lost one can have given.
const fenceJump = 1 << 40

// MarkRestored makes the state of one voter's folder that of a new council: fences go on far above all that the lost voters
// may have agreed without it, what was out stays counted as out until it is seen back, releases are halted.
func (m *Machine) MarkRestored(lineage uint64, who string) {
	s := &m.s
	s.Lineage = lineage
	s.Fence += fenceJump
	s.Voters = nil
	for name, p := range s.Permits {
		p.Overdue, p.Until = true, min(p.Until, s.Time)
		s.Permits[name] = p
	}
	for _, r := range m.Releases() {
		if !r.Ended() {
			r.DriverClient, r.Driver, r.DriverUntil = "", "", 0
			r.set(s.Time, Halted, "the council was restored")
			m.keep(&r)
		}
	}
	m.record(Entry{Index: s.Index, Actor: who, Action: "council restored", Result: "from one folder", OK: true})
}
