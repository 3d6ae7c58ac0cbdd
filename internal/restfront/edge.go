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

// ReadConfig reads the rest block of the configuration and reports its faults to b.
func ReadConfig(b *edgeconf.Block) Config {
	c := Config{Listen: b.String("listen", ""), MaxConnections: int(b.Int("connections", defaultMaxConnections, 1, 100_000)), MaxBodyBytes: b.Size("body", maxValueBytes, 1, maxValueBytes),
		HeaderTimeout: b.Duration("header_wait", defaultHeaderTimeout, 10*time.Millisecond, time.Minute), ReadTimeout: b.Duration("read_wait", defaultReadTimeout, 10*time.Millisecond, time.Minute),
		WriteTimeout: b.Duration("write_wait", defaultWriteTimeout, 10*time.Millisecond, time.Minute), IdleTimeout: b.Duration("idle", defaultIdleTimeout, 100*time.Millisecond, time.Hour),
		CursorKeysFile: b.FilePath("cursor_keys"), CursorLifetime: b.Duration("cursor_life", defaultCursorLifetime, time.Second, 30*24*time.Hour)}
	if _, err := c.newCursorRing(); err != nil {
		b.AddFaultAt("cursor_keys", "cursor_keys: %v", err)
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		b.AddFaultAt("listen", "listen is %q, want an address as \"127.0.0.1:8080\"", c.Listen)
	}
	return c
}

// Footprint returns the maximum use of memory, in bytes, and of file descriptors, the listener included.
func (c *Config) Footprint() (memory int64, files int) {
	return int64(c.MaxConnections) * (connMemoryBytes + c.MaxBodyBytes), c.MaxConnections + maxRefusing + 1 // one for the listener
}
