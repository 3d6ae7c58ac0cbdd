package fleet

import (
	"net"
	"os"
	"strings"
	"time"

	"reachwind/internal/edgeconf"
	"reachwind/internal/fleet/drain"
	"reachwind/internal/fleet/peers"
	"reachwind/internal/fleet/swim"
)

// Config is the fleet block, read and checked.
type Config struct {
	Name      string // the gateway's
	Version   string
	Listen    string
	Advertise string
	Admin     string // empty: none
	Seeds     []string
	SeedFile  string
	Council   []string // addresses of its voters; empty: none
	Zone      string
	Region    string
	KeyFile   string
	Keys      *peers.Keys
	Folder    string // empty: none
	Events    string // file; empty: none
	Bytes     int
	Routes    map[string]string
	Keep      time.Duration

	SignalWait time.Duration // that a stop by signal waits for a permit at most
}

const (
	bytesUsual, bytesLeast, bytesMost = 32 << 10, 4 << 10, 16 << 20
	seedsMost                         = 64
	tableBytes                        = 1 << 10 // of memory for each peer, its claims and metas
	peersUsual                        = 1024    // that memory is set aside for
	files                             = 2 + 16 + 8 + 8
)

// ReadConfig reads a fleet block. Faults are the block's.
func ReadConfig(b *edgeconf.Block) Config {
	c := Config{
		Listen:    b.String("listen", ""),
		Advertise: b.String("advertise", ""),
		Admin:     b.String("admin", ""),
		Seeds:     b.Strings("seeds"),
		SeedFile:  b.FilePath("seed_file"),
		Council:   b.Strings("council"),
		Zone:      b.String("zone", ""),
		Region:    b.String("region", ""),
		KeyFile:   b.FilePath("key_file"),
		Folder:    b.FilePath("folder"),
		Events:    b.FilePath("events"),
		Bytes:     int(b.Size("bytes_per_second", bytesUsual, bytesLeast, bytesMost)),
		Keep:      b.Duration("keep_failed", 24*time.Hour, time.Minute, 30*24*time.Hour),
		Routes:    map[string]string{},

		SignalWait: b.Duration("signal_wait", drain.SignalWait, 0, time.Minute),
	}
	address := func(in *edgeconf.Block, name, value string, wanted bool) {
		if value == "" && !wanted {
			return
		}
		if _, port, err := net.SplitHostPort(value); err != nil || port == "" || len(value) > swim.MaxAddrBytes {
			in.AddFaultAt(name, "%s is %q, want host:port", name, value)
		}
	}
	address(b, "listen", c.Listen, true)
	address(b, "advertise", c.Advertise, false)
	address(b, "admin", c.Admin, false)
	if host, _, err := net.SplitHostPort(c.Admin); c.Admin != "" && err == nil {
		if ip := net.ParseIP(host); host != "localhost" && (ip == nil || !ip.IsLoopback()) {
			b.AddFaultAt("admin", "admin is %q, want a loopback address", c.Admin)
		}
	}
	for _, s := range c.Seeds {
		address(b, "seeds", s, true)
	}
	for _, s := range c.Council {
		address(b, "council", s, true)
	}
	if len(c.Council) > 7 {
		b.AddFaultAt("council", "%d voters, want at most 7", len(c.Council))
	}
	if len(c.Seeds) > seedsMost {
		b.AddFaultAt("seeds", "%d seeds, want at most %d", len(c.Seeds), seedsMost)
	}
	if len(c.Zone) > swim.MaxNameBytes || len(c.Region) > swim.MaxNameBytes {
		b.AddFault("zone or region is longer than %d bytes", swim.MaxNameBytes)
	}
	b.Blocks("route", true, func(r *edgeconf.Block) {
		to := r.String("address", "")
		address(r, "address", to, true)
		c.Routes[r.Label] = to
	})
	switch {
	case c.KeyFile == "":
		b.AddFault("no key_file, want a file with a base64 key of 32 bytes a line")
	default:
		var err error
		if c.Keys, err = peers.ReadKeys(c.KeyFile); err != nil {
			b.AddFaultAt("key_file", "%v", err)
		}
	}
	if c.SeedFile != "" {
		if _, err := readSeeds(c.SeedFile); err != nil {
			b.AddFaultAt("seed_file", "%v", err)
		}
	}
	return c
}

// readSeeds reads a file with an address a line.
func readSeeds(path string) (seeds []string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if _, _, err := net.SplitHostPort(line); err == nil && line[0] != '#' && len(seeds) < seedsMost {
			seeds = append(seeds, line)
		}
	}
	return seeds, nil
}

// Footprint is what the part holds at most: bytes and descriptors.
func (c *Config) Footprint() (memory int64, descriptors int) {
	return peersUsual*tableBytes + int64(2*c.Bytes), files
}
