package council

// Incarnation is one start of one voter's folder. A folder counts its starts, and each process draws a number of its own: an
// old copy of a folder begins with a count that others have seen already, under another number; and however often it is
// started before it reaches anyone, the numbers of its past are not those that others have seen.
type Incarnation struct {
	Identity  uint64 `cbor:"1,keyasint"` // of the folder
	Starts    uint64 `cbor:"2,keyasint"`
	ProcessID uint64 `cbor:"3,keyasint"` // of the process
}

// PeerIncarnations is what a voter knows of the lives of the others, by name. It is its owner's alone; what Meet says is new must
// be on disk before the voter acts on it.
type PeerIncarnations struct {
	ByName   map[string]Incarnation
	Disabled bool // for checkers only
}

// IncarnationCheck is what came of a message's life.
type IncarnationCheck int

// The meetings.
const (
	IncarnationSame    IncarnationCheck = iota
	IncarnationNew                      // to be kept
	IncarnationForeign                  // another folder: its voter is another one
	IncarnationStale                    // a life of the past: the folder is an old copy
)

// maxPastRuns is how many lives of a folder's past it tells; who was not heard of for more is taken at its word.
const maxPastRuns = 16

// Check takes the life that a message carries, with the numbers of the processes of the folder's lives before, the last
// one last. Zero starts: a voter of the former program, whose folder counts none.
func (r *PeerIncarnations) Check(name string, l Incarnation, past []uint64) IncarnationCheck {
	known, ok := r.ByName[name]
	switch {
	case !ok:
	case known.Identity != l.Identity:
		return IncarnationForeign
	case l.Starts == 0 || r.Disabled:
		return IncarnationSame
	case l.Starts < known.Starts, l.Starts == known.Starts && l.ProcessID != known.ProcessID:
		return IncarnationStale
	case l.Starts == known.Starts:
		return IncarnationSame
	case known.Starts > 0:
		if ago := l.Starts - known.Starts; ago <= uint64(len(past)) && past[uint64(len(past))-ago] != known.ProcessID {
			return IncarnationStale
		}
	}
	r.ByName[name] = l
	return IncarnationNew
}

// Forget drops a name, whose voter was removed or is to be another one.
func (r *PeerIncarnations) Forget(name string) { delete(r.ByName, name) }
