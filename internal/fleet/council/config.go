package council

import (
	"net"
	"slices"

	"reachwind/internal/edgeconf"
	"reachwind/internal/fleet/agreed"
	"reachwind/internal/fleet/peers"
	"reachwind/internal/fleet/swim"
	"reachwind/internal/fleet/zoneplan"
)

// Config is the parsed and checked council block.
type Config struct {
	Name    string
	Listen  string
	Admin   string
	Folder  string
	KeyFile string
	Keys    *peers.Keys
	Voters  map[string]string // addresses by name, including this voter's own
	Zones   []zoneplan.Zone   // zones whose load the council plans; empty: no planning
	Join    bool              // with an empty folder, join an existing council instead of founding one
}

// Limits on the number of voters.
const (
	MinVoters = 1 // a single voter is for trials only: its loss loses the council
	MaxVoters = 7
)

// LoadConfig reads the council block of a voter's configuration file. It returns an error if the file has faults or no such block.
func LoadConfig(path string) (c *Config, err error) {
	err = edgeconf.Load(path, func(b *edgeconf.Block) {
		b.Blocks("council", false, func(b *edgeconf.Block) {
			read := ReadConfig(b)
			c = &read
		})
		if c == nil {
			b.AddFault("no block council, want one")
		}
	})
	return c, err
}

// ReadConfig reads a council block. Faults are added to the block.
func ReadConfig(b *edgeconf.Block) Config {
	c := Config{Name: b.String("name", ""), Listen: b.String("listen", ""), Admin: b.String("admin", ""), Folder: b.FilePath("folder"), KeyFile: b.FilePath("key_file"),
		Voters: map[string]string{}}
	address := func(in *edgeconf.Block, name, value string) {
		if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
			in.AddFaultAt(name, "%s is %q, want host:port", name, value)
		}
	}
	address(b, "listen", c.Listen)
	address(b, "admin", c.Admin)
	if host, _, err := net.SplitHostPort(c.Admin); err == nil && host != "localhost" {
		if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
			b.AddFaultAt("admin", "admin is %q, want a loopback address", c.Admin)
		}
	}
	b.Blocks("voter", true, func(v *edgeconf.Block) {
		at := v.String("address", "")
		address(v, "address", at)
		if len(v.Label) > swim.MaxNameBytes {
			v.AddFault("a name of %d bytes, want at most %d", len(v.Label), swim.MaxNameBytes)
		}
		c.Voters[v.Label] = at
	})
	b.Blocks("zone", true, func(z *edgeconf.Block) {
		one := zoneplan.Zone{Name: z.Label, Region: z.String("region", ""), Capacity: z.Number("capacity", 0, 0, 1e9)}
		for _, n := range z.Strings("near") {
			one.Neighbours = append(one.Neighbours, zoneplan.Neighbour{Zone: n})
		}
		if len(z.Label) > agreed.MaxTextBytes {
			z.AddFault("a name of %d bytes, want at most %d", len(z.Label), agreed.MaxTextBytes)
		}
		c.Zones = append(c.Zones, one)
	})
	for _, z := range c.Zones {
		for _, n := range z.Neighbours {
			if n.Zone == z.Name || !slices.ContainsFunc(c.Zones, func(o zoneplan.Zone) bool { return o.Name == n.Zone }) {
				b.AddFault("zone %q is near %q, want another zone that has a block", z.Name, n.Zone)
			}
		}
	}
	if len(c.Zones) > agreed.MaxZones {
		b.AddFault("%d zones, want at most %d", len(c.Zones), agreed.MaxZones)
	}
	if _, ok := c.Voters[c.Name]; !ok {
		b.AddFaultAt("name", "name is %q, want that of one of the voters", c.Name)
	}
	if n := len(c.Voters); n < MinVoters || n > MaxVoters || n%2 == 0 {
		b.AddFault("%d voters, want 3, 5 or 7 (1 to try things out)", n)
	}
	if c.Folder == "" {
		b.AddFault("no folder, want one that survives restarts")
	}
	if c.KeyFile == "" {
		b.AddFault("no key_file, want a file with a base64 key of 32 bytes a line")
	} else {
		var err error
		if c.Keys, err = peers.ReadKeys(c.KeyFile); err != nil {
			b.AddFaultAt("key_file", "%v", err)
		}
	}
	return c
}

// names returns the voters' names in sorted order; a founder's ID is its position, counted from 1.
func (c *Config) names() (names []string) {
	for n := range c.Voters {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
