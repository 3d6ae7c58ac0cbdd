// Package proc starts real gateways for experiments and looks at what they cost.
package proc

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Gateway is a gateway's process.
type Gateway struct {
	Addr string
	cmd  *exec.Cmd
	log  *tail
	done chan struct{}
	err  error
}

// tail keeps the last of what is written to it.
type tail struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

const tailMost = 1 << 20

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.buf.Len() > tailMost {
		t.buf.Next(tailMost / 2)
	}
	return t.buf.Write(p)
}

// Binary is where the gateway's program lies: beside this one, or in bin under the current folder.
func Binary() (string, error) {
	me, err := os.Executable()
	if err != nil {
		return "", err
	}
	for _, p := range []string{filepath.Join(filepath.Dir(me), "reachwind"), "bin/reachwind"} {
		if _, err := os.Stat(p); err == nil {
			return filepath.Abs(p)
		}
	}
	return "", errors.New("no reachwind beside this program or in bin: build first")
}

// Start starts a gateway with a configuration that it writes into dir, and an edge configuration unless that
// is empty, and further arguments, and waits until it serves.
func Start(binary, dir string, config []byte, edge string, more ...string) (*Gateway, error) {
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	args := append([]string{"serve", "--config", path}, more...)
	if edge != "" {
		file := filepath.Join(dir, "edge.hcl")
		if err := os.WriteFile(file, []byte(edge), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--edge", file)
	}
	return Run(binary, args, "msg=serving")
}

// Run starts a program and waits until its log holds ready and an address after listen=.
func Run(binary string, args []string, ready string) (*Gateway, error) {
	return With(binary, args, ready, nil, nil)
}

// With is Run, which waits for nothing where ready is empty, with more in the environment and further open files, from descriptor 3 on.
func With(binary string, args []string, ready string, env []string, files []*os.File) (*Gateway, error) {
	g := &Gateway{cmd: exec.Command(binary, args...), log: new(tail), done: make(chan struct{})}
	g.cmd.Env, g.cmd.ExtraFiles = append(os.Environ(), env...), files
	g.cmd.Stderr = g.log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		g.err = g.cmd.Wait()
		close(g.done)
	}()
	if ready == "" {
		return g, nil
	}
	for range 1000 {
		if _, rest, ok := strings.Cut(g.Log(), ready); ok {
			if _, rest, ok = strings.Cut(rest, "listen="); ok {
				g.Addr, _, _ = strings.Cut(rest, " ")
				return g, nil
			}
		}
		select {
		case <-g.done:
			return nil, fmt.Errorf("the process ended: %w: %s", g.err, g.Log())
		case <-time.After(10 * time.Millisecond):
		}
	}
	g.Kill()
	return nil, errors.New("the process does not serve after 10 s")
}

// Log is the last of what the gateway wrote.
func (g *Gateway) Log() string {
	g.log.mu.Lock()
	defer g.log.mu.Unlock()
	return g.log.buf.String()
}

// Ended is closed when the process has ended.
func (g *Gateway) Ended() <-chan struct{} { return g.done }

// Pid is the process's number.
func (g *Gateway) Pid() int { return g.cmd.Process.Pid }

// Signal sends a signal.
func (g *Gateway) Signal(s os.Signal) { _ = g.cmd.Process.Signal(s) }

// Kill ends the process at once.
func (g *Gateway) Kill() {
	_ = g.cmd.Process.Kill()
	<-g.done
}

// Stop ends the process in order, within so long.
func (g *Gateway) Stop(within time.Duration) error {
	g.Signal(syscall.SIGTERM)
	select {
	case <-g.done:
		return g.err
	case <-time.After(within):
		g.Signal(syscall.SIGQUIT) // so that it tells where it stands
		select {
		case <-g.done:
		case <-time.After(time.Second):
			g.Kill()
		}
		return fmt.Errorf("the gateway did not end in time: %s", g.Log())
	}
}

// Cost is what a process has used and holds.
type Cost struct {
	CPU       time.Duration
	Resident  int // bytes
	Anonymous int // bytes of it that belong to no file
}

// Cost reads what the gateway has used.
func (g *Gateway) Cost() (Cost, error) { return CostOf(g.cmd.Process.Pid) }

// PeakMemory returns the most memory, in bytes, that the process has held in RAM so far.
func (g *Gateway) PeakMemory() (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.Pid()))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			kb, err := strconv.Atoi(f[1])
			return kb << 10, err
		}
	}
	return 0, errors.New("the process has ended")
}

// scheduled is how long the threads of a process ran, to the nanosecond, 0 where the system does not tell. Clock ticks
// charge a process that wakes with the tick for all of it.
func scheduled(pid int) (sum time.Duration) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, t := range tasks {
		text, err := os.ReadFile(t)
		if f := strings.Fields(string(text)); err == nil && len(f) > 0 {
			ns, _ := strconv.ParseInt(f[0], 10, 64)
			sum += time.Duration(ns)
		}
	}
	return sum
}

// CostOf reads what a process has used.
func CostOf(pid int) (c Cost, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return c, err
	}
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const user, system, hz = 11, 12, 100 // of what follows the name; clock ticks a second
	u, _ := strconv.Atoi(f[user])
	s, _ := strconv.Atoi(f[system])
	c.CPU = time.Duration(u+s) * time.Second / hz
	if exact := scheduled(pid); exact > 0 {
		c.CPU = exact
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return c, err
	}
	for line := range strings.Lines(string(status)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		kb, _ := strconv.Atoi(f[1])
		switch f[0] {
		case "VmRSS:":
			c.Resident = kb << 10
		case "RssAnon:":
			c.Anonymous = kb << 10
		}
	}
	return c, nil
}
