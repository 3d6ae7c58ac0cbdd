package pgmember

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/pgfront"
	"reachwind/internal/pgwire"
)

// hangFixture is a gateway in virtual time whose member sends a large answer and hangs within it.
type hangFixture struct {
	module  *retryOnce
	pool    *Pool
	owner   *core.Core
	front   *pgfront.Server
	bufs    *pgwire.Pool
	member  net.Conn // the member's end
	client  net.Conn // the client's end
	cancel  func()
	key     []byte        // of the client's connection, for cancel requests
	dialled chan net.Conn // the member's ends of connections
	log     bytes.Buffer  // of the pool; read it once the owner has ended
}

const hungValueSize = pgwire.MaxBufferedValue + 50_000

// hungAnswer returns an answer with a large value as its member writes it and as its client gets it.
func hungAnswer() (reply, want []byte) {
	value := strings.Repeat("0123456789", hungValueSize/10)
	row := "\x00\x01" + string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))) + value
	want = pgwire.Append(pgwire.Append(nil, 'T', description), 'D', row)
	want = pgwire.Append(want, 'C', "SELECT 1\x00")
	return pgwire.AppendReadyForQuery(append(bytes.Clone(want), roleAndPosition...)), pgwire.AppendReadyForQuery(want)
}

// newHangFixture starts a gateway, has a client send its statement and plays the member up to the statement.
func newHangFixture(t *testing.T) *hangFixture {
	t.Helper()
	f := &hangFixture{module: &retryOnce{}, bufs: pgwire.NewPool(8, 8)}
	f.owner = core.New(core.NewClock(), f.module, slog.New(slog.DiscardHandler))
	f.dialled = make(chan net.Conn, 4)
	f.pool, f.front = newPipeGateway(t, f.owner, f.bufs, func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		f.dialled <- far
		return near, nil
	})
	f.pool.log = slog.New(slog.NewTextHandler(&f.log, nil))
	f.owner.SetObserver(f.module)
	ctx, cancel := context.WithCancel(t.Context())
	f.cancel = cancel
	go f.owner.Run(ctx)
	f.client, f.key = f.connect(t, 1)
	f.member = <-f.dialled
	buf := make([]byte, 4<<10)
	_, _ = f.member.Read(buf) // the startup comes in one write
	_, _ = f.member.Write(pgwire.AppendReadyForQuery(pgwire.Append(nil, 'R', "\x00\x00\x00\x00")))
	f.awaitStatement(t)
	return f
}

// awaitStatement plays the member up to its next statement.
func (f *hangFixture) awaitStatement(t *testing.T) {
	t.Helper()
	buf := make([]byte, 4<<10)
	for text := ""; len(text) <= len(syncMarker) || !strings.HasSuffix(text, "\x00"); {
		n, err := f.member.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		text += string(buf[:n])
	}
	_, _ = f.member.Write(markerAnswer)
}

// connect connects a client that sends one statement, and returns its end with its cancel key.
func (f *hangFixture) connect(t *testing.T, id int) (client net.Conn, key []byte) {
	t.Helper()
	client, server := net.Pipe()
	f.front.Handle(server)
	query := pgwire.Append(nil, 'Q', fmt.Sprintf("/* id=%d,c=r,d=400,cluster=0 */ SELECT doc FROM items WHERE id = 'k'\x00", id))
	go func() { _, _ = client.Write(append(pgwire.AppendStartup(nil, "app", "shop"), query...)) }()
	startupAnswer := make([]byte, 1<<10)
	text := ""
	for !strings.HasSuffix(text, readyForQuery) {
		n, err := client.Read(startupAnswer)
		if err != nil {
			t.Fatal(err)
		}
		text += string(startupAnswer[:n])
	}
	_, rest, _ := strings.Cut(text, "K\x00\x00\x00\x0c")
	return client, []byte(rest[:8])
}

// end closes everything and checks that nothing is held.
func (f *hangFixture) end(t *testing.T) {
	t.Helper()
	_ = f.client.Close()
	_ = f.member.Close()
	time.Sleep(2 * time.Second)
	f.owner.Post(func() {
		f.pool.closeIdle(f.pool.members["m"], 0)
		if p, c := f.pool.Sizes(), f.owner.Sizes(); p.Jobs != 0 || c.Requests != 0 {
			t.Errorf("not released: %+v %+v", p, c)
		}
	})
	synctest.Wait()
	if f.bufs.FreeLarge()+f.bufs.FreeSmall() != 16 || f.front.OpenConnections() != 0 {
		t.Errorf("%d of 16 buffers free, %d clients", f.bufs.FreeLarge()+f.bufs.FreeSmall(), f.front.OpenConnections())
	}
	f.cancel()
	synctest.Wait()
}

