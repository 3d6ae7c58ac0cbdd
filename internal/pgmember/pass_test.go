package pgmember

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/decide"
	"reachwind/internal/activesettings"
	"reachwind/internal/core"
	"reachwind/internal/pgfront"
	"reachwind/internal/pgwire"
)

// retryOnce is a fake decision module: it sends each request to m, and once more unless its answer has begun.
type retryOnce struct {
	core.Observer
	sent, ended int
	lastResult  decide.Result   // of the last outcome that was reported to it
	tried       []decide.Result // final results of attempts
	verdicts    []core.Verdict
}

func (d *retryOnce) AttemptEnded(_ string, r decide.Result) { d.tried = append(d.tried, r) }
func (d *retryOnce) RequestEnded(_ *core.Request, v core.Verdict, _ core.Time) {
	d.verdicts = append(d.verdicts, v)
}
func (d *retryOnce) Answered(string)     {}
func (d *retryOnce) Probed(string, bool) {}
func (d *retryOnce) DiscoveryAnswered()  {}

func (d *retryOnce) Step(_ core.Time, events []decide.Event, out []decide.Action) []decide.Action {
	for _, e := range events {
		switch {
		case e.Kind == decide.Outcome && e.Ended:
			d.ended, d.lastResult = d.ended+1, e.Result
		case e.Kind == decide.Outcome && d.sent == 2:
			d.ended, d.lastResult = d.ended+1, e.Result
			out = append(out, decide.Action{Kind: decide.Fail, Request: e.Request})
		case e.Kind == decide.Outcome, e.Kind == decide.Arrive:
			d.sent++
			out = append(out, decide.Action{Kind: decide.Send, Request: e.Request, Member: "m", Timeout: 300 * time.Millisecond})
		case e.Kind == decide.ClientGone:
			out = append(out, decide.Action{Kind: decide.Cancel, Request: e.Request})
		}
	}
	return out
}

// fault is what goes wrong with one large answer: at a byte of it, in its messages or at its client.
type fault int

const (
	noFault fault = iota
	memberBreaks
	memberStalls
	memberHangs // and goes on
	badHead
	errorAfter
	badTag
	moreAfter
	clientLeaves
	clientStopsReading
	faultKinds
)

// TestStreamedAnswer streams a large value in random pieces, with each kind of fault at random places. The client gets
// the whole answer or can tell that it is incomplete; each attempt has one outcome, none begins once the client has got
// a byte, and all buffers and connections are released.
func TestStreamedAnswer(t *testing.T) {
	for seed := range uint64(500) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				checkStreamedAnswer(t, rand.New(rand.NewPCG(seed, 1)), fault(seed%uint64(faultKinds)))
			})
		})
	}
}

// newPipeGateway connects owner, which does not run yet, with a pool that has one member and a front.
func newPipeGateway(t *testing.T, owner *core.Core, bufs *pgwire.Pool, dial Dialer) (*Pool, *pgfront.Server) {
	t.Helper()
	log := slog.New(slog.DiscardHandler)
	pool := New(owner, Config{User: "app", Database: "shop", MaxConns: 4, MemberIdleTimeout: 400 * time.Second, ConnectTimeout: 250 * time.Millisecond,
		DrainGrace: 250 * time.Millisecond}, bufs, dial, log)
	owner.Connect(pool, nil)
	owner.List(decide.ListFull, []core.ListedMember{{Addr: "a:1", Member: decide.Member{ID: "m", State: decide.Up}}})
	book, err := activesettings.NewHolder(&decide.Config{Classes: []decide.Class{{Name: "r", Deadline: 400 * time.Millisecond}}})
	if err != nil {
		t.Fatal(err)
	}
	return pool, pgfront.New(owner, pgfront.Config{Settings: book, MaxConnections: 4,
		StartupTimeout: time.Second, WriteTimeout: 5 * time.Second, LingerTimeout: time.Second}, bufs, log)
}

