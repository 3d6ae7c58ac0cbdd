package rig

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"reachwind/internal/fleet/council"
	"reachwind/internal/lab/proc"
)

// Seat is one voter's process and its place.
type Seat struct {
	Name, Listen, Admin, Dir string
	P                        *proc.Gateway // nil while it is down

	Binary string // of another build; empty: the rig's
	Join   bool   // it joins a council that is there

	c      *Council
	voters map[string]string // addresses as this one reaches them
}

// Council is a council of processes, with a relay between each ordered pair of them.
type Council struct {
	Seats  []*Seat
	Zones  []string // whose load may be moved; voters take it at their next start
	binary string
	keys   string
	mesh
}

// NewCouncil makes the files and relays of a council, and starts its voters.
func NewCouncil(binary, dir string, size int, seed uint64, zones ...string) (*Council, error) {
	ports, err := freePorts(2 * size)
	if err != nil {
		return nil, err
	}
	key, err := NewKey()
	if err != nil {
		return nil, err
	}
	c := &Council{binary: binary, keys: key, Zones: zones}
	for i := range size {
		s := &Seat{Name: fmt.Sprintf("c%d", i+1), Listen: ports[2*i], Admin: ports[2*i+1], c: c, voters: map[string]string{}}
		s.Dir = filepath.Join(dir, s.Name)
		if err := os.MkdirAll(s.Dir, 0o700); err != nil {
			return nil, err
		}
		c.Seats = append(c.Seats, s)
	}
	var places []place
	for _, s := range c.Seats {
		places = append(places, place{s.Name, s.Listen})
		s.voters[s.Name] = s.Listen
	}
	if err := c.open(places, false, seed, func(i, j int, to string) { c.Seats[i].voters[c.Seats[j].Name] = to }); err != nil {
		c.Close()
		return nil, err
	}
	for _, s := range c.Seats {
		if err := s.Start(); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// Spare makes a place for one more voter, which joins once it is started; the others reach it directly.
func (c *Council) Spare(dir string) (*Seat, error) {
	ports, err := freePorts(2)
	if err != nil {
		return nil, err
	}
	s := &Seat{Name: fmt.Sprintf("c%d", len(c.Seats)+1), Listen: ports[0], Admin: ports[1], Join: true, c: c, voters: map[string]string{}}
	s.Dir = filepath.Join(dir, s.Name)
	for _, o := range c.Seats {
		s.voters[o.Name] = o.Listen
	}
	s.voters[s.Name] = s.Listen
	if len(s.voters)%2 == 0 { // a configuration names an odd number
		delete(s.voters, c.Seats[0].Name)
	}
	c.Seats = append(c.Seats, s)
	return s, os.MkdirAll(s.Dir, 0o700)
}

// Start starts the voter's process.
func (s *Seat) Start() error {
	var b strings.Builder
	fmt.Fprintf(&b, "council {\n  name = %q\n  listen = %q\n  admin = %q\n  folder = \"folder\"\n  key_file = \"fleet.keys\"\n", s.Name, s.Listen, s.Admin)
	for _, name := range sorted(s.voters) {
		fmt.Fprintf(&b, "  voter %q { address = %q }\n", name, s.voters[name])
	}
	for _, z := range s.c.Zones {
		var near []string
		for _, o := range s.c.Zones {
			if o != z {
				near = append(near, o)
			}
		}
		fmt.Fprintf(&b, "  zone %q { near = [%s] }\n", z, quoted(near))
	}
	b.WriteString("}\n")
	path := filepath.Join(s.Dir, "council.hcl")
	if err := errors.Join(os.WriteFile(path, []byte(b.String()), 0o600), os.WriteFile(filepath.Join(s.Dir, "fleet.keys"), []byte(s.c.keys), 0o600)); err != nil {
		return err
	}
	args := []string{"council", "--config", path}
	if s.Join {
		args = append(args, "--join")
	}
	p, err := proc.Run(cmp.Or(s.Binary, s.c.binary), args, "council serves")
	if err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	s.P = p
	return nil
}

// Kill ends the process at once.
func (s *Seat) Kill() {
	if s.P != nil {
		s.P.Kill()
		s.P = nil
	}
}

// Pause stops the process, or has it go on.
func (s *Seat) Pause(yes bool) {
	if s.P == nil {
		return
	}
	if yes {
		s.P.Signal(syscall.SIGSTOP)
	} else {
		s.P.Signal(syscall.SIGCONT)
	}
}

// Folder is where the voter keeps its log.
func (s *Seat) Folder() string { return filepath.Join(s.Dir, "folder") }

// Status is what the voter answers.
func (s *Seat) Status() (st council.Status, err error) {
	n := Node{Name: s.Name, Admin: s.Admin}
	return st, n.get("/v1/status", &st)
}

// Set sets the link from one voter to another.
func (c *Council) Set(from, to *Seat, l Link) { c.set(from.Name, to.Name, l) }

// Heal makes all links whole.
func (c *Council) Heal() { c.heal() }

// Admins are all admin addresses, as commands take them.
func (c *Council) Admins() string {
	var all []string
	for _, s := range c.Seats {
		all = append(all, s.Admin)
	}
	return strings.Join(all, ",")
}

// SetBinary has commands run by another build.
func (c *Council) SetBinary(binary string) { c.binary = binary }

// Keys are the council's, for gateways that subscribe.
func (c *Council) Keys() string { return c.keys }

// Listens are where voters listen, for gateways that subscribe.
func (c *Council) Listens() (all []string) {
	for _, s := range c.Seats {
		all = append(all, s.Listen)
	}
	return all
}

// Leader is the one voter that leads, as it says itself; an error while there is none.
func (c *Council) Leader() (*Seat, error) {
	for _, s := range c.Seats {
		if s.P != nil {
			if st, err := s.Status(); err == nil && st.Leading {
				return s, nil
			}
		}
	}
	return nil, errors.New("nobody leads")
}

// State is what the leader says of the council.
func (c *Council) State() (council.Status, error) {
	l, err := c.Leader()
	if err != nil {
		return council.Status{}, err
	}
	return l.Status()
}

// Run runs a command of the program against this council and returns its exit code and what it wrote.
func (c *Council) Run(args ...string) (code int, out string) {
	cmd := c.Command(args...)
	var b bytes.Buffer
	cmd.Stdout, cmd.Stderr = &b, &b
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), b.String()
	}
	if err != nil {
		return -1, err.Error()
	}
	return 0, b.String()
}

// Command is a command of the program, `fleet ARGS --admin ...`, that ends with the lab.
func (c *Council) Command(args ...string) *exec.Cmd {
	cmd := exec.Command(c.binary, append([]string{"fleet", "--admin", c.Admins()}, args...)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// Close ends all voters.
func (c *Council) Close() {
	for _, s := range c.Seats {
		if s.P != nil {
			s.P.Signal(syscall.SIGCONT)
			s.Kill()
		}
	}
	c.mesh.close()
}

// Logs are the last lines of all voters.
func (c *Council) Logs() string {
	var b strings.Builder
	for _, s := range c.Seats {
		if s.P != nil {
			log := s.P.Log()
			fmt.Fprintf(&b, "--- %s\n%s", s.Name, log[max(0, len(log)-3000):])
		}
	}
	return b.String()
}

// Seated waits until a voter leads.
func (c *Council) Seated(within time.Duration) (leader *Seat, err error) {
	_, err = Until(within, func() error {
		leader, err = c.Leader()
		return err
	})
	return leader, err
}
