// Package abuse plays clients that cost a gateway work without need: they send commands that no member has to see as fast as
// they can, connect again and again, or hold memory by reading and writing slowly. It also plays the well-behaved clients
// beside them, and tells how those were served.
package abuse

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"reachwind/internal/pgwire"
)

// Kind is one way to abuse a gateway. Run plays one client of it until ctx ends; client tells the clients of a kind apart.
type Kind struct {
	Name string
	Run  func(ctx context.Context, addr string, client int)
}

const (
	dialTimeout    = time.Second
	batchCommands  = 64 // commands that are written at once
	largeStatement = 60 << 10
	hugeMessage    = 62914572 // bytes that a message of impossible length announces
)

// Start plays clients of a kind until the returned function is called, which waits for their end.
func Start(kind Kind, addr string, clients int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range clients {
		running.Add(1)
		go func() {
			defer running.Done()
			for ctx.Err() == nil {
				kind.Run(ctx, addr, i)
				pause(ctx, time.Millisecond)
			}
		}()
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// PostgresKinds returns the kinds of clients that speak PostgreSQL. class is a class of reads that needs no session.
func PostgresKinds(class string) []Kind {
	startup := string(pgwire.AppendStartup(nil, "app", "shop"))
	query := func(text string) string { return string(pgwire.Append(nil, 'Q', text, "\x00")) }
	read := func(id, class string, wait, cluster int) string {
		return query(fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ SELECT doc FROM items WHERE id = 'hut'", id, class, wait, cluster))
	}
	sslRequest := "\x00\x00\x00\x08\x04\xd2\x16\x2f"
	tooLong := string([]byte{'Q', hugeMessage >> 24, hugeMessage >> 16 & 0xff, hugeMessage >> 8 & 0xff, hugeMessage & 0xff})
	kinds := []Kind{
		flood("asks for TLS", "", func(int, int64) string { return sslRequest }),
		flood("empty statements", startup, func(int, int64) string { return query("") }),
		flood("SET", startup, func(int, int64) string { return query("SET x = 1") }),
		flood("statements without comment", startup, func(int, int64) string { return query("SELECT 1") }),
		flood("large statements without comment", startup, func(int, int64) string { return query("SELECT '" + strings.Repeat("x", largeStatement) + "'") }),
		flood("unknown classes", startup, func(client int, n int64) string {
			return read(fmt.Sprintf("u%d-%d", client, n), fmt.Sprintf("new-%d-%d", client, n), 1000, 0)
		}),
		flood("Parse and Sync", startup, func(int, int64) string {
			return string(pgwire.Append(pgwire.Append(nil, 'P', "\x00SELECT 1\x00\x00\x00"), 'S'))
		}),
		flood("Sync", startup, func(int, int64) string { return string(pgwire.Append(nil, 'S')) }),
		flood("Flush", startup, func(int, int64) string { return string(pgwire.Append(nil, 'H')) }),
		flood("one id again and again", startup, func(int, int64) string { return read("same", class, 1000, 0) }),
		flood("no time left", startup, func(client int, n int64) string { return read(fmt.Sprintf("z%d-%d", client, n), class, 0, 0) }),
		flood("unknown groups", startup, func(client int, n int64) string {
			return read(fmt.Sprintf("g%d-%d", client, n), class, 1000, 1000+int(n))
		}),
		connections("messages of impossible length with their bytes", startup+tooLong+strings.Repeat("x", 1<<20)),
		connections("startup and end", startup+string(pgwire.Append(nil, 'X'))),
		connections("startups of impossible length", "\x7f\xff\xff\xff"),
		connections("cancel requests", "\x00\x00\x00\x10\x04\xd2\x16\x2e\x00\x00\x00\x01\x00\x00\x00\x01"),
		connections("nothing", ""),
	}
	return kinds
}

// RESTKinds returns the kinds of clients that speak HTTP.
func RESTKinds(class string) []Kind {
	get := func(path, header string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + header + "\r\n" }
	item := "/v1/clusters/0/items/hut"
	return []Kind{
		flood("unknown paths", "", func(int, int64) string { return get("/x", "") }),
		flood("unknown classes", "", func(client int, n int64) string {
			return get(item, fmt.Sprintf("Reachwind-Class: new-%d-%d\r\n", client, n))
		}),
		flood("one id again and again", "", func(int, int64) string {
			return get(item, "Reachwind-Class: "+class+"\r\nReachwind-Request-Id: same\r\n")
		}),
		flood("unknown groups", "", func(_ int, n int64) string {
			return get(fmt.Sprintf("/v1/clusters/%d/items/hut", 1000+n), "Reachwind-Class: "+class+"\r\n")
		}),
		flood("no time left", "", func(int, int64) string {
			return get(item, "Reachwind-Class: "+class+"\r\nReachwind-Deadline-Ms: 0\r\n")
		}),
		connections("requests that are none", "x\r\n\r\n"),
		connections("one request a connection", get("/x", "Connection: close\r\n")),
	}
}

// flood returns the kind of a client that sends prefix once and then commands, as fast as the gateway takes them, and reads
// all that it gets. command returns the n-th command.
func flood(name, prefix string, command func(client int, n int64) string) Kind {
	var sent atomic.Int64 // of all clients and connections, so that numbers are new
	return Kind{name, func(ctx context.Context, addr string, client int) {
		nc := dial(ctx, addr)
		if nc == nil {
			return
		}
		defer func() { _ = nc.Close() }()
		go func() { _, _ = io.Copy(io.Discard, nc) }()
		if _, err := io.WriteString(nc, prefix); err != nil {
			return
		}
		for ctx.Err() == nil {
			var batch strings.Builder
			for range batchCommands {
				batch.WriteString(command(client, sent.Add(1)))
			}
			if _, err := io.WriteString(nc, batch.String()); err != nil {
				return
			}
		}
	}}
}

// connections returns the kind of a client that connects, sends text, reads until the gateway closes and begins anew.
func connections(name, text string) Kind {
	return Kind{name, func(ctx context.Context, addr string, _ int) {
		nc := dial(ctx, addr)
		if nc == nil {
			return
		}
		defer func() { _ = nc.Close() }()
		go func() { _, _ = io.WriteString(nc, text) }()
		if text != "" {
			_, _ = io.Copy(io.Discard, nc)
		}
	}}
}

// dial connects, and closes the connection once ctx has ended. It returns nil if that fails. It connects from loopback addresses
// of its own: many connections from 127.0.0.1 would take ports that members of other tests come back to.
func dial(ctx context.Context, addr string) net.Conn {
	from := &net.TCPAddr{IP: net.IPv4(127, 49, byte(rand.IntN(256)), byte(1+rand.IntN(254)))}
	nc, err := (&net.Dialer{Timeout: dialTimeout, LocalAddr: from}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil
	}
	context.AfterFunc(ctx, func() { _ = nc.Close() })
	return nc
}
