// Command lab plays the cases of the review. Each case starts the gateway as the deploy file says, as a process of its
// own, between stand-ins of clients, db machines and discovery on loopback addresses, and checks one rule of the pages.
//
//	lab CASE FOLDER
//
// It writes what was sent, answered and run to record.txt in the folder. TROUBLE=0 leaves the disruption out. It exits
// with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

var (
	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()
	trouble    = os.Getenv("TROUBLE") != "0"
)

// rec writes one line of the record.
func rec(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		fmt.Fprintf(recordFile, "%9.3f "+format+"\n", append([]any{time.Since(began).Seconds()}, args...)...)
	}
}

// cannotRun is the panic value of a case that could not run.
type cannotRun struct{ why string }

func must(err error, what string) {
	if err != nil {
		panic(cannotRun{what + ": " + err.Error()})
	}
}

var cases = map[string]func() (breaks []string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		os.Exit(2)
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	recordFile = f
	rec("case %s, disruption %v", os.Args[1], trouble)
	code := play(cases[os.Args[1]])
	rec("exit code %d", code)
	_ = f.Close()
	os.Exit(code)
}

func play(run func() []string) (code int) {
	defer stopAll()
	defer func() {
		if e := recover(); e != nil {
			why, ok := e.(cannotRun)
			if !ok {
				panic(e)
			}
			rec("could not run: %s", why.why)
			fmt.Println("could not run:", why.why)
			code = 2
		}
	}()
	breaks := run()
	for i, b := range breaks {
		rec("BROKEN: %s", b)
		if i < 5 {
			fmt.Println("broken:", b)
		}
	}
	if len(breaks) > 0 {
		fmt.Println(len(breaks), "breaks of the rule")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// gateway is a running process of the gateway.
type gateway struct {
	addr, dir string
	cmd       *exec.Cmd
	ended     chan struct{}
	err       error
}

var (
	processMu sync.Mutex
	processes []*gateway
	folders   []string
)

// stopAll ends the processes that the case started and removes its temporary folders.
func stopAll() {
	processMu.Lock()
	defer processMu.Unlock()
	for _, g := range processes {
		_ = g.cmd.Process.Kill()
		<-g.ended
	}
	for _, d := range folders {
		_ = os.RemoveAll(d)
	}
}

func tempDir() string {
	d, err := os.MkdirTemp("", "review-")
	must(err, "temporary folder")
	processMu.Lock()
	defer processMu.Unlock()
	folders = append(folders, d)
	return d
}

// freeAddr returns a free loopback address.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err, "free port")
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startGateway starts the gateway by the deploy file's run command with a configuration, further environment and
// descriptors from 3 on. It does not wait until it is ready.
func startGateway(conf map[string]any, env []string, files []*os.File) *gateway {
	dir := tempDir()
	text, err := json.MarshalIndent(conf, "", " ")
	must(err, "configuration")
	path := filepath.Join(dir, "config.json")
	must(os.WriteFile(path, text, 0o600), "configuration")
	run := os.Getenv("RUN")
	if run == "" {
		run = "exec bin/reachwind serve"
	}
	g := &gateway{addr: conf["listen"].(string), dir: dir, ended: make(chan struct{})}
	g.cmd = exec.Command("/bin/sh", "-c", run)
	g.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + dir, "NODE_NAME=" + conf["name"].(string), "NODE_LISTEN=" + g.addr,
		"NODE_DISCOVERY=" + conf["discovery"].(string), "NODE_CONFIG=" + path}, env...)
	log, err := os.Create(filepath.Join(dir, "log"))
	must(err, "log")
	g.cmd.Stdout, g.cmd.Stderr, g.cmd.ExtraFiles = log, log, files
	must(g.cmd.Start(), "start of the gateway")
	rec("gateway %s started, pid %d, listens on %s", conf["name"], g.cmd.Process.Pid, g.addr)
	processMu.Lock()
	processes = append(processes, g)
	processMu.Unlock()
	go func() {
		g.err = g.cmd.Wait()
		_ = log.Close()
		rec("gateway with pid %d ended: %v", g.cmd.Process.Pid, g.cmd.ProcessState)
		close(g.ended)
	}()
	return g
}

// awaitReady waits until the gateway answers an empty query, as the front does.
func (g *gateway) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := dialPG(g.addr); err == nil {
			q := c.do("", time.Second)
			_ = c.Close()
			if q.kind == "empty" {
				rec("gateway is ready")
				return
			}
		}
	}
	panic(cannotRun{"the gateway is not ready: " + g.logTail()})
}

func (g *gateway) logTail() string {
	text, _ := os.ReadFile(filepath.Join(g.dir, "log"))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-8):], "\n")
}

// copyLog appends the gateway's own log to the record.
func (g *gateway) copyLog() {
	text, _ := os.ReadFile(filepath.Join(g.dir, "log"))
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		rec("gateway's log: %s", line)
	}
}

func (g *gateway) signal(s syscall.Signal) {
	rec("signal %v to the gateway with pid %d", s, g.cmd.Process.Pid)
	_ = g.cmd.Process.Signal(s)
}

