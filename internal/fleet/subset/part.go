package subset

// State is how one gateway sees a member, for one read.
type State uint8

// The states. All but Fit are causes to leave the part.
const (
	Fit State = iota
	TooStale
	Cold
	Draining
	Banned
	Suspect
	Full
	States int = iota
)

// String is the state's name in tables and JSON.
func (s State) String() string {
	return [...]string{"fit", "too_stale", "cold", "draining", "banned", "suspect", "full"}[s]
}

// Counts are picks that did not go where the plan has them, by the state of the member
// that the plan had.
type Counts struct {
	Within  [States]uint64 // to another member of the part
	Outside [States]uint64 // to a stand-in
	Nobody  uint64         // no member of the group was fit
}

// Part is one gateway's part of a group, with who stands in. It is its owner's alone.
type Part struct {
	Counts  Counts
	shares  []Share
	outside []string // all other members, in the order in which they stand in for this gateway
}

// Shares are the part's members and their weights, whose sum is 1.
func (p *Part) Shares() []Share { return p.shares }

// Pick chooses a member for one read by a number from 0 up to 1, drawn evenly, and by how
// each member is seen now. It allocates nothing. It tells false only where no member of the
// group is fit: what then happens is the caller's to decide.
//
// A read whose member is not fit goes to the fit ones of the part as long as they have half
// of its weight. Where they have less, none of them gets more than twice its share, and what
// is left goes to the first four fit ones outside.
func (p *Part) Pick(draw float64, state func(member string) State) (member string, ok bool) {
	var fit float64
	meant, cause, rest := -1, Fit, draw
	for i, s := range p.shares {
		st := state(s.Member)
		if st == Fit {
			fit += s.Weight
		}
		if meant < 0 && (rest < s.Weight || i == len(p.shares)-1) {
			if st == Fit {
				return s.Member, true
			}
			// What is left of the draw within this member's share is drawn evenly again.
			meant, cause, rest = i, st, min(rest/max(s.Weight, 1e-12), 1-1e-9)
		} else if meant < 0 {
			rest -= s.Weight
		}
	}
	stay := 1.0
	if fit < keep {
		stay = fit / (1 - fit)
	}
	if rest >= stay {
		if m := p.standIn((rest-stay)/(1-stay), state); m != "" {
			p.Counts.Outside[cause]++
			return m, true
		}
		rest, stay = (rest-stay)/(1-stay), 1
	}
	if m := p.other(rest/stay*fit, state); m != "" {
		p.Counts.Within[cause]++
		return m, true
	}
	p.Counts.Nobody++
	return "", false
}

func (p *Part) other(rest float64, state func(string) State) (last string) {
	for _, s := range p.shares {
		if state(s.Member) == Fit {
			if last = s.Member; rest < s.Weight {
				break
			}
			rest -= s.Weight
		}
	}
	return last
}

func (p *Part) standIn(draw float64, state func(string) State) string {
	var found [standIns]string
	n := 0
	for _, m := range p.outside {
		if state(m) == Fit {
			if found[n] = m; n == standIns-1 {
				n++
				break
			}
			n++
		}
	}
	if n == 0 {
		return ""
	}
	return found[min(int(draw*float64(n)), n-1)]
}
