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

// Config is the parsed and validated fleet block of the configuration.
type Config struct {
	Name       string // name of the gateway
	Version    string
	Listen     string
	Advertise  string
	Admin      string // address of the admin API; none if empty
	Seeds      []string
	SeedFile   string
	Council    []string // addresses of the council's voters; no council if empty
	Zone       string
	Region     string
	KeyFile    string
	Keys       *peers.Keys
	Folder     string // folder that keeps the epoch; none if empty
	Events     string // path of the events file; none if empty
	Bytes      int
	Routes     map[string]string
	KeepFailed time.Duration

	SignalWait time.Duration // limit of the wait for a permit after a stop signal
}

const (
	defaultBytesPerSecond, minBytesPerSecond, maxBytesPerSecond = 32 << 10, 4 << 10, 16 << 20
	maxSeeds                                                    = 64
	bytesPerPeer                                                = 1 << 10 // bytes of memory per peer, with its claims and metadata
	plannedPeers                                                = 1024    // number of peers that the memory footprint allows for
	maxDescriptors                                              = 2 + 16 + 8 + 8
)

// ReadConfig parses a fleet block. Faults are recorded in the block.
func ReadConfig(b *edgeconf.Block) Config {
	c := Config{
		Listen:     b.String("listen", ""),
		Advertise:  b.String("advertise", ""),
		Admin:      b.String("admin", ""),
		Seeds:      b.Strings("seeds"),
		SeedFile:   b.FilePath("seed_file"),
		Council:    b.Strings("council"),
		Zone:       b.String("zone", ""),
		Region:     b.String("region", ""),
		KeyFile:    b.FilePath("key_file"),
		Folder:     b.FilePath("folder"),
		Events:     b.FilePath("events"),
		Bytes:      int(b.Size("bytes_per_second", defaultBytesPerSecond, minBytesPerSecond, maxBytesPerSecond)),
		KeepFailed: b.Duration("keep_failed", 24*time.Hour, time.Minute, 30*24*time.Hour),
		Routes:     map[string]string{},

		SignalWait: b.Duration("signal_wait", drain.DefaultSignalWait, 0, time.Minute),
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
	if len(c.Seeds) > maxSeeds {
		b.AddFaultAt("seeds", "%d seeds, want at most %d", len(c.Seeds), maxSeeds)
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

// readSeeds reads a file with one address per line. Comment lines and lines without a valid address are
// skipped.
func readSeeds(path string) (seeds []string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if _, _, err := net.SplitHostPort(line); err == nil && line[0] != '#' && len(seeds) < maxSeeds {
			seeds = append(seeds, line)
		}
	}
	return seeds, nil
}

// Footprint returns the most that the fleet component uses: bytes of memory and file descriptors.
func (c *Config) Footprint() (memory int64, descriptors int) {
	return plannedPeers*bytesPerPeer + int64(2*c.Bytes), maxDescriptors
}
