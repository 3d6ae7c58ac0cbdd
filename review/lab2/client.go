package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// pgClient is one connection of a PostgreSQL client.
type pgClient struct {
	c net.Conn
	r *bufio.Reader
}

func pgDial(addr string) (*pgClient, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	body := "\x00\x03\x00\x00user\x00app\x00database\x00shop\x00\x00"
	if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(4+len(body))), body...)); err != nil {
		return nil, err
	}
	p := &pgClient{c, bufio.NewReader(c)}
	_, _, err = p.result()
	return p, err
}

// result reads an answer up to ReadyForQuery: the value, or the code of an error; "empty" for an empty query.
func (p *pgClient) result() (value []byte, code string, err error) {
	for {
		_ = p.c.SetReadDeadline(time.Now().Add(20 * time.Second))
		var head [5]byte
		if _, err := io.ReadFull(p.r, head[:]); err != nil {
			return nil, "", err
		}
		body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
		if _, err := io.ReadFull(p.r, body); err != nil {
			return nil, "", err
		}
		switch head[0] {
		case 'D':
			value = body[6:]
		case 'I':
			code = "empty"
		case 'E':
			for _, f := range bytes.Split(body, []byte{0}) {
				if len(f) > 1 && f[0] == 'C' {
					code = string(f[1:])
				}
			}
		case 'Z':
			return value, code, nil
		}
	}
}

func (p *pgClient) query(text string) ([]byte, string, error) {
	if _, err := p.c.Write(msg('Q', text+"\x00")); err != nil {
		return nil, "", err
	}
	return p.result()
}

// pgAsk asks on a new connection, as a client whose former one has ended.
func pgAsk(addr, text string) ([]byte, string, error) {
	p, err := pgDial(addr)
	if err != nil {
		return nil, "", err
	}
	defer p.c.Close()
	return p.query(text)
}

// rest makes a REST request; the deadline is that of the class.
func rest(method, url string, body []byte, headers ...string) (status int, value []byte, h http.Header, err error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Timeout: 20 * time.Second}).Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	value, err = io.ReadAll(resp.Body)
	return resp.StatusCode, value, resp.Header, err
}

// freeAddr returns an address of this machine that nobody listens on.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// site is what a case sets up: the store, and the gateway's files and addresses.
type site struct {
	*store
	dir, listen, rest string
	settings          map[string]any
}

// writeFiles writes the gateway's configuration, its product configuration and its environment, and tells run.sh so.
func (s *site) writeFiles() {
	conf := map[string]any{"name": "n1", "listen": s.listen, "discovery": s.discAddr, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": s.list(), "settings": s.settings}
	text, _ := json.MarshalIndent(conf, "", " ")
	write := func(name, text string) {
		if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
			fatal("%v", err)
		}
	}
	write("config.json", string(text))
	env := "export NODE_NAME=n1 NODE_LISTEN=" + s.listen + " NODE_DISCOVERY=" + s.discAddr + " NODE_CONFIG=" + filepath.Join(s.dir, "config.json") + "\n"
	if s.rest != "" {
		write("edge.hcl", "rest {\n  listen = \""+s.rest+"\"\n}\n")
		env += "export REACHWIND_EDGE=" + filepath.Join(s.dir, "edge.hcl") + "\n"
	}
	write("env.tmp", env)
	if err := os.Rename(filepath.Join(s.dir, "env.tmp"), filepath.Join(s.dir, "env")); err != nil {
		fatal("%v", err)
	}
}

// awaitGateway waits until the gateway answers an empty query, as the front does.
func (s *site) awaitGateway() {
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if _, code, err := pgAsk(s.listen, ""); err == nil && code == "empty" {
			if s.rest != "" {
				if c, err := net.Dial("tcp", s.rest); err != nil {
					continue
				} else {
					c.Close()
				}
			}
			s.rec.logf("the gateway is ready")
			return
		}
	}
	fatal("the gateway is not ready within 30 s")
}

// verdict ends the case.
func (s *site) verdict(broken, checked int, what string) {
	if broken > 0 {
		s.rec.logf("VERDICT: broken %d times of %d: %s", broken, checked, what)
		fmt.Printf("broken %d of %d: %s\n", broken, checked, what)
		os.Exit(1)
	}
	if checked == 0 {
		s.rec.logf("VERDICT: nothing could be checked")
		fmt.Println("nothing could be checked")
		os.Exit(2)
	}
	s.rec.logf("VERDICT: held in %d checks: %s", checked, what)
	fmt.Printf("held in %d checks: %s\n", checked, what)
	os.Exit(0)
}

func grade(name, effect, scope string, aimMs, deadlineMs, windowMs int, value, late float64) map[string]any {
	return map[string]any{"Name": name, "Effect": effect, "KeyScope": scope, "AimUs": aimMs * 1000, "DeadlineUs": deadlineMs * 1000,
		"WindowUs": windowMs * 1000, "Value": value, "LateValue": late, "Stream": false}
}

