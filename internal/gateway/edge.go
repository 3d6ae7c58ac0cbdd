package gateway

import (
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"os"
	"strconv"
	"time"

	"reachwind/internal/activesettings"
	"reachwind/internal/call"
	"reachwind/internal/core"
	"reachwind/internal/edgeconf"
	"reachwind/internal/fleet"
	"reachwind/internal/fleet/swim"
	"reachwind/internal/logship"
	"reachwind/internal/pgwire"
	"reachwind/internal/restfront"
)

// Edge is the product configuration, read and checked. A part that is nil is off.
type Edge struct {
	Syslog *logship.Config
	REST   *restfront.Config
	Fleet  *fleet.Config
}

// LoadEdge reads the product configuration at path for a gateway. An error may hold many faults, see
// edgeconf.Faults.
func LoadEdge(path string, c *Config) (*Edge, error) {
	return loadEdge(path, c, c.terms.Current().Names)
}

// loadEdge is LoadEdge with the names that records may hold.
func loadEdge(path string, c *Config, names activesettings.Names) (*Edge, error) {
	e := new(Edge)
	err := edgeconf.Load(path, func(b *edgeconf.Block) {
		b.Blocks("syslog", false, func(b *edgeconf.Block) {
			s := logship.Read(b, logship.Names(names))
			if s.Syslog.Hostname == "" {
				s.Syslog.Hostname = c.Name
			}
			s.Syslog.ProcID = strconv.Itoa(os.Getpid())
			s.Seed = c.seed
			e.Syslog = &s
		})
		b.Blocks("rest", false, func(b *edgeconf.Block) {
			r := restfront.ReadConfig(b)
			r.Settings = c.terms
			e.REST = &r
		})
		b.Blocks("fleet", false, func(b *edgeconf.Block) {
			f := fleet.ReadConfig(b)
			if f.Name = c.Name; f.Name == "" || len(f.Name) > swim.MaxNameBytes {
				b.AddFault("the gateway's name is %q, want one of 1 to %d bytes", f.Name, swim.MaxNameBytes)
			}
			e.Fleet = &f
		})
	})
	if err != nil {
		return nil, err
	}
	if e.Syslog != nil {
		if err := e.Syslog.Defaults(); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// Budget is how descriptors and memory are divided.
type Budget struct {
	Sockets int // that are divided by shares, after the parts took theirs: what the shares leave holds ownFiles
	Clients int
	Members int
	Buffers int   // statements and answers,
	Small   int   // and those for small ones
	Memory  int64 // bytes, of the buffers
	Parts   int64 // bytes that the parts of the product configuration hold at most
	Files   int   // descriptors of these
}

// Budget divides the limits. Without parts it is the platform's division.
func (c *Config) Budget(e *Edge) Budget {
	var b Budget
	memory := c.memory
	if memory == 0 {
		memory = freeMemory
	}
	if e.Syslog != nil {
		b.Parts, b.Files = e.Syslog.Footprint()
	}
	if e.REST != nil {
		memory, files := e.REST.Footprint()
		b.Parts, b.Files = b.Parts+memory, b.Files+files
	}
	if e.Fleet != nil {
		memory, files := e.Fleet.Footprint()
		b.Parts, b.Files = b.Parts+memory, b.Files+files
	}
	if c.Admin != "" {
		memory, files := c.door().Footprint()
		b.Parts, b.Files = b.Parts+memory, b.Files+files
	}
	left := c.sockets - b.Files
	b.Sockets = max(leastShared, min(left, int(float64(left-ownFiles)/(clientPart+sparePart+memberPart))))
	b.Clients, b.Members = int(clientPart*float64(b.Sockets)), int(memberPart*float64(b.Sockets))
	room := bufferPart * float64(max(0, memory-b.Parts))
	b.Small = int(smallPart*room) / pgwire.SmallBufSize
	b.Buffers = max(buffersLeast, int((1-smallPart)*room)/pgwire.LargeBufSize)
	b.Memory = int64(b.Buffers)*pgwire.LargeBufSize + int64(b.Small)*pgwire.SmallBufSize
	return b
}

var errRestart = errors.New("a block that comes or goes, and what a front listens on, take a restart")

// startREST starts the REST front.
func startREST(conf *restfront.Config, owner *core.Core, claims *call.ActiveIDs, log *slog.Logger) (part, error) {
	s, err := restfront.New(owner, *conf, claims, log)
	if err != nil {
		return part{}, err
	}
	if err := s.Start(); err != nil {
		return part{}, err
	}
	return part{
		name: "rest",
		prepare: func(e *Edge) (func(), error) {
			if e.REST == nil || e.REST.Listen != conf.Listen || e.REST.MaxConnections != conf.MaxConnections {
				return nil, errRestart
			}
			return s.Prepare(*e.REST)
		},
		drain: s.Shutdown,
	}, nil
}

// startSyslog starts the shipper and has the core and the log give it their records.
func startSyslog(conf *logship.Config, owner *core.Core, cold time.Duration, o Options) (part, error) {
	start := owner.Now()
	key := make([]byte, 32) // sessions are told apart as long as this process lives, and by nobody else
	if _, err := rand.Read(key); err != nil {
		return part{}, err
	}
	own := o.Log
	if o.Records != nil { // what the shipper itself says must not become records: it would feed itself
		own = slog.New(o.Records.Handler)
	}
	fill := func(c logship.Config) logship.Config {
		c.Syslog.Start, c.Syslog.Key, c.Syslog.Version = start, key, o.Version
		return c
	}
	s, err := logship.New(fill(*conf), owner.Now, own)
	if err != nil {
		return part{}, err
	}
	owner.SetRecordSink(s, cold)
	if o.Records != nil {
		o.Records.SetSink(s)
	}
	return part{
		name: "syslog",
		prepare: func(e *Edge) (func(), error) {
			if e.Syslog == nil {
				return nil, errRestart
			}
			return s.Prepare(fill(*e.Syslog))
		},
		stop: func(ctx context.Context) {
			if o.Records != nil {
				o.Records.SetSink(nil)
			}
			dropped := s.Close(ctx)
			counts, lost := s.Counts()
			for _, c := range counts {
				own.Info("collector done", "collector", c.Name, "made", c.Made, "handed_over", c.Handed, "on_disk", c.Disk, "waiting", c.Memory)
			}
			if dropped > 0 || lost > 0 {
				own.Warn("records lost at the end", "waiting", dropped, "unrouted", lost)
			}
		},
	}, nil
}
