package pgmember

import (
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// setCut has the system of a connection's owner drop what arrives on it, without a word, as that of a machine that has vanished.
func setCut(t *testing.T, nc net.Conn, cut bool) {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var setErr error
	_ = raw.Control(func(fd uintptr) {
		if cut {
			setErr = syscall.AttachLsf(int(fd), []syscall.SockFilter{*syscall.LsfStmt(syscall.BPF_RET+syscall.BPF_K, 0)})
		} else {
			setErr = syscall.DetachLsf(int(fd))
		}
	})
	if setErr != nil {
		t.Fatal(setErr)
	}
}

// TestVanishedMember guards against a streamed answer that is held for a machine that has vanished, and against one that is lost to
// a network failure that passes before keepalive's time.
func TestVanishedMember(t *testing.T) {
	short := net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}
	if lasts := keepAlive.Idle + time.Duration(keepAlive.Count)*keepAlive.Interval; lasts < 2*27*time.Second || lasts >= maxStreamSilence {
		t.Errorf("keepalive ends a connection after %v, want twice the longest failure that passes and less than %v", lasts, maxStreamSilence)
	}
	reply, want := hungAnswer()
	for name, heals := range map[string]bool{"for good": false, "for 2 s": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newGatewayFixtureWith(t, func(ctx context.Context, addr string) (net.Conn, error) { return dialWith(ctx, addr, short) })
			client, r, _ := g.client(1, false)
			m := <-g.accepted
			g.answerStartup(m)
			readStatement(t, m)
			_, _ = m.Write(reply[:90_000])
			got := make([]byte, 90_000)
			if _, err := io.ReadFull(r, got); err != nil {
				t.Fatal(err)
			}
			setCut(t, m, true)
			began := time.Now()
			if heals {
				time.Sleep(2 * time.Second)
				setCut(t, m, false)
				_, _ = m.Write(reply[90_000:])
			}
			rest := make([]byte, len(want)-len(got))
			n, err := io.ReadFull(r, rest)
			if took := time.Since(began); !heals && (err == nil || took < 3*time.Second || took > 6*time.Second) {
				t.Errorf("%d more bytes after %v, %v", n, took, err)
			}
			if heals && !bytes.Equal(append(got, rest...), want) {
				t.Errorf("%d of %d bytes, %v", n, len(rest), err)
			}
			_ = client.Close()
			g.waitEnded()
		})
	}
}
