package restfront

import (
	"net"
	"time"

	"reachwind/internal/edgeconf"
)

// The defaults.
const (
	maxUsual    = 256
	bodyUsual   = 64 << 10 // the longest value that members take
	headerUsual = 2500 * time.Millisecond
	readUsual   = 5 * time.Second
	writeUsual  = 5 * time.Second
	idleUsual   = 30 * time.Second
	lifeUsual   = time.Hour
	perConn     = 48 << 10 // bytes that a connection holds, about: buffers, header and goroutines
)

// ReadConfig reads the rest block.
func ReadConfig(b *edgeconf.Block) Config {
	c := Config{Listen: b.String("listen", ""), MaxConnections: int(b.Int("connections", maxUsual, 1, 100_000)), MaxBodyBytes: b.Size("body", bodyUsual, 1, bodyUsual),
		HeaderTimeout: b.Duration("header_wait", headerUsual, 10*time.Millisecond, time.Minute), ReadTimeout: b.Duration("read_wait", readUsual, 10*time.Millisecond, time.Minute),
		WriteTimeout: b.Duration("write_wait", writeUsual, 10*time.Millisecond, time.Minute), IdleTimeout: b.Duration("idle", idleUsual, 100*time.Millisecond, time.Hour),
		CursorKeysFile: b.FilePath("cursor_keys"), CursorLifetime: b.Duration("cursor_life", lifeUsual, time.Second, 30*24*time.Hour)}
	if _, err := c.ring(); err != nil {
		b.AddFaultAt("cursor_keys", "cursor_keys: %v", err)
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		b.AddFaultAt("listen", "listen is %q, want an address as \"127.0.0.1:8080\"", c.Listen)
	}
	return c
}

// Footprint is what the front holds at most: bytes of memory, and descriptors.
func (c *Config) Footprint() (memory int64, files int) {
	return int64(c.MaxConnections) * (perConn + c.MaxBodyBytes), c.MaxConnections + refusedMost + 1 // and the listener
}