func checkStreamedAnswer(t *testing.T, rnd *rand.Rand, f fault) {
	value := strings.Repeat("0123456789abcdef?", 1+(pgwire.MaxBufferedValue+rnd.IntN(100_000))/17)
	row := "\x00\x01" + string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))) + value
	head := pgwire.Append(nil, 'T', description)
	whole := pgwire.Append(bytes.Clone(head), 'D', row)
	tag := pgwire.Append(nil, 'C', "SELECT 1\x00")
	roleAndPosition := pgwire.AppendParameterStatus(pgwire.AppendParameterStatus(nil, "recovery", "on"), "lsn_ms", "1767225600123")
	reply := pgwire.AppendReadyForQuery(append(append(bytes.Clone(whole), tag...), roleAndPosition...))
	want := pgwire.AppendReadyForQuery(append(bytes.Clone(whole), tag...)) // the client's answer
	at := []int{rnd.IntN(len(reply)), rnd.IntN(80), len(reply) - 1 - rnd.IntN(90)}[rnd.IntN(3)]
	switch f {
	case badHead:
		reply[len(head)+1+rnd.IntN(pgwire.RowHeaderSize-1)] ^= 1 << rnd.IntN(8)
	case errorAfter:
		reply = pgwire.AppendReadyForQuery(append(bytes.Clone(whole), pgwire.AppendError(nil, "ERROR", "53300", "no", "")...))
	case badTag:
		reply = pgwire.AppendReadyForQuery(pgwire.Append(bytes.Clone(whole), 'C', "\x01"))
	case moreAfter:
		reply = append(reply, whole[:1+rnd.IntN(len(whole)-1)]...)
	}
	d := &retryOnce{}
	owner := core.New(core.NewClock(), d, slog.New(slog.DiscardHandler))
	bufs := pgwire.NewPool(8, 8)
	var dialled, out atomic.Int32
	dial := func(context.Context, string) (net.Conn, error) {
		a, b := net.Pipe()
		rnd := rand.New(rand.NewPCG(uint64(at), uint64(dialled.Add(1))))
		out.Add(1)
		go func() {
			defer out.Add(-1)
			defer func() { _ = b.Close() }()
			buf := make([]byte, 4096)
			if _, err := b.Read(buf); err != nil { // the startup comes in one write
				return
			}
			_, _ = b.Write(pgwire.AppendReadyForQuery(pgwire.Append(nil, 'R', "\x00\x00\x00\x00")))
			for {
				for text := ""; len(text) <= len(syncMarker) || !strings.HasSuffix(text, "\x00"); {
					n, err := b.Read(buf)
					if text += string(buf[:n]); err != nil {
						return
					}
				}
				if _, err := b.Write(markerAnswer); err != nil {
					return
				}
				pausing := f == memberBreaks || f == memberStalls || f == memberHangs
				for from := 0; from < len(reply); {
					n := min(1+rnd.IntN(1+rnd.IntN(1<<rnd.IntN(16))), len(reply)-from)
					if pausing && from+n > at {
						n = at - from
					}
					if _, err := b.Write(reply[from : from+n]); err != nil {
						return
					}
					if from += n; (f == memberBreaks || f == memberStalls) && from == at {
						if f == memberStalls {
							_, _ = b.Read(buf) // until the gateway closes
						}
						return
					}
					if pausing && from == at {
						pausing = false
						time.Sleep(time.Duration(rnd.IntN(27_000)) * time.Millisecond)
					}
					if rnd.IntN(50) == 0 {
						time.Sleep(time.Duration(rnd.IntN(80)) * time.Millisecond)
					}
				}
			}
		}()
		return a, nil
	}
	pool, front := newPipeGateway(t, owner, bufs, dial)
	owner.SetObserver(d)
	ctx, cancel := context.WithCancel(t.Context())
	go owner.Run(ctx)
	a, b := net.Pipe()
	front.Handle(b)
	query := pgwire.Append(nil, 'Q', "/* id=1,c=r,d=400,cluster=0 */ SELECT doc FROM items WHERE id = 'k'\x00")
	var got bytes.Buffer
	var ended atomic.Bool
	go func() { _, _ = a.Write(append(pgwire.AppendStartup(nil, "app", "shop"), query...)) }()
	go func() {
		buf, left, rnd := make([]byte, 1<<15), at, rand.New(rand.NewPCG(uint64(at), 0))
		for {
			n, err := a.Read(buf[:1+rnd.IntN(len(buf))])
			got.Write(buf[:n])
			if left -= n; err != nil {
				ended.Store(true)
				return
			}
			if left <= 0 && (f == clientLeaves || f == clientStopsReading) {
				if f == clientLeaves {
					_ = a.Close()
				}
				return
			}
		}
	}()
	time.Sleep(maxStreamSilence + 15*time.Second)
	synctest.Wait()

	_, answer, _ := bytes.Cut(got.Bytes(), []byte("Z\x00\x00\x00\x05I")) // after the startup
	begun, served, last := d.lastResult == decide.Served, bytes.Equal(answer, want), append([]decide.Result{-1}, d.tried...)[len(d.tried)]
	prefix := bytes.HasPrefix(want, answer) && len(answer) <= len(whole)
	switch {
	case d.ended > 1 || len(d.tried) > d.sent || f != clientLeaves && (len(d.tried) < d.sent || d.ended != 1 || len(d.verdicts) != 1):
		t.Errorf("%d sent, %d ended, tried %v, verdicts %v", d.sent, d.ended, d.tried, d.verdicts)
	case f == clientLeaves || f == clientStopsReading: // the client got the beginning of the answer
		if !bytes.HasPrefix(want, answer[:min(len(answer), len(want))]) {
			t.Errorf("%d bytes that are not from the answer", len(answer))
		}
	case f == noFault || f == moreAfter || f == memberHangs && begun:
		if !served || ended.Load() || last != decide.Served {
			t.Errorf("%d bytes of %d, ended %v, outcome %d", len(answer), len(want), ended.Load(), last)
		}
	case (f == memberBreaks || f == memberStalls) && served && last == decide.Served: // after CommandComplete
	case begun && (!ended.Load() || !prefix || last == decide.Served || d.verdicts[0] != core.Failed):
		t.Errorf("begun: %d bytes of %d, ended %v, outcome %d", len(answer), len(want), ended.Load(), last)
	case !begun && (d.sent != 2 || len(answer) == 0 || answer[0] != 'E'):
		t.Errorf("not begun: %q, %d attempts", answer[:min(len(answer), 40)], d.sent)
	}
	keeps := int32(0)
	if f == noFault || f == errorAfter || f == memberHangs && served {
		keeps = 1
	}
	if out.Load() > 1 || f != clientLeaves && f != clientStopsReading && out.Load() != keeps {
		t.Errorf("%d member connections open of %d made, want %d", out.Load(), dialled.Load(), keeps)
	}
	_ = a.Close()
	time.Sleep(10 * time.Second)
	owner.Post(func() {
		pool.closeIdle(pool.members["m"], 0)
		if p, c := pool.Sizes(), owner.Sizes(); p.Jobs != 0 || c.Requests != 0 {
			t.Errorf("not released: %+v %+v", p, c)
		}
	})
	synctest.Wait()
	if bufs.FreeLarge()+bufs.FreeSmall() != 16 || out.Load() != 0 || front.OpenConnections() != 0 {
		t.Errorf("%d of 16 buffers free, %d member connections, %d clients", bufs.FreeLarge()+bufs.FreeSmall(), out.Load(), front.OpenConnections())
	}
	cancel()
	synctest.Wait()
}
