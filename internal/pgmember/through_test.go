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
	"sync/atomic"
	"testing"
	"time"

	"reachwind/decide"
	"reachwind/internal/activesettings"
	"reachwind/internal/core"
	"reachwind/internal/pgfront"
	"reachwind/internal/pgwire"
)

// alwaysRetry is a fake decision module: it sends each request to m, again after each outcome that does not end it, and
// cancels reads whose client has left.
type alwaysRetry struct {
	mu          sync.Mutex
	sent        map[uint64]int  // attempts by request
	attemptsOut int             // attempts under way
	clientsGone int             // requests whose client has left
	writes      map[uint64]bool // writes, which it does not cancel
}

func (d *alwaysRetry) Step(_ core.Time, events []decide.Event, out []decide.Action) []decide.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range events {
		switch {
		case e.Kind == decide.Arrive, e.Kind == decide.Outcome && !e.Ended && d.sent[e.Request] > 0:
			if e.Kind == decide.Arrive && e.ClassDef.Writes() {
				d.writes[e.Request] = true
			}
			d.sent[e.Request]++
			d.attemptsOut++
			out = append(out, decide.Action{Kind: decide.Send, Request: e.Request, Member: "m"})
		case e.Kind == decide.ClientGone:
			d.clientsGone++
			if n := d.sent[e.Request]; n > 0 && !d.writes[e.Request] {
				out = append(out, decide.Action{Kind: decide.Cancel, Request: e.Request, Attempt: n - 1})
			}
			d.sent[e.Request] = 0
		}
		if e.Kind == decide.Outcome {
			d.attemptsOut--
			if e.Ended {
				d.sent[e.Request] = 0
			}
		}
	}
	return out
}

// gatewayFixture is a whole gateway of front, core and pool on real sockets, with one member, whose side the test
// plays.
type gatewayFixture struct {
	t        *testing.T
	module   *alwaysRetry
	front    *pgfront.Server
	bufs     *pgwire.Pool
	addr     string
	accepted chan net.Conn // the member's ends of connections
}

func newGatewayFixture(t *testing.T) *gatewayFixture { return newGatewayFixtureWith(t, Dial) }

// newGatewayFixtureWith is newGatewayFixture with connections to the member that dial opens.
func newGatewayFixtureWith(t *testing.T, dial Dialer) *gatewayFixture {
	g := &gatewayFixture{t: t, module: &alwaysRetry{sent: map[uint64]int{}, writes: map[uint64]bool{}}, bufs: pgwire.NewPool(80, 80), accepted: make(chan net.Conn, 100)}
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
			g.accepted <- c
		}
	}()
	log := slog.New(slog.DiscardHandler)
	owner := core.New(core.NewClock(), g.module, log)
	pool := New(owner, Config{User: "app", Database: "shop", MaxConns: 100, MemberIdleTimeout: time.Hour, ConnectTimeout: 20 * time.Second,
		DrainGrace: time.Second}, g.bufs, dial, log)
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

// client connects a client that sends one request, and returns its connection with the cancel key.
func (g *gatewayFixture) client(id int, write bool) (*net.TCPConn, *bufio.Reader, []byte) {
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
		if typ, body = readMessage(g.t, r); typ == 'K' {
			key = body
		}
	}
	return nc.(*net.TCPConn), r, key
}

// readMessage reads one message and returns its type and body.
func readMessage(t *testing.T, r io.Reader) (byte, []byte) {
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

// cancel sends a CancelRequest with key.
func (g *gatewayFixture) cancel(key []byte) {
	nc, err := net.Dial("tcp4", g.addr)
	if err != nil {
		g.t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	b := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 16), pgwire.CancelRequest)
	_, _ = nc.Write(append(b, key...))
	_, _ = io.Copy(io.Discard, nc)
}

func (g *gatewayFixture) answerStartup(c net.Conn) { (&socketFixture{}).answerStartup(c) }

// waitEnded waits until all clients are closed, every attempt has its outcome and every buffer is released.
func (g *gatewayFixture) waitEnded() {
	g.t.Helper()
	waitFor(g.t, func() bool {
		g.module.mu.Lock()
		defer g.module.mu.Unlock()
		return g.module.attemptsOut == 0 && g.front.OpenConnections() == 0 && g.bufs.FreeLarge()+g.bufs.FreeSmall() == 160
	})
}

