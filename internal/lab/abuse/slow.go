package abuse

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"reachwind/internal/pgwire"
)

const (
	slowPiece       = 40 // bytes that a slow client writes at a time
	slowInterval    = 5 * time.Millisecond
	unreadAnswers   = 8
	restHeaderBytes = 15 << 10 // of a head, a little less than a REST front takes
)

// SlowPostgresKinds returns the kinds of clients that speak PostgreSQL and hold memory, by writing or reading slowly. class is
// a class of reads; item is an item with a large value, streamedItem one whose value is too large to be buffered.
func SlowPostgresKinds(class, item, streamedItem string) []Kind {
	startup := string(pgwire.AppendStartup(nil, "app", "shop"))
	large := startup + string(pgwire.Append(nil, 'Q', "/* id=half,c="+class+",d=1000,cluster=0 */ SELECT doc FROM items WHERE id = 'hut' -- "+strings.Repeat("x", largeStatement), "\x00"))
	return []Kind{
		held("half of a large statement", func(ctx context.Context, nc net.Conn) { _, _ = io.WriteString(nc, large[:len(large)/2]) }),
		held("large statements written slowly", func(ctx context.Context, nc net.Conn) { writeSlowly(ctx, nc, large) }),
		held("large answers that are not read", func(_ context.Context, nc net.Conn) { askWithoutReading(nc, class, item) }),
		held("streamed answers that are not read", func(_ context.Context, nc net.Conn) { askWithoutReading(nc, class, streamedItem) }),
		held("half of a startup", func(ctx context.Context, nc net.Conn) { _, _ = io.WriteString(nc, startup[:len(startup)/2]) }),
	}
}

// askWithoutReading sends several statements for an item at once.
func askWithoutReading(nc net.Conn, class, item string) {
	_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
	text := pgwire.AppendStartup(nil, "app", "shop")
	for i := range unreadAnswers {
		text = append(text, pgwire.Append(nil, 'Q', fmt.Sprintf("/* id=%p-%d,c=%s,d=3000,cluster=0 */ SELECT doc FROM items WHERE id = '%s'", nc, i, class, item), "\x00")...)
	}
	_, _ = nc.Write(text)
}

// SlowRESTKinds returns the kinds of clients that speak HTTP and hold memory.
func SlowRESTKinds(class, item string) []Kind {
	var head strings.Builder
	head.WriteString("GET /v1/clusters/0/items/hut HTTP/1.1\r\nHost: a\r\n")
	for i := 0; head.Len() < restHeaderBytes; i++ {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	return []Kind{
		held("heads of many short fields", func(ctx context.Context, nc net.Conn) { _, _ = io.WriteString(nc, head.String()) }),
		held("whole heads of many short fields", func(ctx context.Context, nc net.Conn) {
			for range 100 {
				if _, err := io.WriteString(nc, head.String()+"\r\n"); err != nil {
					return
				}
			}
		}),
		held("half of a large value", func(ctx context.Context, nc net.Conn) {
			_, _ = fmt.Fprintf(nc, "PUT /v1/clusters/0/items/hut HTTP/1.1\r\nHost: a\r\nReachwind-Class: map-edits\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s",
				largeStatement, strings.Repeat("x", largeStatement/2))
		}),
		held("large answers that are not read", func(ctx context.Context, nc net.Conn) {
			_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, _ = io.WriteString(nc, strings.Repeat("GET /v1/clusters/0/items/"+item+" HTTP/1.1\r\nHost: a\r\nReachwind-Class: "+class+"\r\n\r\n", unreadAnswers))
		}),
	}
}

// held returns the kind of a client that connects, does something and then holds its connection until the gateway ends it. It
// reads nothing meanwhile.
func held(name string, do func(ctx context.Context, nc net.Conn)) Kind {
	return Kind{name, func(ctx context.Context, addr string, _ int) {
		nc := dial(ctx, addr)
		if nc == nil {
			return
		}
		defer func() { _ = nc.Close() }()
		do(ctx, nc)
		for ctx.Err() == nil && open(nc) {
			pause(ctx, 100*time.Millisecond)
		}
	}}
}

// open reports whether the peer of a connection has not ended it. It writes nothing and reads one byte at most.
func open(nc net.Conn) bool {
	_ = nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := nc.Read(make([]byte, 1))
	netErr, ok := err.(net.Error)
	return err == nil || ok && netErr.Timeout()
}

// writeSlowly writes text in small pieces.
func writeSlowly(ctx context.Context, nc net.Conn, text string) {
	for len(text) > 0 && ctx.Err() == nil {
		n := min(slowPiece, len(text))
		if _, err := io.WriteString(nc, text[:n]); err != nil {
			return
		}
		text = text[n:]
		pause(ctx, slowInterval)
	}
}