// TestMemberHangsWithinStreamedAnswer guards against losing a value that has begun because its member hangs for longer than
// any timeout of the gateway and then goes on, wherever in the answer that is.
func TestMemberHangsWithinStreamedAnswer(t *testing.T) {
	reply, want := hungAnswer()
	row := bytes.IndexByte(reply, 'D')
	complete := len(want) - len(readyForQuery) - len("C\x00\x00\x00\x0dSELECT 1\x00")
	end := len(want) - len(readyForQuery)
	for name, places := range map[string][]int{
		"after the header":                          {row + pgwire.RowHeaderSize},
		"within the value":                          {row + 70_001},
		"before its last byte":                      {complete - 1},
		"before CommandComplete":                    {complete},
		"within CommandComplete":                    {complete + 7},
		"between CommandComplete and ReadyForQuery": {end},
		"within a status":                           {end + 9},
		"before ReadyForQuery":                      {len(reply) - len(readyForQuery)},
		"several times":                             {row + 20_000, row + 60_000, complete, end},
	} {
		for _, hang := range []time.Duration{4500 * time.Millisecond, 8 * time.Second, 25 * time.Second} {
			t.Run(fmt.Sprint(name, " ", hang), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newHangFixture(t)
					written := make(chan struct{})
					go func() {
						defer close(written)
						from := 0
						for _, at := range places {
							_, _ = f.member.Write(reply[from:at])
							time.Sleep(hang)
							if free := f.bufs.FreeLarge(); free != 8 {
								t.Errorf("%d of 8 large buffers free while the member hangs", free)
							}
							from = at
						}
						_, _ = f.member.Write(reply[from:])
					}()
					got := make([]byte, len(want))
					if n, err := io.ReadFull(f.client, got); err != nil || !bytes.Equal(got, want) {
						t.Errorf("%d bytes of %d, %v", n, len(want), err)
					}
					<-written
					synctest.Wait()
					if f.module.sent != 1 || fmt.Sprint(f.module.tried) != fmt.Sprint([]decide.Result{decide.Served}) {
						t.Errorf("%d attempts, outcomes %v", f.module.sent, f.module.tried)
					}
					f.end(t)
				})
			})
		}
	}
}

// TestHangBehindValue guards against holding back the end of a value whose member hangs right behind it.
func TestHangBehindValue(t *testing.T) {
	reply, want := hungAnswer()
	value := len(want) - len(readyForQuery)
	for name, memberGoesOn := range map[string]bool{"member goes on": true, "member ends": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHangFixture(t)
				go func() { _, _ = f.member.Write(reply[:value]) }()
				began := time.Now()
				got := make([]byte, len(want))
				if n, err := io.ReadFull(f.client, got[:value]); err != nil || time.Since(began) > 2*time.Second {
					t.Fatalf("%d bytes of %d after %v, %v", n, value, time.Since(began), err)
				}
				time.Sleep(20 * time.Second)
				if memberGoesOn {
					go func() { _, _ = f.member.Write(reply[value:]) }()
				} else {
					_ = f.member.Close()
				}
				if n, err := io.ReadFull(f.client, got[value:]); err != nil || !bytes.Equal(got, want) {
					t.Errorf("%d of the last bytes, %v", n, err)
				}
				f.end(t)
			})
		})
	}
}

// TestStreamAfterProbe guards against the time-out of a probe that was answered ending an answer that its connection streams since.
func TestStreamAfterProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHangFixture(t)
		_, _ = f.member.Write(rowAnswer("v"))
		if _, err := io.ReadFull(f.client, make([]byte, len(servedAnswer)+len(readyForQuery))); err != nil {
			t.Fatal(err)
		}
		f.owner.Post(func() { f.pool.Probe("m") })
		f.awaitStatement(t)
		_, _ = f.member.Write(rowAnswer("x0=1,x1=1"))
		synctest.Wait()
		go func() {
			_, _ = f.client.Write(pgwire.Append(nil, 'Q', "/* id=2,c=r,d=400,cluster=0 */ SELECT doc FROM items WHERE id = 'k'\x00"))
		}()
		f.awaitStatement(t)
		reply, want := hungAnswer()
		go func() {
			_, _ = f.member.Write(reply[:90_000])
			time.Sleep(time.Second)
			_, _ = f.member.Write(reply[90_000:])
		}()
		got := make([]byte, len(want))
		if n, err := io.ReadFull(f.client, got); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%d bytes of %d, %v", n, len(want), err)
		}
		f.end(t)
	})
}