// TestBurstOfClientsLeaves: many clients leave, by half-close, reset or cancel, while their requests wait for member
// connections that are slow to be established. Once these are up, none of the requests is written on them.
func TestBurstOfClientsLeaves(t *testing.T) {
	g := newGatewayFixture(t)
	const n = 30
	var clients []*net.TCPConn
	var keys [][]byte
	for i := range n {
		c, _, key := g.client(i, i%2 == 0)
		clients, keys = append(clients, c), append(keys, key)
	}
	var members []net.Conn
	for range n {
		members = append(members, <-g.accepted)
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
	waitFor(t, func() bool { // the module knows of each
		g.module.mu.Lock()
		defer g.module.mu.Unlock()
		return g.module.clientsGone == n
	})
	for _, c := range members {
		g.answerStartup(c)
	}
	for _, c := range clients {
		_ = c.Close()
	}
	g.waitEnded()
	g.client(1000, false) // only this request may be written now
	got := make(chan string, n)
	for _, m := range members {
		go func() {
			query := make([]byte, len(syncMarker)+5)
			if _, err := io.ReadFull(m, query); err != nil {
				return
			}
			body := make([]byte, binary.BigEndian.Uint32(query[len(syncMarker)+1:])-4)
			_, _ = io.ReadFull(m, body)
			got <- string(body)
		}()
	}
	if text := <-got; !strings.Contains(text, "id=1000,") {
		t.Errorf("another request was written: %s", text)
	}
}

// TestCancelDuringStream: after a cancel the rest of a large answer is not passed on, the client's connection ends,
// which shows that the answer is incomplete, and the member's connection is closed.
func TestCancelDuringStream(t *testing.T) {
	g := newGatewayFixture(t)
	_, r, key := g.client(1, false)
	m := <-g.accepted
	g.answerStartup(m)
	readStatement(t, m)
	value := strings.Repeat("v", pgwire.MaxBufferedValue+1000)
	row := "\x00\x01" + string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))) + value
	answer := pgwire.Append(pgwire.Append(nil, 'T', description), 'D', row)
	_, _ = m.Write(answer[:len(answer)-10])
	got := make([]byte, len(answer)-10)
	if _, err := io.ReadFull(r, got); err != nil || !bytes.Equal(got, answer[:len(got)]) {
		t.Fatalf("%v, or not the answer that was sent", err)
	}
	g.cancel(key)
	waitFor(t, func() bool {
		g.module.mu.Lock()
		defer g.module.mu.Unlock()
		return g.module.clientsGone == 1
	})
	_, _ = m.Write(answer[len(answer)-10:])
	if rest, _ := io.ReadAll(r); len(rest) != 0 {
		t.Errorf("%d bytes after the cancel, want none: %.40q", len(rest), rest)
	}
	_, _ = io.Copy(io.Discard, m) // until the gateway closes it
	g.waitEnded()
}

// lateInterruptConn is a connection on which a read that was interrupted while it waited returns the bytes that come next, as
// it may on a busy machine.
type lateInterruptConn struct {
	net.Conn
	enabled     atomic.Bool
	interrupted chan struct{} // closed by the first interruption
	once        sync.Once
}

func (c *lateInterruptConn) SetReadDeadline(t time.Time) error {
	if c.enabled.Load() && !t.IsZero() && t.Before(time.Now()) {
		c.once.Do(func() { close(c.interrupted) })
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *lateInterruptConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.enabled.CompareAndSwap(true, false) {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // the next read is interrupted at once
	}
	return n, err
}

// TestBytesAfterInterruption guards against passing on bytes of a large answer that came after its client had cancelled it.
func TestBytesAfterInterruption(t *testing.T) {
	conns := make(chan *lateInterruptConn, 1)
	g := newGatewayFixtureWith(t, func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := Dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		late := &lateInterruptConn{Conn: nc, interrupted: make(chan struct{})}
		conns <- late
		return late, nil
	})
	_, r, key := g.client(1, false)
	m := <-g.accepted
	g.answerStartup(m)
	readStatement(t, m)
	value := strings.Repeat("v", pgwire.MaxBufferedValue+1000)
	row := "\x00\x01" + string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))) + value
	answer := pgwire.Append(pgwire.Append(nil, 'T', description), 'D', row)
	_, _ = m.Write(answer[:len(answer)-10])
	if _, err := io.ReadFull(r, make([]byte, len(answer)-10)); err != nil {
		t.Fatal(err)
	}
	late := <-conns
	late.enabled.Store(true)
	g.cancel(key)
	<-late.interrupted
	_, _ = m.Write(answer[len(answer)-10:])
	if rest, _ := io.ReadAll(r); len(rest) != 0 {
		t.Errorf("%d bytes after the cancel, want none: %.40q", len(rest), rest)
	}
	g.waitEnded()
}

// TestRequestAfterCancel: a request that its client cancels while a member works on it is abandoned there, the client
// gets one error for it, and its next request is served.
func TestRequestAfterCancel(t *testing.T) {
	g := newGatewayFixture(t)
	c, r, key := g.client(1, false)
	m := <-g.accepted
	g.answerStartup(m)
	readStatement(t, m)
	g.cancel(key)
	if typ, body := readMessage(t, r); typ != 'E' || pgwire.ErrorField(body, 'C') != "57014" {
		t.Errorf("%c %q", typ, body)
	}
	if typ, _ := readMessage(t, r); typ != 'Z' {
		t.Errorf("%c after the answer", typ)
	}
	_, _ = io.Copy(io.Discard, m) // until the gateway closes it
	_, _ = c.Write(pgwire.Append(nil, 'Q', "/* id=2,c=r,d=60000,cluster=0 */ SELECT doc FROM items WHERE id = 'k'\x00"))
	m = <-g.accepted
	g.answerStartup(m)
	readStatement(t, m)
	_, _ = m.Write(pgwire.AppendReadyForQuery(bytes.Clone(servedAnswer)))
	order := ""
	for range 4 {
		typ, _ := readMessage(t, r)
		order += string(typ)
	}
	if order != "TDCZ" {
		t.Errorf("answered %s", order)
	}
	_ = c.Close()
	g.waitEnded()
}
