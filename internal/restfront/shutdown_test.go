package restfront

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"reachwind/decide"
	"reachwind/internal/activesettings"
	"reachwind/internal/call"
	"reachwind/internal/core"
	"reachwind/internal/record"
	"reachwind/internal/standin/pipenet"
)

// valueCore is a core that answers every request with a value at once.
type valueCore struct{ value []byte }

func (v valueCore) Now() core.Time { return core.Time(time.Now().UnixNano()) }
func (v valueCore) Arrive(q *core.Request) {
	q.Client.Answer(core.Answer{Verdict: core.Served, Body: valueAnswer{v.value}})
}
func (v valueCore) Gone(*core.Request)                                      {}
func (v valueCore) RecordFrontOutcome(string, record.Outcome, record.Cause) {}

// valueAnswer is an answer that holds a value.
type valueAnswer struct{ value []byte }

func (a valueAnswer) Value() ([]byte, error) { return a.value, nil }
func (a valueAnswer) Release()               {}

// TestSlowClientAtShutdown guards against cutting off an answer that a slow client is reading at the end of a shutdown, and
// against a shutdown that waits for a client that reads nothing.
func TestSlowClientAtShutdown(t *testing.T) {
	const pace, pause, writeTimeout = 4 << 10, 100 * time.Millisecond, 5 * time.Second
	value := bytes.Repeat([]byte("v"), maxValueBytes)
	for name, tc := range map[string]struct {
		limit    int // bytes after which the client stands still, 0: none
		whole    bool
		from, to time.Duration
	}{
		"slow":         {0, true, time.Second, 2500 * time.Millisecond},
		"stands still": {20 << 10, false, 0, writeTimeout + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				holder, err := activesettings.NewHolder(&decide.Config{Classes: []decide.Class{{Name: "r", Deadline: time.Minute}}})
				if err != nil {
					t.Fatal(err)
				}
				s, err := New(valueCore{value}, Config{MaxConnections: 4, MaxBodyBytes: 1 << 10, HeaderTimeout: time.Minute, ReadTimeout: time.Minute, WriteTimeout: writeTimeout,
					IdleTimeout: time.Minute, Settings: holder, CursorLifetime: time.Minute}, call.NewActiveIDs(), slog.New(slog.DiscardHandler))
				if err != nil {
					t.Fatal(err)
				}
				pipes := new(pipenet.Net)
				l, err := pipes.Listen("rest:0")
				if err != nil {
					t.Fatal(err)
				}
				s.listener = &limitedListener{Listener: l, s: s}
				s.serving.Add(1)
				go func() {
					defer s.serving.Done()
					_ = s.http.Serve(s.listener)
				}()
				nc, err := pipes.Dial(t.Context(), l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				received := make(chan []byte, 1)
				go func() { received <- readSlowly(nc, pace, pause, tc.limit) }()
				if _, err := io.WriteString(nc, "GET /v1/clusters/0/items/a HTTP/1.1\r\nHost: x\r\nReachwind-Class: r\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				time.Sleep(50 * time.Millisecond) // the request is being answered
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				began := time.Now()
				s.Shutdown(ctx)
				if took := time.Since(began); took < tc.from || took > tc.to {
					t.Errorf("took %v, want %v to %v", took, tc.from, tc.to)
				}
				_ = nc.Close()
				if got := <-received; bytes.HasSuffix(got, value) != tc.whole {
					t.Errorf("received %d bytes, whole %v wanted", len(got), tc.whole)
				}
			})
		})
	}
}

// readSlowly reads until the connection ends, pace bytes at a time with a pause, or stands still after limit bytes, 0 for none.
func readSlowly(nc net.Conn, pace int, pause time.Duration, limit int) (all []byte) {
	part := make([]byte, pace)
	for {
		if limit > 0 && len(all) >= limit {
			time.Sleep(time.Minute)
		}
		time.Sleep(pause)
		n, err := nc.Read(part)
		all = append(all, part[:n]...)
		if err != nil {
			return all
		}
	}
}
