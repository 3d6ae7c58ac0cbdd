package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["rest-session"] = restSessionCase }

// restCall makes one REST call on a connection of its own. It returns the status and the body, 0 without an answer.
func restCall(method, url string, header map[string]string, body []byte) (status int, got []byte, h http.Header) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	must(err, "request")
	for name, value := range header {
		q.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 15 * time.Second}
	resp, err := client.Do(q)
	if err != nil {
		return 0, []byte(err.Error()), nil
	}
	defer func() { _ = resp.Body.Close() }()
	got, _ = io.ReadAll(resp.Body)
	return resp.StatusCode, got, resp.Header
}

// edgeFile writes a product configuration and returns the environment that names it.
func edgeFile(text string) string {
	path := filepath.Join(tempDir(), "edge.hcl")
	must(os.WriteFile(path, []byte(text), 0o600), "product configuration")
	return "REACHWIND_EDGE=" + path
}

// restSessionCase: sessions write settings and read them again. Half of them speak REST, half PostgreSQL. In the disruption
// the replicas apply the log ten times more slowly for 12 s. A read must see what its session has written.
func restSessionCase() (breaks []string) {
	g := newGroup()
	var machines []*dbMachine
	for i := range 3 {
		// With the log's normal work a replica is busy for half of the time: ten times slower it applies a fifth of what comes.
		m := &dbMachine{id: fmt.Sprintf("s-%d", i), zone: "upper-hill", g: g, work: 40 * time.Millisecond, inlineReport: true, primary: i == 0, slowRate: 0.2}
		must(m.start(), "db machine")
		defer m.stop()
		machines = append(machines, m)
	}
	d := newDiscovery(machines)
	must(d.start(), "discovery")
	rest := freeAddr()
	gw := startGateway(baseConfig("n1", freeAddr(), d, nairobi(1)), []string{edgeFile("rest {\n  listen = \"" + rest + "\"\n}\n")}, nil)
	gw.awaitReady(10 * time.Second)
	end := time.Now().Add(20 * time.Second)
	time.AfterFunc(3*time.Second, func() {
		if trouble {
			rec("the replicas apply the log ten times more slowly for 12 s")
			for _, m := range machines[1:] {
				m.mu.Lock()
				m.slow = true
				m.mu.Unlock()
			}
			time.AfterFunc(12*time.Second, func() {
				rec("the replicas apply the log as usual")
				for _, m := range machines[1:] {
					m.mu.Lock()
					m.slow = false
					m.mu.Unlock()
				}
			})
		}
	})
	var mu sync.Mutex
	var done sync.WaitGroup
	count := map[string]int{}
	add := func(what string) {
		mu.Lock()
		defer mu.Unlock()
		count[what]++
	}
	session := func(front string, i int) {
		defer done.Done()
		item := fmt.Sprintf("%s-building-%d", front, i)
		url := fmt.Sprintf("http://%s/v1/clusters/0/items/%s", rest, item)
		for n := 0; time.Now().Before(end); n++ {
			value := []byte(fmt.Sprintf("setting %d", n))
			id := fmt.Sprintf("%s-%d", item, n)
			var written bool
			var got []byte
			var answered bool
			if front == "rest" {
				status, _, h := restCall("PUT", url, map[string]string{"Reachwind-Class": "control-change", "Reachwind-Session": item, "Reachwind-Request-Id": id + "w", "Reachwind-Deadline-Ms": "5000"}, value)
				rec("PUT %s = %q: status %d, commit %s", item, value, status, h.Get("Reachwind-Position"))
				written = status == 200
				time.Sleep(250 * time.Millisecond)
				status, got, _ = restCall("GET", url, map[string]string{"Reachwind-Class": "my-settings", "Reachwind-Session": item, "Reachwind-Request-Id": id + "r", "Reachwind-Deadline-Ms": "3000"}, nil)
				answered = status == 200
				rec("GET %s: %d %q", item, status, got)
			} else {
				c, err := dialPG(gw.addr)
				if err != nil {
					continue
				}
				q := c.do(writeText(id+"w", "control-change", "", 5000, 0, "", item, value), 6*time.Second)
				written = q.kind == "served"
				g.mu.Lock()
				var commitAt int64
				if rows := g.rows[item]; len(rows) > 0 {
					commitAt = rows[len(rows)-1].at
				}
				g.mu.Unlock()
				time.Sleep(250 * time.Millisecond)
				q = c.do(readText(id+"r", "my-settings", "", 3000, 0, fmt.Sprintf(",after=%d", commitAt), item), 4*time.Second)
				answered, got = q.kind == "served", q.value
				rec("PostgreSQL read of %s after %d: %s %q", item, commitAt, q.kind, got)
				_ = c.Close()
			}
			switch {
			case !written || !answered:
				add(front + " not both served")
			case string(got) != string(value):
				add(front + " stale")
				mu.Lock()
				breaks = append(breaks, fmt.Sprintf("session %s wrote %q, was told so, and 0.25 s later read %q", item, value, got))
				mu.Unlock()
			default:
				add(front + " current")
			}
		}
	}
	for i := range 3 {
		done.Add(2)
		go session("rest", i)
		go session("pg", i)
	}
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	for what, n := range count {
		rec("count: %s %d", what, n)
	}
	gw.copyLog()
	return breaks
}