func alive(g *gateway) bool {
	select {
	case <-g.ended:
		return false
	default:
		return true
	}
}

func us(ms int) int { return ms * 1000 }

func grade(name, effect, scope string, aim, deadline, window int, value, late float64) map[string]any {
	return map[string]any{"Name": name, "Effect": effect, "KeyScope": scope, "AimUs": us(aim), "DeadlineUs": us(deadline), "WindowUs": us(window),
		"Value": value, "LateValue": late, "Stream": false}
}

func baseConfig(name, listen string, d *discoveryService, settings map[string]any) map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"name": name, "listen": listen, "discovery": d.addr, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": d.whole(), "settings": settings}
}

// skimap returns settings of the site skimap-nz, with the figures of its site file.
func skimap(instances int) map[string]any {
	return map[string]any{"Instances": instances, "Me": 0, "Zone": "akl-east", "Discovery": "ask", "FailureDomains": []string{"akl-east", "chc-south"},
		"Allowed": map[string]any{"ConnectTimeoutUs": us(250), "IdleCloseUs": us(15000), "MaxRetryAfterUs": us(500), "MayCancel": true, "MayDuplicate": false,
			"Peers": false, "Probes": true, "RetryAfter": true, "StreamsPerConn": 1, "TryLimit": 6},
		"ClientHabits": map[string]any{"MarksRetry": true}, "Family": "replicas",
		"FamilyInfo": map[string]any{"AnswersStamped": true, "CatchUpWaitUs": 0, "ClassBoundUs": []int{us(3000), 0, 0, 0, 0},
			"Consistency": []string{"bounded", "session", "any", "fresh", "write"}, "CountedFromUs": 0, "RoleListed": "off", "ServerChecks": "off",
			"SessionMarks": "remembered", "WaitsForCopy": false},
		"Feedback": map[string]any{"How": "on_probe", "Names": []string{"x0", "x1", "pending", "busy_reqs"}},
		"Grades": []any{grade("map-tiles", "repeatable", "all", 750, 2500, 5000, 2, 0), grade("my-notes", "repeatable", "all", 400, 1500, 5000, 3, 0.2),
			grade("field-info", "repeatable", "all", 750, 3000, 5000, 3, 0), grade("run-status", "repeatable", "all", 300, 750, 5000, 1, 0),
			grade("map-edits", "by_key", "cell", 1000, 3000, 2000, 4, 0.5)},
		"OverShareWorth": 0.1, "ResolutionUs": 5000,
		"Rules": map[string]any{"AnswerSlackUs": us(20), "AskWithinUs": us(10000), "ColdShare": 0.24, "ColdUs": us(18000), "FallMultiple": 2.5,
			"OverloadForUs": us(1000), "StopSendingWithinUs": us(250)},
		"Tenants": []any{map[string]any{"Name": "kea-basin", "Fraction": 0.44, "QuotaRps": 108.0}, map[string]any{"Name": "tussock-peak", "Fraction": 0.34, "QuotaRps": 84.0},
			map[string]any{"Name": "red-saddle", "Fraction": 0.22, "QuotaRps": 54.0}}}
}

// nairobi returns settings of the site nairobi-heating, with the figures of its site file.
func nairobi(instances int) map[string]any {
	return map[string]any{"Instances": instances, "Me": 0, "Zone": "upper-hill", "Discovery": "push", "FailureDomains": []string{"upper-hill"},
		"Allowed": map[string]any{"ConnectTimeoutUs": us(250), "IdleCloseUs": us(30000), "MaxRetryAfterUs": us(2000), "MayCancel": true, "MayDuplicate": false,
			"Peers": false, "Probes": true, "RetryAfter": true, "StreamsPerConn": 1, "TryLimit": 6},
		"ClientHabits": map[string]any{"MarksRetry": true}, "Family": "replicas",
		"FamilyInfo": map[string]any{"AnswersStamped": false, "CatchUpWaitUs": 0, "ClassBoundUs": []int{us(200), 0, 0, 0},
			"Consistency": []string{"bounded", "session", "any", "write"}, "CountedFromUs": 0, "RoleListed": "start", "ServerChecks": "off",
			"SessionMarks": "carried", "WaitsForCopy": false},
		"Feedback": map[string]any{"How": "inline", "Names": []string{"x0", "x1"}},
		"Grades": []any{grade("temp-view", "repeatable", "all", 1000, 2500, 5000, 1, 0), grade("my-settings", "repeatable", "all", 1000, 3000, 5000, 1, 0),
			grade("energy-report", "repeatable", "all", 5000, 10000, 5000, 6, 0), grade("control-change", "once", "all", 1200, 5000, 5000, 4, 0.3)},
		"OverShareWorth": 1.0, "ResolutionUs": 5000,
		"Rules": map[string]any{"AnswerSlackUs": us(20), "AskWithinUs": us(10000), "ColdShare": 0.25, "ColdUs": us(18000), "FallMultiple": 3.0,
			"OverloadForUs": us(3000), "StopSendingWithinUs": us(2000)},
		"Tenants": []any{}}
}
