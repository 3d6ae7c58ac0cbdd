package restfront

import (
	"net"
	"time"

	"reachwind/internal/edgeconf"
)

// Defaults of the rest block.
const (
	defaultMaxConnections = 256
	maxValueBytes         = 64 << 10 // bytes; the longest value that members accept
	defaultHeaderTimeout  = 2500 * time.Millisecond
	defaultReadTimeout    = 5 * time.Second
	defaultWriteTimeout   = 5 * time.Second
	defaultIdleTimeout    = 30 * time.Second
	defaultCursorLifetime = time.Hour
	connMemoryBytes       = 48 << 10 // bytes that a connection uses, approximately: buffers, header and goroutines
)

// Read reads the rest block of the configuration and reports its faults to b.
func Read(b *edgeconf.Block) Config {
	c := Config{Listen: b.Text("listen", ""), Max: int(b.Int("connections", defaultMaxConnections, 1, 100_000)), Body: b.Size("body", maxValueBytes, 1, maxValueBytes),
		Header: b.Span("header_wait", defaultHeaderTimeout, 10*time.Millisecond, time.Minute), Read: b.Span("read_wait", defaultReadTimeout, 10*time.Millisecond, time.Minute),
		Write: b.Span("write_wait", defaultWriteTimeout, 10*time.Millisecond, time.Minute), Idle: b.Span("idle", defaultIdleTimeout, 100*time.Millisecond, time.Hour),
		Keys: b.File("cursor_keys"), Life: b.Span("cursor_life", defaultCursorLifetime, time.Second, 30*24*time.Hour)}
	if _, err := c.newCursorRing(); err != nil {
		b.FaultAt("cursor_keys", "cursor_keys: %v", err)
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		b.FaultAt("listen", "listen is %q, want an address as \"127.0.0.1:8080\"", c.Listen)
	}
	return c
}

// Footprint returns the maximum use of memory, in bytes, and of file descriptors, the listener included.
func (c *Config) Footprint() (memory int64, files int) {
	return int64(c.Max) * (connMemoryBytes + c.Body), c.Max + maxRefusing + 1 // one for the listener
}
