package pgmember

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"reachwind/decide"
	"reachwind/internal/activesettings"
	"reachwind/internal/core"
	"reachwind/internal/pgfront"
	"reachwind/internal/pgwire"
)

// eager stands in for the module: it sends each request to m, again after each outcome that does not end it, and calls
// off the reads that a client has left.
type eager struct {
	mu   sync.Mutex
	sent map[uint64]int // attempts by request
	out  int
	gone int
	runs map[uint64]bool // writes, which are left to run
}

func (d *eager) Step(_ core.Time, events []decide.Event, out []decide.Action) []decide.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		switch {
		case e.Kind == decide.Arrive, e.Kind == decide.Outcome && !e.Ended && d.sent[e.Request] > 0:
			if e.Kind == decide.Arrive && e.ClassDef.Writes() {
				d.runs[e.Request] = true
			}
			d.sent[e.Request]++
			d.out++
			out = append(out, decide.Action{Kind: decide.Send, Request: e.Request, Member: "m"})
		case e.Kind == decide.ClientGone:
			d.gone++
			if n := d.sent[e.Request]; n > 0 && !d.runs[e.Request] {
				out = append(out, decide.Action{Kind: decide.Cancel, Request: e.Request, Attempt: n - 1})
			}
			d.sent[e.Request] = 0
		}
		if e.Kind == decide.Outcome {
			d.out--
			if e.Ended {
				d.sent[e.Request] = 0
			}
		}
	}
	return out
}

// through is a whole gateway of front, core and pool on real sockets, with a member that the test plays.
type through struct {
	t     *testing.T
	mod   *eager
	front *pgfront.Server
	bufs  *pgwire.Pool
	addr  string
	came  chan net.Conn // members' ends
}

func newThrough(t *testing.T) *through {
	g := &through{t: t, mod: &eager{sent: map[uint64]int{}, runs: map[uint64]bool{}}, bufs: pgwire.NewPool(80, 80), came: make(chan net.Conn, 100)}
	member, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := member.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			g.came <- c
		}
	}()
	log := slog.New(slog.DiscardHandler)
	owner := core.New(core.NewClock(), g.mod, log)
	pool := New(owner, Config{User: "app", Database: "shop", MaxConns: 100, MemberIdleTimeout: time.Hour, ConnectTimeout: 20 * time.Second,
		DrainGrace: time.Second}, g.bufs, Dial, log)
	owner.Connect(pool, nil)
	owner.List(decide.ListFull, []core.ListedMember{{Addr: member.Addr().String(), Member: decide.Member{ID: "m"}}})
	book, err := activesettings.NewHolder(&decide.Config{Classes: []decide.Class{{Name: "r", Deadline: time.Minute},
		{Name: "w", Deadline: time.Minute, Consistency: decide.Write}}})
	if err != nil {
		t.Fatal(err)
	}
	g.front = pgfront.New(owner, pgfront.Config{Settings: book, MaxConnections: 100, SpareConnections: 10, StartupTimeout: 20 * time.Second,
		WriteTimeout: 20 * time.Second, LingerTimeout: time.Second}, g.bufs, log)
	clients, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.addr = clients.Addr().String()
	go func() { _ = g.front.Serve(clients) }()
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() {
		owner.Run(ctx)
		close(ran)
	}()
	t.Cleanup(func() {
		cancel()
		<-ran
		_, _ = clients.Close(), member.Close()
	})
	return g
}

// client connects one that asks, and returns the key of its connection.
func (g *through) client(id int, write bool) (*net.TCPConn, *bufio.Reader, []byte) {
	g.t.Helper()
	nc, err := net.Dial("tcp4", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { _ = nc.Close() })
	text := fmt.Sprintf("/* id=%d,c=r,d=60000,cluster=0 */ SELECT doc FROM items WHERE id = 'k'\x00", id)
	if write {
		text = fmt.Sprintf("/* id=%d,c=w,d=60000,cluster=0 */ INSERT INTO items (id, doc) VALUES ('k', '\\x00') RETURNING doc\x00", id)
	}
	_, _ = nc.Write(append(pgwire.AppendStartup(nil, "app", "shop"), pgwire.Append(nil, 'Q', text)...))
	r := bufio.NewReader(nc)
	var key []byte
	for typ := byte(0); typ != 'Z'; {
		var body []byte
		if typ, body = message(g.t, r); typ == 'K' {
			key = body
		}
	}
	return nc.(*net.TCPConn), r, key
}

func message(t *testing.T, r io.Reader) (byte, []byte) {
	t.Helper()
	head := make([]byte, 5)
	if _, err := io.ReadFull(r, head); err != nil {
		t.Fatal(err)
	}
	body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	if _, err := io.ReadFull(r, body); err != nil {
		t.Fatal(err)
	}
	return head[0], body
}

