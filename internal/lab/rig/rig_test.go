package rig

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rig-")
	if err == nil {
		binary = filepath.Join(dir, "reachwind")
		out, e := exec.Command("go", "build", "-o", binary, "reachwind/cmd/reachwind").CombinedOutput()
		if err = e; err != nil {
			fmt.Println(string(out))
		}
	}
	code := 1
	if err == nil {
		code = m.Run()
	} else {
		fmt.Println(err)
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// bound is generous: what must come about is asserted, not how soon.
const bound = 90 * time.Second

func start(t *testing.T, c Config) *Rig {
	t.Helper()
	c.Binary, c.Dir = binary, t.TempDir()
	r, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(r.Timeline())
		}
		r.Close()
	})
	if err := r.StartAll(); err != nil {
		t.Fatal(err)
	}
	return r
}

func until(t *testing.T, what string, held func() error) {
	t.Helper()
	took, err := Until(bound, held)
	if err != nil {
		t.Fatalf("%s: not after %v: %v", what, took, err)
	}
	t.Logf("%s after %v", what, took.Round(10*time.Millisecond))
}

// TestOneCut: three processes find each other, one is cut off and back: verdicts tell which side is whole, and the
// three come to one view again.
func TestOneCut(t *testing.T) {
	r := start(t, Config{Size: 3, Seeds: 1, Zones: []string{"a", "b", "c"}})
	until(t, "one view", func() error { return Common(r.Nodes) })
	until(t, "all whole", func() error { return Verdicts(r.Nodes, "whole") })
	off := r.Nodes[2]
	r.Cut("gw-02 is alone", func(a, b *Node) bool { return a == off || b == off })
	until(t, "the one that is cut off knows it", func() error { return Verdicts(r.Nodes[2:], "alone") })
	until(t, "the others hold one view", func() error { return Common(r.Nodes[:2]) })
	if err := Verdicts(r.Nodes[:2], "whole"); err != nil {
		t.Error(err)
	}
	r.Heal()
	until(t, "one view again", func() error { return Common(r.Nodes) })
	until(t, "all whole again", func() error { return Verdicts(r.Nodes, "whole") })
	if err := r.Nodes[1].Stop(); err != nil {
		t.Error(err)
	}
	until(t, "who left is left", func() error {
		all, err := r.Nodes[0].Members()
		if err == nil && all[1].State != "left" {
			err = fmt.Errorf("gw-01 is %s", all[1].State)
		}
		return err
	})
}
