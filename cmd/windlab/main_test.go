package main

import (
	"io"
	"os"
	"testing"
)

// TestMain has this program stand for windlab, which experiments start anew.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "spool-writer" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestSpoolKill: SIGKILL while segments are written, in quick form: what was synced is found, nothing corrupt is.
func TestSpoolKill(t *testing.T) {
	if _, err := spoolKill(&lab{out: io.Discard, seed: 7, quick: true, dir: t.TempDir()}); err != nil {
		t.Error(err)
	}
}
