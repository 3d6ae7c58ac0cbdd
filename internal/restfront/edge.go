package restfront

import (
	"net"
	"time"

	"reachwind/internal/edgeconf"
)

// Defaults of the rest block.
const (
	maxUsual    = 256
	bodyUsual   = 64 << 10 // bytes; the longest value that members accept
	headerUsual = 2500 * time.Millisecond
	readUsual   = 5 * time.Second
	writeUsual  = 5 * time.Second
	idleUsual   = 30 * time.Second
	lifeUsual   = time.Hour
	perConn     = 48 << 10 // bytes that a connection uses, approximately: buffers, header and goroutines
)

// Read reads the rest block of the configuration and reports its faults to b.
func Read(b *edgeconf.Block) Config {
	c := Config{Listen: b.Text("listen", ""), Max: int(b.Int("connections", maxUsual, 1, 100_000)), Body: b.Size("body", bodyUsual, 1, bodyUsual),
		Header: b.Span("header_wait", headerUsual, 10*time.Millisecond, time.Minute), Read: b.Span("read_wait", readUsual, 10*time.Millisecond, time.Minute),
		Write: b.Span("write_wait", writeUsual, 10*time.Millisecond, time.Minute), Idle: b.Span("idle", idleUsual, 100*time.Millisecond, time.Hour),
		Keys: b.File("cursor_keys"), Life: b.Span("cursor_life", lifeUsual, time.Second, 30*24*time.Hour)}
	if _, err := c.ring(); err != nil {
		b.FaultAt("cursor_keys", "cursor_keys: %v", err)
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		b.FaultAt("listen", "listen is %q, want an address as \"127.0.0.1:8080\"", c.Listen)
	}
	return c
}

// Footprint returns the maximum use of memory, in bytes, and of file descriptors, the listener included.
func (c *Config) Footprint() (memory int64, files int) {
	return int64(c.Max) * (perConn + c.Body), c.Max + refusedMost + 1 // one for the listener
}