func (g *through) cancel(key []byte) {
	nc, err := net.Dial("tcp4", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	b := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 16), pgwire.CancelRequest)
	_, _ = nc.Write(append(b, key...))
	_, _ = io.Copy(io.Discard, nc)
}

func (g *through) greet(c net.Conn) { (&wires{}).greet(c) }

// ends waits until clients have ended, every attempt has its outcome and every buffer is back.
func (g *through) ends() {
	g.t.Helper()
	until(g.t, func() bool {
		g.mod.mu.Lock()
		defer g.mod.mu.Unlock()
		return g.mod.out == 0 && g.front.OpenConnections() == 0 && g.bufs.FreeLarge()+g.bufs.FreeSmall() == 160
	})
}

// TestBurstLeaves: clients that all leave while their requests wait for connections that are slow to come up, by half-close,
// reset or cancel: once the connections are up, none of the requests is written on them.
func TestBurstLeaves(t *testing.T) {
	g := newThrough(t)
	const n = 30
	var clients []*net.TCPConn
	var keys [][]byte
	for i := range n {
		c, _, key := g.client(i, i%2 == 0)
		clients, keys = append(clients, c), append(keys, key)
	}
	var members []net.Conn
	for range n {
		members = append(members, <-g.came)
	}
	for i, c := range clients {
		switch i % 3 {
		case 0:
			_ = c.CloseWrite()
		case 1:
			_ = c.SetLinger(0)
			_ = c.Close()
		default:
			g.cancel(keys[i])
		}
	}
	until(t, func() bool { // each is heard of
		g.mod.mu.Lock()
		defer g.mod.mu.Unlock()
		return g.mod.gone == n
	})
	for _, c := range members {
		g.greet(c)
	}
	for _, c := range clients {
		_ = c.Close()
	}
	g.ends()
	g.client(1000, false) // what comes on the connections now is its own
	got := make(chan string, n)
	for _, m := range members {
		go func() {
			head := make([]byte, 5)
			if _, err := io.ReadFull(m, head); err != nil {
				return
			}
			body := make([]byte, binary.BigEndian.Uint32(head[1:])-4)
			_, _ = io.ReadFull(m, body)
			got <- string(body)
		}()
	}
	if text := <-got; !strings.Contains(text, "id=1000,") {
		t.Errorf("written in the end: %s", text)
	}
}

// TestCancelWhilePassing: of a large answer on its way the rest is not passed on, the client sees that it is not whole by
// the connection's end, and the member's connection is closed.
func TestCancelWhilePassing(t *testing.T) {
	g := newThrough(t)
	_, r, key := g.client(1, false)
	m := <-g.came
	g.greet(m)
	statement(t, m)
	value := strings.Repeat("v", pgwire.MaxBufferedValue+1000)
	row := "\x00\x01" + string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))) + value
	answer := pgwire.Append(pgwire.Append(nil, 'T', description), 'D', row)
	_, _ = m.Write(answer[:len(answer)-10])
	got := make([]byte, len(answer)-10)
	if _, err := io.ReadFull(r, got); err != nil || !bytes.Equal(got, answer[:len(got)]) {
		t.Fatalf("%v, or another answer", err)
	}
	g.cancel(key)
	until(t, func() bool {
		g.mod.mu.Lock()
		defer g.mod.mu.Unlock()
		return g.mod.gone == 1
	})
	_, _ = m.Write(answer[len(answer)-10:])
	if rest, _ := io.ReadAll(r); len(rest) != 0 {
		t.Errorf("%d bytes more, %.40q", len(rest), rest)
	}
	_, _ = io.Copy(io.Discard, m) // until it is closed
	g.ends()
}

// TestCancelGoesOn: a request that its client cancels while a member has it is called off there, its client is told so
// once, and what it asks next is served.
func TestCancelGoesOn(t *testing.T) {
	g := newThrough(t)
	c, r, key := g.client(1, false)
	m := <-g.came
	g.greet(m)
	statement(t, m)
	g.cancel(key)
	if typ, body := message(t, r); typ != 'E' || pgwire.ErrorField(body, 'C') != "57014" {
		t.Errorf("%c %q", typ, body)
	}
	if typ, _ := message(t, r); typ != 'Z' {
		t.Errorf("%c after the answer", typ)
	}
	_, _ = io.Copy(io.Discard, m) // until it is closed
	_, _ = c.Write(pgwire.Append(nil, 'Q', "/* id=2,c=r,d=60000,cluster=0 */ SELECT doc FROM items WHERE id = 'k'\x00"))
	m = <-g.came
	g.greet(m)
	statement(t, m)
	_, _ = m.Write(pgwire.AppendReadyForQuery(bytes.Clone(served)))
	order := ""
	for range 4 {
		typ, _ := message(t, r)
		order += string(typ)
	}
	if order != "TDCZ" {
		t.Errorf("answered %s", order)
	}
	_ = c.Close()
	g.ends()
}
