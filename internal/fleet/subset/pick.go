package subset

// State is how one gateway sees a member, for one read.
type State uint8

// The states. All but Fit are reasons to read from another member.
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

// String returns the state's name for tables and JSON.
func (s State) String() string {
	return [...]string{"fit", "too_stale", "cold", "draining", "banned", "suspect", "full"}[s]
}

// Counts counts picks that did not go to the planned member, by the state of that member.
type Counts struct {
	Inside  [States]uint64 // to another member of the subset
	Outside [States]uint64 // to a substitute outside the subset
	NoneFit uint64         // no member of the group was fit
}

// Subset is one gateway's subset of a group, with the members that substitute. It is not safe for concurrent
// use.
type Subset struct {
	Counts      Counts
	shares      []Share
	substitutes []string // all other members, in the order in which they substitute for this gateway's members
}

// Shares returns the subset's members and their weights, whose sum is 1.
func (p *Subset) Shares() []Share { return p.shares }

// Pick chooses a member for one read from a uniform random number in [0, 1) and from how each member is seen
// now. It allocates nothing. It returns false only if no member of the group is fit; the caller decides what
// happens then.
//
// If the planned member is not fit, the read goes to the fit members of the subset as long as they have half
// of its weight. If they have less, none of them gets more than twice its share, and the rest goes to the
// first four fit members outside the subset.
func (p *Subset) Pick(draw float64, state func(member string) State) (member string, ok bool) {
	var fitWeight float64
	planned, cause, rest := -1, Fit, draw
	for i, s := range p.shares {
		st := state(s.Member)
		if st == Fit {
			fitWeight += s.Weight
		}
		if planned < 0 && (rest < s.Weight || i == len(p.shares)-1) {
			if st == Fit {
				return s.Member, true
			}
			// The remainder of the random number within this member's share is uniform again.
			planned, cause, rest = i, st, min(rest/max(s.Weight, 1e-12), 1-1e-9)
		} else if planned < 0 {
			rest -= s.Weight
		}
	}
	insideFraction := 1.0
	if fitWeight < minFitWeight {
		insideFraction = fitWeight / (1 - fitWeight)
	}
	if rest >= insideFraction {
		if m := p.substitute((rest-insideFraction)/(1-insideFraction), state); m != "" {
			p.Counts.Outside[cause]++
			return m, true
		}
		rest, insideFraction = (rest-insideFraction)/(1-insideFraction), 1
	}
	if m := p.fitMember(rest/insideFraction*fitWeight, state); m != "" {
		p.Counts.Inside[cause]++
		return m, true
	}
	p.Counts.NoneFit++
	return "", false
}

func (p *Subset) fitMember(rest float64, state func(string) State) (last string) {
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

func (p *Subset) substitute(draw float64, state func(string) State) string {
	var found [maxSubstitutes]string
	n := 0
	for _, m := range p.substitutes {
		if state(m) == Fit {
			if found[n] = m; n == maxSubstitutes-1 {
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
