package council

// Incarnation identifies one start of one voter's folder. A folder counts its starts, and each process has a random ID.
// An old copy of a folder therefore either repeats a start number that other voters know under another process ID, or,
// if it was started several times before it reached anyone, reports past process IDs that differ from those they know.
type Incarnation struct {
	Identity  uint64 `cbor:"1,keyasint"` // random ID of the folder
	Starts    uint64 `cbor:"2,keyasint"`
	ProcessID uint64 `cbor:"3,keyasint"` // random ID of the process
}

// PeerIncarnations holds the latest known incarnation of each other voter, by name. Whatever Check reports as
// IncarnationNew must be on disk before the voter acts on the message. It is not safe for concurrent use.
type PeerIncarnations struct {
	ByName   map[string]Incarnation
	Disabled bool // accepts every incarnation of a known folder; for model checkers only
}

// IncarnationCheck is the result of checking the incarnation that a message carries.
type IncarnationCheck int

// The results of a check.
const (
	IncarnationSame    IncarnationCheck = iota
	IncarnationNew                      // first or later incarnation, to be saved
	IncarnationForeign                  // another folder: not the voter known by this name
	IncarnationStale                    // an earlier incarnation, or one that does not follow the known one: the folder is an old copy
)

// maxPastRuns is how many past process IDs a folder keeps and sends. A voter that was started more often than that since
// it was last heard is accepted without this check.
const maxPastRuns = 16

// Check compares the incarnation l that a message from voter name carries, and the process IDs of that folder's earlier
// starts, oldest first, with the known incarnation, and records l where it is new. l.Starts is 0 for a voter of the
// former program, whose folder counts no starts.
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

// Forget drops the entry of a voter that was removed or replaced.
func (r *PeerIncarnations) Forget(name string) { delete(r.ByName, name) }
