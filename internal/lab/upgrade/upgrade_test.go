package upgrade

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"reachwind/internal/lab/proc"
	"reachwind/internal/standin/cluster"
)

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "upgrade-")
	code := 1
	if err == nil {
		program = filepath.Join(dir, "reachwind")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", program, "reachwind/cmd/reachwind").CombinedOutput(); err == nil {
			code = m.Run()
		}
		fmt.Print(string(out))
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestUpgrades replaces a process several times under clients that dial without end. What goes wrong beside each
// upgrade is drawn: a successor that is killed or stopped while it starts, files that are torn, an old process that is
// killed. No client is refused, no session reads less than it wrote, and where nobody was killed who served, no
// request meets a connection that was closed under it. A machine that operators took out at the first process gets nothing
// through any until they call it back at the last.
func TestUpgrades(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 7))
	c, err := cluster.Start(cluster.Config{Groups: 1, Replicas: 2, Lag: 150 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	p, err := New(program, t.TempDir(), c)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	serving, err := p.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { serving.Kill() }()

	for round, fault := range append([]int{0}, rng.Perm(7)...) {
		stop := make(chan struct{})
		result := make(chan *Faults)
		go func() { result <- p.Clients(12, seed+uint64(round), stop) }()
		time.Sleep(300 * time.Millisecond)
		out := c.Members()[rng.IntN(3)]                      // a machine that operators take out meanwhile, maybe the primary
		said, meanwhile := make(chan bool), rng.IntN(2) == 0 // they call while the next process starts, or before
		former, pause := serving, time.Duration(rng.IntN(400))*time.Millisecond
		go func() {
			if meanwhile {
				time.Sleep(pause)
			}
			say(t, former, out, "suspend")
			close(said)
		}()
		if !meanwhile {
			<-said
		}
		killed := false
		switch fault {
		case 1: // killed at any moment of its start
			g, err := p.Begin()
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			g.Kill()
		case 2: // stalled while it starts, and ended so
			g, err := p.Begin()
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			g.Signal(syscall.SIGSTOP)
			time.Sleep(500 * time.Millisecond)
			g.Kill()
		case 3:
			tear(t, rng, filepath.Join(p.Dir, "reachwind.list"))
		case 4:
			tear(t, rng, filepath.Join(p.Dir, "reachwind.board"))
		case 6: // operators are in the middle of writing the configuration
			p.Torn = true
		case 5: // the old one, in the middle of its work
			killed = true
		}
		next, err := p.Start()
		if err != nil {
			t.Fatalf("round %d, fault %d: %v; the former: %s", round, fault, err, serving.Log())
		}
		p.Torn = false
		<-said
		time.Sleep(time.Second) // far past the time in which what was on its way may still arrive
		took := c.Took(out)
		time.Sleep(300 * time.Millisecond)
		if killed {
			serving.Kill()
		} else if err := End(serving); err != nil {
			t.Errorf("round %d, fault %d: %v: %s", round, fault, err, serving.Log())
		}
		if list := rng.IntN(2) == 0; list { // whatever discovery says meanwhile
			out.Drain(true)
			out.Drain(false)
		}
		time.Sleep(200 * time.Millisecond)
		if now := c.Took(out); now != took {
			t.Errorf("round %d, fault %d: %d requests or probes reached %s while it was taken out\nformer: %s\nnext: %s", round, fault, now-took, out.ID, serving.Log(), next.Log())
		}
		say(t, next, out, "resume")
		for late := time.Now().Add(30 * time.Second); c.Took(out) == took; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(late) {
				t.Errorf("round %d, fault %d: %s was called back, and nothing reached it in 30 s\n%s", round, fault, out.ID, next.Log())
				break
			}
		}
		close(stop)
		f := <-result
		if killed {
			f.Broken, f.Crossed = nil, 0
		}
		if err := f.Err(); err != nil || f.Crossed > 0 && fault != 4 {
			t.Errorf("round %d, fault %d: %v; %d crossed\nformer: %s\nnext: %s", round, fault, err, f.Crossed, serving.Log(), next.Log())
		}
		t.Logf("round %d, fault %d: %d asked, %d served, %d crossed, else %v\n%s", round, fault, f.Asked, f.Served, f.Crossed, f.Codes, next.Log())
		if f.Served == 0 {
			t.Errorf("round %d: nobody was served", round)
		}
		serving = next
	}
}

// say has operators call until the answer is yes.
func say(t *testing.T, g *proc.Gateway, m *cluster.Member, what string) {
	t.Helper()
	var err error
	for range 20 {
		if err = Call(g, "POST", "/v1/db-machines/"+m.ID+"/"+what); err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Errorf("%s %s: %v\n%s", what, m.ID, err, g.Log())
}

// tear cuts or flips a file where its reader would look first.
func tear(t *testing.T, rng *rand.Rand, path string) {
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	next := append([]byte(nil), text...)
	next[rng.IntN(24)] ^= byte(1 + rng.IntN(255))
	if err := os.WriteFile(path+".torn", next, 0o600); err == nil { // the mapped one stays as it is for who maps it
		err = os.Rename(path+".torn", path)
	}
	if err != nil {
		t.Fatal(err)
	}
}
