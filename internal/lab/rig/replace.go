package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Replacer does for a release's command what an operator's tool does: it ends a gateway's process and starts it anew, of
// the version asked for. Commands ask by files in its folder, so that a driver is a process like any other. It notes
// when each gateway went out and came back, and it refuses a fence that is not above the last one of its target.
type Replacer struct {
	Dir    string
	Before func(n *Node, version string) error // what becomes of a gateway before it starts anew; nil: nothing
	rig    *Rig

	mu     sync.Mutex
	outs   []Outage
	fences map[string]uint64
	Fenced int // asks of the past
	stop   chan struct{}
	done   sync.WaitGroup
}

// Outage is one time that a gateway was out by a command.
type Outage struct {
	Name, Version string
	Fence         uint64
	From, To      time.Time // To is zero while it is out
}

// NewReplacer serves commands from a folder of its own.
func (r *Rig) NewReplacer(dir string) (*Replacer, error) {
	p := &Replacer{Dir: dir, rig: r, fences: map[string]uint64{}, stop: make(chan struct{})}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	p.done.Add(1)
	go p.serve()
	return p, nil
}

// Command is a plan's command: it ends when the gateway is back.
func (p *Replacer) Command() string {
	ask := filepath.Join(p.Dir, "$REACHWIND_FENCE")
	script := fmt.Sprintf("echo {name} $REACHWIND_VERSION > %s.new && mv %s.new %s.ask && while [ ! -e %s.end ]; do sleep 0.05; done; exit $(cat %s.end)", ask, ask, ask, ask, ask)
	return fmt.Sprintf(`["sh", "-c", %q]`, script)
}

func (p *Replacer) serve() {
	defer p.done.Done()
	seen := map[string]bool{}
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		all, _ := filepath.Glob(filepath.Join(p.Dir, "*.ask"))
		slices.Sort(all)
		for _, path := range all {
			if seen[path] {
				continue
			}
			seen[path] = true
			p.done.Add(1)
			go func() {
				defer p.done.Done()
				code := 0
				if err := p.replace(path); err != nil {
					p.rig.note("replacing: %v", err)
					code = 1
				}
				end := strings.TrimSuffix(path, ".ask") + ".end"
				_ = os.WriteFile(end+".new", []byte(strconv.Itoa(code)), 0o600)
				_ = os.Rename(end+".new", end)
			}()
		}
	}
}

func (p *Replacer) replace(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	fence, _ := strconv.ParseUint(strings.TrimSuffix(filepath.Base(path), ".ask"), 10, 64)
	name, version, _ := strings.Cut(strings.TrimSpace(string(text)), " ")
	i := slices.IndexFunc(p.rig.Nodes, func(n *Node) bool { return n.Name == name })
	if i < 0 {
		return fmt.Errorf("no gateway %q", name)
	}
	n := p.rig.Nodes[i]
	p.mu.Lock()
	if fence <= p.fences[name] {
		p.Fenced++
		p.mu.Unlock()
		return fmt.Errorf("fence %d of %s is of the past, %d was here", fence, name, p.fences[name])
	}
	p.fences[name] = fence
	at := len(p.outs)
	p.outs = append(p.outs, Outage{Name: name, Version: version, Fence: fence, From: time.Now()})
	p.mu.Unlock()
	p.rig.note("replace %s by version %s under fence %d", name, version, fence)
	if err := n.Stop(); err != nil {
		return err
	}
	n.Version = version
	if p.Before != nil {
		if err := p.Before(n, version); err != nil {
			return err
		}
	}
	if err := n.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outs[at].To = time.Now()
	return nil
}

// Outages are all so far.
func (p *Replacer) Outages() []Outage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.outs)
}

// Most is how many were out at once at the most, and how often each gateway went out for a version.
func (p *Replacer) Most() (most int, times map[string]int) {
	all := p.Outages()
	times = map[string]int{}
	for _, a := range all {
		times[a.Name+" "+a.Version]++
		n := 0
		for _, b := range all {
			if !b.From.After(a.From) && (b.To.IsZero() || b.To.After(a.From)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most, times
}

// Close ends it.
func (p *Replacer) Close() {
	close(p.stop)
	p.done.Wait()
}
