package rig

import "sync/atomic"

// mesh is the links between some processes, one each way, and the relays that carry them.
type mesh struct {
	links  map[[2]string]*atomic.Pointer[Link]
	relays []*relay
	Passed atomic.Int64 // bytes
}

// place is a process's name and where it listens.
type place struct{ name, listen string }

// open makes a relay for each ordered pair and tells route by which address the one reaches the other. Without relays
// that is where the other listens.
func (m *mesh) open(places []place, direct bool, seed uint64, route func(from, to int, addr string)) error {
	m.links = map[[2]string]*atomic.Pointer[Link]{}
	for _, a := range places {
		for _, b := range places {
			p := new(atomic.Pointer[Link])
			p.Store(&Link{})
			m.links[[2]string{a.name, b.name}] = p
		}
	}
	for i, a := range places {
		for j, b := range places {
			if i == j {
				continue
			}
			to := b.listen
			if !direct {
				l, err := newRelay(b.listen, m.links[[2]string{a.name, b.name}], m.links[[2]string{b.name, a.name}], &m.Passed, seed+uint64(i*len(places)+j))
				if err != nil {
					return err
				}
				m.relays = append(m.relays, l)
				to = l.addr
			}
			route(i, j, to)
		}
	}
	return nil
}

func (m *mesh) set(from, to string, l Link) { m.links[[2]string{from, to}].Store(&l) }

func (m *mesh) heal() {
	for _, p := range m.links {
		p.Store(&Link{})
	}
}

func (m *mesh) close() {
	for _, l := range m.relays {
		l.close()
	}
}