// heating is the settings of a small deployment like the second one: lists are pushed, sessions carry their last commit,
// answers to reads hold no position but in the report.
func heating() map[string]any {
	return map[string]any{"Instances": 1, "Me": 0, "Zone": "a", "FailureDomains": []string{"a"}, "MachineTypes": []string{"m"}, "Discovery": "push", "Family": "replicas",
		"ResolutionUs": 5000, "OverShareWorth": 1.0, "WorthBy": "request", "WeightSource": "rough",
		"Allowed": map[string]any{"ConnectTimeoutUs": 250000, "IdleCloseUs": 30000000, "MaxRetryAfterUs": 2000000, "MayCancel": true, "MayDuplicate": false,
			"Peers": false, "Probes": true, "RetryAfter": true, "StreamsPerConn": 1, "TryLimit": 6},
		"ClientHabits": map[string]any{"MarksRetry": true},
		"FamilyInfo": map[string]any{"AnswersStamped": false, "CatchUpWaitUs": 0, "ClassBoundUs": []int{200000, 0, 0, 0}, "CountedFromUs": 0,
			"Consistency": []string{"bounded", "session", "any", "write"}, "RoleListed": "start", "ServerChecks": "off", "SessionMarks": "carried", "WaitsForCopy": false},
		"Feedback": map[string]any{"How": "inline", "Names": []string{"x0", "x1"}},
		"Grades": []any{grade("temp-view", "repeatable", "all", 1000, 2500, 5000, 1, 0), grade("my-settings", "repeatable", "all", 1000, 3000, 5000, 1, 0),
			grade("energy-report", "repeatable", "all", 5000, 10000, 5000, 6, 0), grade("control-change", "once", "all", 1200, 5000, 5000, 4, 0.3)},
		"Rules":   map[string]any{"ColdShare": 0.25, "ColdUs": 18000000, "FallMultiple": 3.0, "OverloadForUs": 3000000, "StopSendingWithinUs": 2000000},
		"Tenants": []any{}}
}

// skimap is the settings of a small deployment like the first one.
func skimap() map[string]any {
	return map[string]any{"Instances": 1, "Me": 0, "Zone": "a", "FailureDomains": []string{"a"}, "MachineTypes": []string{"m"}, "Discovery": "ask", "Family": "replicas",
		"ResolutionUs": 5000, "OverShareWorth": 0.1, "WorthBy": "request", "WeightSource": "off",
		"Allowed": map[string]any{"ConnectTimeoutUs": 250000, "IdleCloseUs": 15000000, "MaxRetryAfterUs": 500000, "MayCancel": true, "MayDuplicate": false,
			"Peers": false, "Probes": true, "RetryAfter": true, "StreamsPerConn": 1, "TryLimit": 6},
		"ClientHabits": map[string]any{"MarksRetry": true},
		"FamilyInfo": map[string]any{"AnswersStamped": true, "CatchUpWaitUs": 0, "ClassBoundUs": []int{3000000, 0, 0, 0, 0}, "CountedFromUs": 0,
			"Consistency": []string{"bounded", "session", "any", "fresh", "write"}, "RoleListed": "off", "ServerChecks": "off", "SessionMarks": "remembered", "WaitsForCopy": false},
		"Feedback": map[string]any{"How": "on_probe", "Names": []string{"x0", "x1", "pending", "busy_reqs"}},
		"Grades": []any{grade("map-tiles", "repeatable", "all", 750, 2500, 5000, 2, 0), grade("my-notes", "repeatable", "all", 400, 1500, 5000, 3, 0.2),
			grade("field-info", "repeatable", "all", 750, 3000, 5000, 3, 0), grade("run-status", "repeatable", "all", 300, 750, 5000, 1, 0),
			grade("map-edits", "by_key", "cell", 1000, 3000, 2000, 4, 0.5)},
		"Rules":   map[string]any{"ColdShare": 0.24, "ColdUs": 18000000, "FallMultiple": 2.5, "OverloadForUs": 1000000, "StopSendingWithinUs": 250000, "AskWithinUs": 10000000, "AnswerSlackUs": 20000},
		"Tenants": []any{map[string]any{"Name": "kea-basin", "Fraction": 1.0, "QuotaRps": 200.0}}}
}

func main() {
	time.AfterFunc(110*time.Second, func() { fatal("the case took longer than 110 s") })
	cases := map[string]func(*site, bool){"6": silentDiscovery, "7": movedDiscovery, "8": slowAtEnd, "9": longValue, "10": listing}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fatal("usage: lab2 CASE DIR")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s := &site{dir: os.Args[2], listen: freeAddr()}
	rec := newRecorder(filepath.Join(s.dir, "record.txt"))
	rec.logf("case %s, trouble %v", os.Args[1], trouble)
	s.store = newStore(rec, true, 100*time.Millisecond)
	cases[os.Args[1]](s, trouble)
}

// start starts three machines and discovery, and waits for the gateway.
func (s *site) start(withREST bool) (p, a, b *machine) {
	p, a, b = s.add("db-p", true), s.add("db-a", false), s.add("db-b", false)
	s.discovery()
	if withREST {
		s.rest = freeAddr()
	}
	s.writeFiles()
	s.awaitGateway()
	return p, a, b
}

var lastID int

func newID() string {
	lastID++
	return fmt.Sprintf("%x-%d", os.Getpid(), lastID)
}

func oneLine(v []byte) string { return strings.ReplaceAll(string(v), "\n", " ") }
