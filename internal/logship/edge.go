package logship

import (
	"math"
	"time"

	"reachwind/internal/edgeconf"
	"reachwind/internal/logroute"
	"reachwind/internal/record"
	"reachwind/internal/syslog"
	"reachwind/internal/tlskeys"
)

// Names are the classes and tenants that routes may name, in the order of their indexes in records.
type Names struct{ Classes, Tenants []string }

const (
	maxSize   = 1 << 40
	maxSpan   = 366 * 24 * time.Hour
	maxRoutes = 64
)

// Read reads the syslog block of the edge configuration. Faults are added to the block; the returned configuration is
// valid only if there are none.
func Read(b *edgeconf.Block, names Names) Config {
	c := Config{
		Syslog: syslog.Config{
			Hostname:   b.String("hostname", ""),
			AppName:    b.String("app_name", "reachwind"),
			Enterprise: int(b.Int("enterprise", 32473, 1, math.MaxUint32)),
			MaxBytes:   int(b.Int("max_bytes", syslog.DefaultMaxBytes, syslog.MinMaxBytes, 32<<10)),
			Facility:   16 + int(b.Int("facility_local", 0, 0, 7)),
			Synced:     b.Bool("clock_synced", false),
			Classes:    names.Classes,
			Tenants:    names.Tenants,
		},
		Linger:     b.Duration("linger", 0, time.Millisecond, time.Second),
		WarnExpiry: b.Duration("warn_expiry", 0, time.Hour, maxSpan),
		Resend:     int(b.Size("resend", 0, 0, 1<<30)),
		CatchUp:    b.Number("catch_up", 0, 1, 1e9),
	}
	b.Blocks("queue", false, func(q *edgeconf.Block) {
		c.Memory = int(q.Size("memory", 0, minCollectorMemory, 1<<32))
		c.Spool = q.FilePath("spool")
		c.Disk = q.Size("disk", 0, minCollectorDisk, maxSize)
		c.MaxAge = q.Duration("max_age", 0, time.Second, maxSpan)
		c.Sync = q.Duration("sync", 0, 10*time.Millisecond, time.Minute)
		if c.Spool == "" {
			for _, n := range []string{"disk", "max_age", "sync"} {
				if q.Has(n) {
					q.AddFaultAt(n, "%s is for a spool, and none is named", n)
				}
			}
		}
	})
	known := map[string]int{}
	var blocks []*edgeconf.Block
	b.Blocks("collector", true, func(k *edgeconf.Block) {
		known[k.Label] = len(c.Collectors)
		blocks = append(blocks, k)
		c.Collectors = append(c.Collectors, Collector{Name: k.Label, Address: k.String("address", ""),
			Transport: Transport(k.Enum("transport", string(TCP), string(UDP), string(TCP), string(TLS))),
			Framing:   Framing(k.Enum("framing", "", string(Octets), string(LF))),
			Files:     tlskeys.Files{Cert: k.FilePath("cert"), Key: k.FilePath("key"), CA: k.FilePath("ca")}, ServerName: k.String("server_name", ""),
			Fingerprints: k.Strings("fingerprints"),
			Connect:      k.Duration("connect_wait", 0, 10*time.Millisecond, time.Minute),
			Write:        k.Duration("write_wait", 0, 10*time.Millisecond, time.Minute)})
		probe := c.Collectors[len(c.Collectors)-1]
		if err := probe.defaults(); err != nil {
			k.AddFault("collector %q: %v", k.Label, err)
		} else if probe.Transport == TLS {
			if _, err := tlskeys.Open(probe.Files); err != nil {
				k.AddFault("collector %q: %v", k.Label, err)
			}
		}
	})
	tenants := append([]string{""}, names.Tenants...)
	b.Blocks("route", true, func(r *edgeconf.Block) {
		route := Route{Collectors: r.Strings("to")}
		route.Name = r.Label
		for _, i := range r.EnumIndexes("kind", record.Kinds[:record.Gap]) {
			route.Kinds = append(route.Kinds, record.Kind(i))
		}
		severity := r.Enum("severity", "", record.Severities[record.Err:]...)
		for i, s := range record.Severities {
			if s == severity {
				route.Severity = record.Severity(i)
			}
		}
		route.Classes = r.EnumIndexes("class", names.Classes)
		for _, i := range r.EnumIndexes("customer", tenants) {
			route.Tenants = append(route.Tenants, i-1)
		}
		for _, i := range r.EnumIndexes("outcome", record.Outcomes[:]) {
			route.Outcomes = append(route.Outcomes, record.Outcome(i))
		}
		route.Members = r.Strings("member")
		route.Rate = r.Number("rate", 0, 0, 1e9)
		route.Sample = r.Number("sample", 0, 1e-6, 1)
		mode := r.Enum("mode", "all", logroute.Modes[:]...)
		for i, m := range logroute.Modes {
			if m == mode {
				route.Mode = logroute.Mode(i)
			}
		}
		route.Continue = r.Bool("continue", false)
		for i, to := range route.Collectors {
			if _, ok := known[to]; !ok {
				r.AddFaultAt("to", "route %q: there is no collector %q", r.Label, to)
			}
			for _, before := range route.Collectors[:i] {
				if before == to {
					r.AddFaultAt("to", "route %q names collector %q twice", r.Label, to)
				}
			}
		}
		if len(route.Collectors) == 0 {
			r.AddFaultAt("to", "route %q names no collector, want at least one in to", r.Label)
		}
		if c.Routes = append(c.Routes, route); len(c.Routes) > maxRoutes {
			r.AddFault("%d routes, want %d at most", len(c.Routes), maxRoutes)
		}
	})
	if len(c.Collectors) == 0 || len(c.Routes) == 0 {
		b.AddFault("syslog has %d collectors and %d routes, want at least one of each", len(c.Collectors), len(c.Routes))
		return c
	}
	probe := c
	probe.Collectors = append([]Collector(nil), c.Collectors...)
	probe.Routes = append([]Route(nil), c.Routes...)
	setDefault(&probe.Memory, defaultMemory)
	if _, err := syslog.New(probe.Syslog); err != nil {
		b.AddFault("syslog: %v", err)
	}
	if least := minCollectorMemory * len(c.Collectors); probe.Memory < least {
		b.AddFault("memory is %s, want at least %s for %d collectors", edgeconf.FormatSize(int64(probe.Memory)), edgeconf.FormatSize(int64(least)), len(c.Collectors))
	}
	return c
}
