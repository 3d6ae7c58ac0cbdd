package handover

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain plays a process of the gateway where the test starts one: it does what it reads, a line each, and says so.
func TestMain(m *testing.M) {
	dir := os.Getenv("HANDOVER_PLAY")
	if dir == "" {
		os.Exit(m.Run())
	}
	b, err := Open(dir)
	if err != nil {
		fmt.Println("refused", err)
		os.Exit(1)
	}
	fmt.Println("open")
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		f := strings.Fields(in.Text())
		n, _ := strconv.Atoi(f[2])
		switch f[0] {
		case "commit":
			b.RecordCommit(1, f[1], time.Duration(n))
		case "add":
			_, err = b.Update("set", func(was []byte) ([]byte, error) { return append(was, byte(n)), nil })
		case "take":
			_, err = b.ReceiveConns(func(nc net.Conn, _ bool) { _, _ = nc.Write([]byte("taken")) })
			b.SetReady(true)
		}
		fmt.Println("done", err)
	}
	os.Exit(0)
}

// process is another process of the gateway.
type process struct {
	*exec.Cmd
	in  io.WriteCloser
	out *bufio.Scanner
}

func start(t *testing.T, dir string) *process {
	t.Helper()
	p := &process{Cmd: exec.Command(os.Args[0])}
	p.Env = append(os.Environ(), "HANDOVER_PLAY="+dir)
	p.in, _ = p.StdinPipe()
	out, _ := p.StdoutPipe()
	p.out = bufio.NewScanner(out)
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.kill() })
	if !p.out.Scan() || p.out.Text() != "open" {
		t.Fatalf("a process did not start: %q", p.out.Text())
	}
	return p
}

func (p *process) tell(format string, a ...any) { _, _ = fmt.Fprintf(p.in, format+"\n", a...) }

func (p *process) kill() {
	_ = p.Process.Kill()
	_ = p.Wait()
}

// TestProcesses has processes come, commit, change a file and be killed in the middle of it, by seed. What one was
// told done is seen by all, in any order of deaths, and the file is always whole.
func TestProcesses(t *testing.T) {
	const steps = 200
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	dir := t.TempDir()
	b, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	newest, added := map[string]int{}, map[byte]bool{}
	var live []*process
	for i := 1; i <= steps; i++ {
		if len(live) < 2 {
			live = append(live, start(t, dir))
		}
		p := live[rng.IntN(len(live))]
		s := "s" + strconv.Itoa(rng.IntN(20))
		commit := rng.IntN(2) == 0
		if commit {
			p.tell("commit %s %d", s, i)
		} else {
			p.tell("add x %d", i)
		}
		if rng.IntN(10) == 0 { // at whatever it is doing
			time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond)
			p.kill()
			live = append(live[:0:0], live...)
			live = live[:copy(live, append(live[:index(live, p)], live[index(live, p)+1:]...))]
		} else if !p.out.Scan() || !strings.HasPrefix(p.out.Text(), "done") {
			t.Fatalf("step %d: %q", i, p.out.Text())
		} else if p.out.Text() == "done <nil>" {
			if commit {
				newest[s] = i
			} else {
				added[byte(i)] = true
			}
		}
		for s, n := range newest {
			if got := b.LastCommit(1, s); got < time.Duration(n) {
				t.Fatalf("step %d: session %s committed at %d, the board says %d", i, s, n, got)
			}
		}
		all, err := b.Load("set")
		if err != nil && !errors.Is(err, ErrMissing) {
			t.Fatalf("step %d: %v", i, err)
		}
		for n := range added {
			if !strings.Contains(string(all), string([]byte{n})) {
				t.Fatalf("step %d: change %d is lost, file has %v", i, n, all)
			}
		}
		if got := len(b.Peers()); got > len(live) {
			t.Fatalf("step %d: %d others live, the board counts %d", i, len(live), got)
		}
	}
}

func index(all []*process, p *process) int {
	for i := range all {
		if all[i] == p {
			return i
		}
	}
	return -1
}

// TestBroken: a board or a file that was cut, flipped, made longer or is of another version is told from a whole one,
// is replaced where nobody lives, and is left alone where somebody does.
func TestBroken(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp("", "handover")
		if err != nil {
			rt.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		b, err := Open(dir)
		if err != nil {
			rt.Fatal(err)
		}
		payload := rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(rt, "payload")
		if err := b.Save("set", payload); err != nil {
			rt.Fatal(err)
		}
		name := rapid.SampledFrom([]string{"set", boardName}).Draw(rt, "file")
		path := filepath.Join(dir, name)
		whole, _ := os.ReadFile(path)
		text := append([]byte(nil), whole...)
		switch rapid.IntRange(0, 2).Draw(rt, "fault") {
		case 0:
			text = text[:rapid.IntRange(0, min(len(text)-1, 200)).Draw(rt, "cut")]
		case 1:
			text[rapid.IntRange(0, 23).Draw(rt, "at")] ^= byte(rapid.IntRange(1, 255).Draw(rt, "flip"))
		case 2:
			text = append(text, make([]byte, rapid.IntRange(1, fileMost+100).Draw(rt, "more"))...)
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			rt.Fatal(err)
		}
		if name == "set" {
			if got, err := b.Load("set"); err == nil {
				rt.Fatalf("a broken file was read: %v", got)
			}
			return
		}
		second, err := Open(dir) // where the first lives
		if second == nil || second.Joined() || !errors.As(err, new(*StateError)) {
			rt.Fatalf("a broken board was taken beside another process: %v", err)
		}
		if o := b.Peers(); len(o) != 1 || o[0].Joined {
			rt.Fatalf("the first sees %v", o)
		}
		second.Close()
		b.Close()
		third, err := Open(dir)
		if err != nil || !third.Joined() {
			rt.Fatalf("a broken board was not replaced where nobody lives: %v", err)
		}
		third.Close()
	})
}

// TestSplit: what two processes may use together stays under the limit once each has seen what the other holds.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(64, 4096).Draw(rt, "limit")
		held := rapid.IntRange(0, limit).Draw(rt, "held")
		may := AllowedShare(limit, []Peer{{Descriptors: held, Older: true}}, false)
		if may > limit-held && may > int(leastPart*float64(limit)) {
			rt.Fatalf("limit %d, the other holds %d: may use %d", limit, held, may)
		}
		if older := AllowedShare(limit, []Peer{{Descriptors: may}}, true); older+may > limit && may > int(leastPart*float64(limit)) && older > int(leastPart*float64(limit)) {
			rt.Fatalf("limit %d: %d and %d", limit, may, older)
		}
		if AllowedShare(limit, nil, false) != limit {
			rt.Fatal("alone it is less than all")
		}
	})
}
