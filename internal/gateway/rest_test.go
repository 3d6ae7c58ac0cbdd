package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"reachwind/internal/record"
	"reachwind/internal/standin/cluster"
	"reachwind/internal/standin/pgclient"
)

// startCluster starts an emulated cluster, which ends with the test.
func startCluster(t *testing.T, conf cluster.Config) *cluster.Cluster {
	t.Helper()
	c, err := cluster.Start(conf)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// startFronts runs a gateway with both fronts before a cluster, and returns their addresses. settings is added to the
// rest block.
func startFronts(t *testing.T, c *cluster.Cluster, settings string) (pg, rest string) {
	t.Helper()
	edge := filepath.Join(t.TempDir(), "edge.hcl")
	if err := os.WriteFile(edge, []byte("rest {\n listen = \"127.0.0.1:0\"\n"+settings+"}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r, w := io.Pipe()
	addr := make(chan string, 1)
	go func() {
		for in := bufio.NewScanner(r); in.Scan(); {
			if _, rest, ok := strings.Cut(in.Text(), `msg="serving REST" listen=`); ok {
				addr <- rest
			}
		}
	}()
	term, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	records := record.NewHandler(slog.NewTextHandler(w, nil))
	go func() {
		done <- Run(term, nil, gatewayFor(t, c), l, Options{EdgePath: edge, Log: slog.New(records), Records: records})
	}()
	t.Cleanup(func() {
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String(), <-addr
}

// requestREST sends a REST request and returns the response and its body. headers are names and values in turn.
func requestREST(t *testing.T, addr, method, path string, body []byte, headers ...string) (*http.Response, []byte) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res, text
}

// TestBothFronts: within a session a write by one protocol is read by the other at once. Equal requests have equal answers
// and verdicts on both, and an idempotency key holds across both.
func TestBothFronts(t *testing.T) {
	c := startCluster(t, cluster.Config{Groups: 1, Replicas: 2, Lag: 50 * time.Millisecond})
	pg, rest := startFronts(t, c, "")
	conn, err := pgclient.Dial(pg, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	write := func(i int, item, value string) (pgclient.Verdict, string) {
		if i%2 == 0 {
			a, err := conn.Do(&pgclient.Request{ID: fmt.Sprint("w", i), Class: "map-edits", Tenant: "kea-basin", Wait: 2 * time.Second, Key: fmt.Sprint("k", i), Item: item, Value: value, Write: true})
			if err != nil {
				t.Fatal(err)
			}
			return a.Verdict, a.Value
		}
		res, text := requestREST(t, rest, "PUT", "/v1/clusters/0/items/"+item, []byte(value), "Reachwind-Class", "map-edits", "Reachwind-Tenant", "kea-basin", "Idempotency-Key", fmt.Sprint("k", i))
		if res.StatusCode != 200 {
			return pgclient.Refused, ""
		}
		return pgclient.Served, string(text)
	}
	for i := 0; ; i++ { // until the primary has been found
		if v, _ := write(1000+i, "warm", "up"); v == pgclient.Served {
			break
		}
		if i > 500 {
			t.Fatal("no write was served")
		}
		time.Sleep(20 * time.Millisecond)
	}
	for i := range 60 {
		item, value := fmt.Sprint("note-", i%7), fmt.Sprint("value ", i)
		if v, back := write(i, item, value); v != pgclient.Served {
			t.Fatalf("write %d: verdict %d", i, v)
		} else if want := value; i%2 == 0 && back != want {
			t.Fatalf("write %d gave %q", i, back)
		}
		for _, class := range []string{"my-notes", "run-status"} { // classes that must read the write at once
			res, text := requestREST(t, rest, "GET", "/v1/clusters/0/items/"+item, nil, "Reachwind-Class", class, "Reachwind-Tenant", "kea-basin", "Reachwind-Deadline-Ms", "700")
			a, err := conn.Do(&pgclient.Request{ID: fmt.Sprint(class, i), Class: class, Tenant: "kea-basin", Wait: 700 * time.Millisecond, Item: item})
			if err != nil {
				t.Fatal(err)
			}
			stored := strings.TrimPrefix(a.Value, `\x`)
			if stored != a.Value {
				stored = fmt.Sprintf("%s", unhex(t, stored))
			}
			if res.StatusCode != 200 || a.Verdict != pgclient.Served || string(text) != stored || stored != value {
				t.Fatalf("%s after write %d: REST status %d %q, PostgreSQL verdict %d %q, want %q", class, i, res.StatusCode, text, a.Verdict, stored, value)
			}
			if res.Header.Get("Reachwind-Position") == "" {
				t.Fatal("no header Reachwind-Position")
			}
			again, _ := requestREST(t, rest, "GET", "/v1/clusters/0/items/"+item, nil, "Reachwind-Class", class, "If-None-Match", res.Header.Get("ETag"))
			if again.StatusCode != http.StatusNotModified {
				t.Fatalf("with its own ETag: status %d, want 304", again.StatusCode)
			}
		}
	}
	for range 3 { // one key on both fronts: the write runs once
		write(2001, "note-0", "once")
		if a, err := conn.Do(&pgclient.Request{ID: fmt.Sprint(time.Now().UnixNano()), Class: "map-edits", Tenant: "kea-basin", Wait: time.Second, Key: "k2001", Item: "note-0", Value: "once", Write: true}); err != nil || a.Verdict != pgclient.Served {
			t.Fatal(a, err)
		}
	}
	if n := c.Runs(0, "k2001"); n != 1 {
		t.Errorf("a write with a key ran %d times, want once", n)
	}
	res, text := requestREST(t, rest, "GET", "/v1/clusters/9/items/x", nil, "Reachwind-Class", "field-info")
	a, err := conn.Do(&pgclient.Request{ID: "none", Class: "field-info", Tenant: "kea-basin", Wait: time.Second, Item: "x", Cluster: 9})
	var problem struct {
		Type         string
		RetryAfterMs int
		MayHaveRun   *bool
	}
	if e := json.Unmarshal(text, &problem); err != nil || e != nil || res.StatusCode != 503 || a.Verdict != pgclient.Refused || problem.Type != "urn:reachwind:problem:refused" ||
		time.Duration(problem.RetryAfterMs)*time.Millisecond != a.After || res.Header.Get("Retry-After") != "1" || problem.MayHaveRun == nil || *problem.MayHaveRun {
		t.Errorf("no such cluster: REST %d %s, PostgreSQL %+v, %v, %v", res.StatusCode, text, a, err, e)
	}
}

func unhex(t *testing.T, s string) []byte {
	t.Helper()
	var b []byte
	if _, err := fmt.Sscanf(s, "%x", &b); err != nil {
		t.Fatal(err)
	}
	return b
}

// TestRESTRefusals: requests that can't be understood get a problem of a certain type and reach no member. Requests of
// ambiguous length, floods and trickles end the connection. The front keeps serving.
func TestRESTRefusals(t *testing.T) {
	c := startCluster(t, cluster.Config{Groups: 1, Replicas: 1})
	_, rest := startFronts(t, c, "connections = 8\n header_wait = \"200ms\"\n read_wait = \"400ms\"\n")
	class := []string{"Reachwind-Class", "field-info"}
	edit := []string{"Reachwind-Class", "map-edits", "Idempotency-Key", "k"}
	for i, tc := range []struct {
		method, path string
		body         int
		headers      []string
		status       int
		kind         string
	}{
		{"GET", "/v1/clusters/0/items/x", 0, nil, 400, "class"},
		{"GET", "/v1/clusters/0/items/x", 0, []string{"Reachwind-Class", "map-edits"}, 400, "class"},
		{"GET", "/v1/clusters/zero/items/x", 0, class, 400, "cluster"},
		{"GET", "/v1/clusters/0/items/%00", 0, class, 400, "id"},
		{"GET", "/v1/clusters/0/items/" + strings.Repeat("x", 300), 0, class, 400, "id"},
		{"GET", "/v1/clusters/0/items/x", 0, append([]string{"Reachwind-Deadline-Ms", "soon"}, class...), 400, "deadline"},
		{"GET", "/v1/clusters/0/items/x", 0, append([]string{"Reachwind-Request-Id", "a */ DROP"}, class...), 400, "request-id"},
		{"GET", "/v1/clusters/0/items/x", 0, append([]string{"Reachwind-Tenant", "a,d=1"}, class...), 400, "tenant"},
		{"PUT", "/v1/clusters/0/items/x", 1, edit[:2], 400, "idempotency-key"},
		{"PUT", "/v1/clusters/0/items/x", 65537, edit, 413, "too-large"},
		{"GET", "/v1/clusters/0/items?limit=501", 0, class, 400, "limit"},
		{"GET", "/v1/clusters/0/items?limit=5&limit=6", 0, class, 400, "query"},
		{"GET", "/v1/clusters/0/items?odd=1", 0, class, 400, "query"},
		{"GET", "/v1/clusters/0/items?cursor=nonsense", 0, class, 400, "cursor-format"},
		{"GET", "/v1/clusters/0/items?cursor=" + strings.Repeat("A", 120), 0, class, 400, "cursor-format"},
		{"GET", "/other", 0, class, 404, "not-found"},
	} {
		res, text := requestREST(t, rest, tc.method, tc.path, make([]byte, tc.body), tc.headers...)
		var p struct{ Type string }
		if err := json.Unmarshal(text, &p); err != nil || res.StatusCode != tc.status || p.Type != "urn:reachwind:problem:"+tc.kind ||
			res.Header.Get("Content-Type") != "application/problem+json" {
			t.Errorf("case %d: %d %s, want %d of type %s", i, res.StatusCode, text, tc.status, tc.kind)
		}
	}
	const head = "PUT /v1/clusters/0/items/x HTTP/1.1\r\nHost: a\r\nReachwind-Class: map-edits\r\nIdempotency-Key: k\r\n"
	for name, raw := range map[string]string{
		"two lengths":          head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
		"length with chunked":  head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n\r\n",
		"bare CR":              strings.Replace(head, "Host: a", "Host: a\rX: b", 1) + "Content-Length: 0\r\n\r\n",
		"no length, noise":     "\x00\x01\x02\r\n\r\n",
		"header flood":         head + strings.Repeat("X-Flood: "+strings.Repeat("f", 500)+"\r\n", 100) + "\r\n",
		"a body that trickles": head + "Content-Length: 100\r\n\r\nab",
		"half a header":        head[:30],
	} {
		nc, err := net.Dial("tcp", rest)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(nc, raw)
		_ = nc.SetReadDeadline(time.Now().Add(20 * time.Second))
		got, err := io.ReadAll(nc)
		_ = nc.Close()
		if bytes.HasPrefix(got, []byte("HTTP/1.1 2")) || bytes.Contains(got, []byte("smuggled")) || bytes.Count(got, []byte("HTTP/1.1")) > 1 {
			t.Errorf("%s: %q, %v", name, got, err)
		}
		if nerr, ok := err.(net.Error); ok && nerr.Timeout() {
			t.Errorf("%s: the connection was left open", name)
		}
	}
	served := 0
	for _, m := range c.Members() {
		served += m.Served
	}
	if served > 0 {
		t.Errorf("%d of the requests reached a member", served)
	}
	var open []net.Conn // connections beyond the limit are refused with a retry time, those within it are served
	for range 12 {
		nc, err := net.Dial("tcp", rest)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, nc)
	}
	refused := 0
	for _, nc := range open {
		_ = nc.SetReadDeadline(time.Now().Add(20 * time.Second))
		got, _ := io.ReadAll(nc)
		if bytes.HasPrefix(got, []byte("HTTP/1.1 503")) {
			refused++
		}
		_ = nc.Close()
	}
	if refused < 4 {
		t.Errorf("%d of 12 connections were refused, want those beyond 8", refused)
	}
	if res, _ := requestREST(t, rest, "GET", "/v1/clusters/0/items/x", nil, class...); res.StatusCode != 200 && res.StatusCode != 503 {
		t.Errorf("a request afterwards: status %d", res.StatusCode)
	}
}

// TestListingsUnderFaults: while listings are paged through two gateways in turn, members die, lag and freeze,
// primaries are elected, and items are added and changed. No page is older than the first, ids come in order and once,
// and items that existed throughout are listed.
func TestListingsUnderFaults(t *testing.T) {
	c := startCluster(t, cluster.Config{Groups: 1, Replicas: 2, Lag: 20 * time.Millisecond, Elect: 200 * time.Millisecond})
	const itemCount = 120
	for i := range itemCount {
		c.Seed(0, fmt.Sprintf("lift-%03d", i*3), fmt.Sprint("state ", i))
	}
	keys := filepath.Join(t.TempDir(), "keys")
	if err := os.WriteFile(keys, []byte("1 "+strings.Repeat("5a", 32)+" - 2026-01-01T00:00:00Z -\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var rest [2]string
	for i := range rest {
		_, rest[i] = startFronts(t, c, fmt.Sprintf("cursor_keys = %q\n", keys))
	}
	end := make(chan struct{})
	var work sync.WaitGroup
	work.Add(1)
	go func() { // one fault after another, in an order given by the seed
		defer work.Done()
		r := rand.New(rand.NewPCG(1, 4))
		for {
			m := c.Members()[r.IntN(3)]
			undo := func() {}
			switch r.IntN(5) {
			case 0:
				m.Kill()
				undo = func() {
					if err := m.Restart(); err != nil {
						t.Error(err)
					}
				}
			case 1:
				m.Freeze(true)
				undo = func() { m.Freeze(false) }
			case 2:
				m.Hang(true)
				undo = func() { m.Hang(false) }
			case 3:
				m.Drain(true)
				undo = func() { m.Drain(false) }
			case 4:
				m.SetLag(time.Duration(r.IntN(400)) * time.Millisecond)
			}
			c.Put(0, fmt.Sprintf("lift-%03d", r.IntN(400)/3*3+1), "new")
			select {
			case <-end:
				undo()
				return
			case <-time.After(time.Duration(50+r.IntN(250)) * time.Millisecond):
				undo()
			}
		}
	}()
	const listings = 40
	pages, tries := 0, 0
	for n := range listings {
		class := []string{"field-info", "map-tiles", "my-notes"}[n%3]
		path, first, last, seen := "/v1/clusters/0/items?prefix=lift-&limit=7", int64(0), "", 0
		for page := 0; path != ""; {
			if tries++; tries > 20000 {
				t.Fatal("the listings did not end within 20000 requests")
			}
			res, text := requestREST(t, rest[(n+page)%2], "GET", path, nil, "Reachwind-Class", class, "Reachwind-Tenant", "kea-basin", "Reachwind-Session", "office")
			if res.StatusCode == 502 || res.StatusCode == 503 { // refused or failed: request the same page again, with the same cursor
				time.Sleep(10 * time.Millisecond)
				continue
			}
			var got struct {
				Items []struct {
					ID    string
					Value []byte
				}
				Cursor string
			}
			if err := json.Unmarshal(text, &got); err != nil || res.StatusCode != 200 {
				t.Fatalf("%d %s: %v", res.StatusCode, text, err)
			}
			var position int64
			_, _ = fmt.Sscan(res.Header.Get("Reachwind-Position"), &position)
			if page == 0 {
				first = position
			}
			if position < first {
				t.Fatalf("listing %d of %s: page %d is of position %d, the first of %d", n, class, page, position, first)
			}
			for _, it := range got.Items {
				var i int
				if _, err := fmt.Sscanf(it.ID, "lift-%d", &i); err != nil || it.ID <= last {
					t.Fatalf("id %q after %q", it.ID, last)
				}
				if last = it.ID; i%3 == 0 {
					seen++
				}
			}
			pages++
			page++
			time.Sleep(5 * time.Millisecond) // so that faults happen between pages
			path = ""
			if link := res.Header.Get("Link"); link != "" {
				path = strings.TrimSuffix(strings.TrimPrefix(link, "<"), `>; rel="next"`)
				if !strings.Contains(path, got.Cursor) {
					t.Fatalf("the link %q does not contain the cursor %q", link, got.Cursor)
				}
			}
		}
		if seen != itemCount {
			t.Fatalf("listing %d of %s has %d of the %d items that were there throughout", n, class, seen, itemCount)
		}
	}
	close(end)
	work.Wait()
	t.Logf("%d listings, %d pages, %d requests", listings, pages, tries)
}
