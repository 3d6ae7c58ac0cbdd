package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"reachwind/internal/fleet/view"
	"reachwind/internal/gateway"
	"reachwind/internal/pgwire"
	"reachwind/internal/spool"
)

const validConfig = `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"generation":1,"instances":[{"instanceId":"a","lifecycle":"ready"}]},
"settings":{"Instances":1,"Grades":[{"Name":"r","Effect":"repeatable","KeyScope":"all","AimUs":100000,"DeadlineUs":500000}],
"FamilyInfo":{"Consistency":["any"],"ClassBoundUs":[0]}}}`

// TestCheck: command check accepts a valid configuration, and reports a faulty one in one line that names the fault.
func TestCheck(t *testing.T) {
	for name, tc := range map[string]struct{ old, new, want string }{
		"good":      {"", "", ""},
		"json":      {`{"name"`, `{"name`, "invalid character"},
		"listen":    {"127.0.0.1:0", "nowhere", "listen: "},
		"discovery": {"127.0.0.1:1", "", "discovery: "},
		"seed":      {"8c1f", "xyz", "seed: "},
		"memory":    {`"memory_mb":192`, `"memory_mb":1`, "limits: "},
		"sockets":   {`"sockets":1024`, `"sockets":3`, "limits: "},
		"lifecycle": {`"ready"`, `"odd"`, `unknown lifecycle "odd"`},
		"class":     {`"repeatable"`, `"odd"`, `unknown Effect "odd"`},
		"grades":    {`"any"`, ``, "settings: "},
		"aim":       {`"AimUs":100000,`, ``, "latency target and deadline must be above 0"},
	} {
		t.Setenv("NODE_DISCOVERY", "")
		path := filepath.Join(t.TempDir(), "c.json")
		if err := os.WriteFile(path, []byte(strings.Replace(validConfig, tc.old, tc.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		var out, errs strings.Builder
		err := execute([]string{"check", "--config", path}, &out, &errs)
		if tc.want == "" {
			if err != nil || !strings.HasPrefix(out.String(), "ok: n1") {
				t.Errorf("%s: %v, %q", name, err, out.String())
			}
		} else if err == nil || !strings.Contains(err.Error(), tc.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", name, err, tc.want)
		}
	}
}

func TestCommands(t *testing.T) {
	for _, args := range [][]string{{}, {"nonsense"}, {"serve", "twice"}, {"--nonsense"}, {"check", "--config", "/nonexistent"},
		{"version", "--log-level", "odd"}} {
		if err := execute(args, new(strings.Builder), new(strings.Builder)); err == nil {
			t.Errorf("%q: no error", args)
		}
	}
	var out strings.Builder
	if err := execute([]string{"version"}, &out, new(strings.Builder)); err != nil || out.String() != "reachwind "+version+"\n" {
		t.Errorf("version: %q, %v", out.String(), err)
	}
}

// TestRunWithoutMembers: a gateway without members admits a client, refuses its request at once with a
// retry time, and ends on request.
func TestRunWithoutMembers(t *testing.T) {
	c, err := gateway.Parse([]byte(strings.Replace(validConfig, `"settings":{`, `"settings":{"Allowed":{"RetryAfter":true,"MaxRetryAfterUs":70000},`, 1)),
		func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	term, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- gateway.Run(term, nil, c, l, gateway.Options{Log: slog.New(slog.DiscardHandler)}) }()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	out := pgwire.AppendStartup(nil, "app", "shop")
	out = pgwire.Append(out, 'Q', "\x00")
	out = pgwire.Append(out, 'Q', "/* id=1,c=r,d=400,cluster=7 */ SELECT doc FROM items WHERE id = 'k'\x00")
	if _, err := nc.Write(out); err != nil {
		t.Fatal(err)
	}
	r, got := bufio.NewReader(nc), ""
	for ready := 0; ready < 3; {
		head := make([]byte, 5)
		if _, err := io.ReadFull(r, head); err != nil {
			t.Fatal(err)
		}
		typ, n, _ := pgwire.Header(head)
		body := make([]byte, n)
		_, _ = io.ReadFull(r, body)
		switch typ {
		case 'Z':
			ready++
		case 'E':
			got += "E" + pgwire.ErrorField(body, 'C') + " " + pgwire.ErrorField(body, 'D')
		case 'I':
			got += "I "
		}
	}
	if got != "I E53300 70" {
		t.Errorf("answers %q", got)
	}
	stop()
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection ended with %v, want EOF", err)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestReload: on SIGHUP the gateway uses the discovery address that the file names now, and keeps the old configuration if
// the file is broken. SIGHUP never ends the process, not even during shutdown.
func TestReload(t *testing.T) {
	t.Setenv("NODE_DISCOVERY", "")
	path := filepath.Join(t.TempDir(), "c.json")
	called := make(chan int)
	discovery := func(n int) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_ = c.Close() // the call fails and is repeated
				select {
				case called <- n:
				case <-t.Context().Done():
				}
			}
		}()
		return strings.NewReplacer("127.0.0.1:1", l.Addr().String(), `"Instances":1,`, `"Instances":1,"Discovery":"ask",`).Replace(validConfig)
	}
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	first, second := discovery(1), discovery(2)
	write(first)
	logs := make(chan string, 100)
	log := slog.New(slog.NewTextHandler(writerFunc(func(p []byte) (int, error) {
		if s := string(p); strings.Contains(s, "reload") || strings.Contains(s, "stopping") {
			logs <- s
		}
		return len(p), nil
	}), nil))
	c, err := gateway.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- gateway.Serve(c, gateway.Options{ConfigPath: path, Log: log}) }()
	signal := func(s syscall.Signal) { // to the test's own process, which an unhandled SIGHUP would end
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	if n := <-called; n != 1 {
		t.Errorf("discovery %d called at the start", n)
	}
	write(second[:len(second)-9])
	signal(syscall.SIGHUP)
	if s := <-logs; !strings.Contains(s, "reload failed") || strings.Count(s, "\n") != 1 {
		t.Errorf("logged %q", s)
	}
	write(second)
	signal(syscall.SIGHUP)
	for n := <-called; n != 2; n = <-called { // calls of the old address may still be queued
	}
	<-logs
	signal(syscall.SIGTERM)
	<-logs
	signal(syscall.SIGHUP)
	if s := <-logs; !strings.Contains(s, "reloaded") {
		t.Errorf("logged %q", s)
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestSpoolCommands: the spool commands list, print and verify waiting records, of one collector or of all, and change
// nothing.
func TestSpoolCommands(t *testing.T) {
	root := t.TempDir()
	dir := filepath.Join(root, "c-office")
	s, _, err := spool.Open(spool.Dir(dir), spool.Options{Owner: "gw/office", Most: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	for seq := uint64(5); seq < 8; seq++ {
		if err := s.Append([]spool.Record{{Seq: seq, At: time.Hour, Msg: fmt.Appendf(nil, "message %d", seq)}}); err != nil {
			t.Fatal(err)
		}
	}
	run := func(args ...string) (string, error) {
		var out strings.Builder
		err := execute(append([]string{"spool"}, args...), &out, io.Discard)
		return out.String(), err
	}
	for _, d := range []string{root, dir} { // while another process holds the folder open
		if out, err := run("cat", d); err != nil || out != "message 5\nmessage 6\nmessage 7\n" {
			t.Errorf("cat: %q, %v", out, err)
		}
		if out, err := run("ls", d); err != nil || !strings.Contains(out, "3 records wait, numbers 5 to 7") {
			t.Errorf("ls: %q, %v", out, err)
		}
		if out, err := run("verify", d); err != nil || !strings.Contains(out, "3 records read, 0 rotten") {
			t.Errorf("verify: %q, %v", out, err)
		}
	}
	s.Close()
	files, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	text[len(text)-60]++ // in the second of three records
	if err := os.WriteFile(files[0], text, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := run("verify", dir); err == nil {
		t.Errorf("verify of a corrupt record: no error, printed %q", out)
	}
	if _, err := run("ls", filepath.Join(root, "nowhere")); err == nil {
		t.Error("ls of no folder: no error")
	}
}

// TestLogWriterDropsLines: a log reader that stalls does not block those who log, and is told how many lines were dropped.
func TestLogWriterDropsLines(t *testing.T) {
	gate, got := make(chan struct{}), new(strings.Builder)
	w := newLogWriter(writerFunc(func(p []byte) (int, error) {
		<-gate
		return got.Write(p)
	}))
	const lines = 2 * maxQueuedLines
	for range lines {
		_, _ = w.Write([]byte("line\n"))
	}
	close(gate)
	w.lines <- nil
	<-w.done
	_, _ = w.Write([]byte("late\n"))
	if n := strings.Count(got.String(), "line\n"); n < maxQueuedLines || n > maxQueuedLines+1 || !strings.Contains(got.String(), "dropped") {
		t.Errorf("%d lines, %.80q", n, got.String())
	}
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// TestFleetCommands: `fleet rules` prints the table that the code uses, and a gateway that can't be reached gives exit
// code 69.
func TestFleetCommands(t *testing.T) {
	var out strings.Builder
	if err := execute([]string{"fleet", "rules", "--json"}, &out, io.Discard); err != nil {
		t.Fatal(err)
	}
	var rules []view.Rule
	if err := json.Unmarshal([]byte(out.String()), &rules); err != nil || len(rules) != 9*len(view.OperationNames) {
		t.Fatalf("%d rules, %v", len(rules), err)
	}
	for _, r := range rules { // whatever the partition, every gateway serves; only one whose verdict is "whole" borrows or starts a drain
		if strings.HasPrefix(r.Operation, "serve") && !r.Allowed || (r.Operation == "start a drain" || r.Operation == "take larger budgets") && r.Allowed && r.OwnVerdict != "whole" {
			t.Errorf("%+v", r)
		}
	}
	for _, args := range [][]string{{"fleet", "view", "--admin", "127.0.0.1:1"}, {"fleet", "members"}} {
		var e exitError
		if err := execute(args, io.Discard, io.Discard); !errors.As(err, &e) || e.code != 69 || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: %v", args, err)
		}
	}
}