// TestLogOfHungAnswers guards against answers that wait for a silent member without a word to operators: which member it is, how
// many answers wait, for how long, and when that is over.
func TestLogOfHungAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHangFixture(t)
		reply, want := hungAnswer()
		go func() {
			_, _ = f.member.Write(reply[:90_000])
			time.Sleep(25 * time.Second)
			_, _ = f.member.Write(reply[90_000:])
		}()
		if _, err := io.ReadFull(f.client, make([]byte, len(want))); err != nil {
			t.Error(err)
		}
		time.Sleep(2 * time.Second)
		f.end(t)
		lines := strings.Split(strings.TrimSpace(f.log.String()), "\n")
		if len(lines) != 4 || !strings.Contains(lines[2], "member=m open=1 silent=1 longest=2") || !strings.Contains(lines[3], "any more") {
			t.Errorf("%d lines, want one each 10 s and one for the end:\n%s", len(lines), f.log.String())
		}
	})
}

// TestEndOfHungAnswer guards against resources that a value holds for longer than it may: its client leaves or its member ends
// while the member hangs, which ends it at once, or the member sends nothing for the longest time.
func TestEndOfHungAnswer(t *testing.T) {
	reply, _ := hungAnswer()
	for name, tc := range map[string]struct {
		act func(f *hangFixture)
		at  time.Duration
	}{
		"client leaves":   {func(f *hangFixture) { _ = f.client.Close() }, 7 * time.Second},
		"member ends":     {func(f *hangFixture) { _ = f.member.Close() }, 7 * time.Second},
		"longest silence": {func(*hangFixture) {}, maxStreamSilence},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHangFixture(t)
				go func() { _, _ = f.member.Write(reply[:90_000]) }()
				if _, err := io.ReadFull(f.client, make([]byte, 90_000)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(tc.at - time.Second)
				if f.owner.Post(func() {}); f.front.LongAnswers() != 1 {
					t.Errorf("%d long answers before the end", f.front.LongAnswers())
				}
				time.Sleep(time.Second)
				tc.act(f)
				time.Sleep(10 * time.Millisecond)
				if _, err := f.member.Read(make([]byte, 1)); err == nil {
					t.Error("the member's connection is open")
				}
				if n, err := f.client.Read(make([]byte, 1)); err == nil {
					t.Errorf("%d more bytes for the client", n)
				}
				f.end(t)
			})
		})
	}
}

// TestUnreadAnswer guards against an answer that is kept though its client has cancelled it, or though others need its member
// connection, because that client reads nothing; and against one that is ended while there is room.
func TestUnreadAnswer(t *testing.T) {
	reply, _ := hungAnswer()
	for name, tc := range map[string]struct {
		at           time.Duration
		cancel, ends bool
	}{
		"cancelled":            {at: 2 * time.Second, cancel: true, ends: true},
		"room needed":          {at: minUnreadAge + time.Second, ends: true},
		"room needed too soon": {at: minUnreadAge - time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newHangFixture(t)
				f.owner.Post(func() { f.pool.SetMaxConns(1) })
				_ = f.member.SetWriteDeadline(time.Now().Add(time.Minute))
				go func() { _, _ = f.member.Write(reply) }()
				time.Sleep(tc.at)
				other, server := net.Pipe()
				if tc.cancel {
					f.front.Handle(server)
					request := binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 16), pgwire.CancelRequest)
					_, _ = other.Write(append(request, f.key...))
				} else {
					other, _ = f.connect(t, 2)
				}
				go func() { _, _ = io.Copy(io.Discard, other) }()
				time.Sleep(20 * time.Millisecond)
				synctest.Wait()
				if ended := f.front.LongAnswers() == 0; ended != tc.ends {
					t.Errorf("the answer has ended: %v, want %v", ended, tc.ends)
				}
				if made := len(f.dialled); !tc.cancel && (made == 1) != tc.ends {
					t.Errorf("%d connections for the other client", made)
				}
				if len(f.dialled) > 0 {
					_ = (<-f.dialled).Close()
				}
				_ = other.Close()
				f.end(t)
			})
		})
	}
}
