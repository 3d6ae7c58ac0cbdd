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
	"reachwind/internal/throttle"
)

// Edge is the product configuration, read and validated. A subsystem that is nil does not run.
type Edge struct {
	Syslog *logship.Config
	REST   *restfront.Config
	Fleet  *fleet.Config
}

// LoadEdge reads the product configuration at path for the gateway with configuration c. An error may be a list of
// faults, see edgeconf.Faults.
func LoadEdge(path string, c *Config) (*Edge, error) {
	return loadEdge(path, c, c.active.Current().Names)
}

// loadEdge is LoadEdge with the names of classes and tenants that records may contain.
func loadEdge(path string, c *Config, names activesettings.Names) (*Edge, error) {
	edge := new(Edge)
	err := edgeconf.Load(path, func(b *edgeconf.Block) {
		b.Blocks("syslog", false, func(b *edgeconf.Block) {
			s := logship.Read(b, logship.Names(names))
			if s.Syslog.Hostname == "" {
				s.Syslog.Hostname = c.Name
			}
			s.Syslog.ProcID = strconv.Itoa(os.Getpid())
			s.Seed = c.seed
			edge.Syslog = &s
		})
		b.Blocks("rest", false, func(b *edgeconf.Block) {
			r := restfront.ReadConfig(b)
			r.Settings = c.active
			edge.REST = &r
		})
		b.Blocks("fleet", false, func(b *edgeconf.Block) {
			f := fleet.ReadConfig(b)
			if f.Name = c.Name; f.Name == "" || len(f.Name) > swim.MaxNameBytes {
				b.AddFault("the gateway's name is %q, want one of 1 to %d bytes", f.Name, swim.MaxNameBytes)
			}
			edge.Fleet = &f
		})
	})
	if err != nil {
		return nil, err
	}
	if edge.Syslog != nil {
		if err := edge.Syslog.Defaults(); err != nil {
			return nil, err
		}
	}
	return edge, nil
}

// Budget is how descriptors and memory are divided.
type Budget struct {
	DividedSockets       int   // descriptors divided by fractions, without the subsystems' ones: what the fractions leave covers reservedDescriptors
	ClientConnections    int   // client connections
	MemberConnections    int   // member connections
	Buffers              int   // full-size buffers for statements and answers
	SmallBuffers         int   // small buffers for statements and answers
	BufferBytes          int64 // bytes of all buffers
	SubsystemBytes       int64 // bytes that subsystems and the admin API hold at most
	SubsystemDescriptors int   // descriptors that subsystems and the admin API hold at most
}

// Budget divides the limits. Without subsystems and admin API it is the division that the platform expects.
func (c *Config) Budget(e *Edge) Budget {
	var b Budget
	memory := c.memoryBytes
	if memory == 0 {
		memory = defaultMemoryBytes
	}
	if e.Syslog != nil {
		b.SubsystemBytes, b.SubsystemDescriptors = e.Syslog.Footprint()
	}
	if e.REST != nil {
		memory, files := e.REST.Footprint()
		b.SubsystemBytes, b.SubsystemDescriptors = b.SubsystemBytes+memory, b.SubsystemDescriptors+files
	}
	if e.Fleet != nil {
		memory, files := e.Fleet.Footprint()
		b.SubsystemBytes, b.SubsystemDescriptors = b.SubsystemBytes+memory, b.SubsystemDescriptors+files
	}
	if c.Admin != "" {
		memory, files := c.adminConfig().Footprint()
		b.SubsystemBytes, b.SubsystemDescriptors = b.SubsystemBytes+memory, b.SubsystemDescriptors+files
	}
	available := c.maxSockets - b.SubsystemDescriptors
	b.DividedSockets = max(minDividedSockets, min(available, int(float64(available-reservedDescriptors)/(clientFraction+closingFraction+memberFraction))))
	b.ClientConnections, b.MemberConnections = int(clientFraction*float64(b.DividedSockets)), int(memberFraction*float64(b.DividedSockets))
	bufferMemory := b.bufferMemory(memory)
	b.SmallBuffers = max(int(smallBufferFraction*bufferMemory), min(b.ClientConnections*pgwire.SmallBufSize, int(bufferMemory/2))) / pgwire.SmallBufSize
	b.Buffers = max(minBuffers, (int(bufferMemory)-b.SmallBuffers*pgwire.SmallBufSize)/pgwire.LargeBufSize)
	b.BufferBytes = int64(b.Buffers)*pgwire.LargeBufSize + int64(b.SmallBuffers)*pgwire.SmallBufSize
	return b
}

// bufferMemory returns the bytes of memory that buffers may hold: a fraction, or what the program and its connections leave.
func (b *Budget) bufferMemory(memory int64) float64 {
	connections := int64(b.ClientConnections + int(closingFraction*float64(b.DividedSockets)) + b.MemberConnections)
	left := memory - b.SubsystemBytes - programBytes - runtimeBytes - connections*connectionBytes
	return max(0, min(bufferFraction*float64(memory-b.SubsystemBytes), float64(left)))
}

// softMemoryLimit returns the limit that Go's garbage collector keeps to. It doesn't count the program's own pages.
func softMemoryLimit(memory int64) int64 {
	return min(int64(softLimitFraction*float64(memory)), memory-programBytes)
}

var errRestart = errors.New("adding or removing the block, or changing what a front listens on, takes a restart of the gateway")

// startREST starts the REST front. It returns an error if the front can't be configured or its address not listened on.
func startREST(conf *restfront.Config, engine *core.Core, claims *call.ActiveIDs, work *throttle.Budget, log *slog.Logger) (subsystem, error) {
	conf.Work = work
	s, err := restfront.New(engine, *conf, claims, log)
	if err != nil {
		return subsystem{}, err
	}
	if err := s.Start(); err != nil {
		return subsystem{}, err
	}
	return subsystem{
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

// startSyslog starts the log shipper and registers it as the sink of the core's and the log's records.
func startSyslog(conf *logship.Config, engine *core.Core, slowStart time.Duration, o Options) (subsystem, error) {
	start := engine.Now()
	sessionKey := make([]byte, 32) // for hashed session names: comparable while this process lives, and not outside it
	if _, err := rand.Read(sessionKey); err != nil {
		return subsystem{}, err
	}
	ownLog := o.Log
	if o.Records != nil { // the shipper's own log lines must not become records, since each would cause another
		ownLog = slog.New(o.Records.Handler)
	}
	complete := func(c logship.Config) logship.Config {
		c.Syslog.Start, c.Syslog.Key, c.Syslog.Version = start, sessionKey, o.Version
		return c
	}
	s, err := logship.New(complete(*conf), engine.Now, ownLog)
	if err != nil {
		return subsystem{}, err
	}
	engine.SetRecordSink(s, slowStart)
	if o.Records != nil {
		o.Records.SetSink(s)
	}
	return subsystem{
		name: "syslog",
		prepare: func(e *Edge) (func(), error) {
			if e.Syslog == nil {
				return nil, errRestart
			}
			return s.Prepare(complete(*e.Syslog))
		},
		stop: func(ctx context.Context) {
			if o.Records != nil {
				o.Records.SetSink(nil)
			}
			dropped := s.Close(ctx)
			counts, lost := s.Counts()
			for _, c := range counts {
				ownLog.Info("collector done", "collector", c.Name, "made", c.Made, "handed_over", c.Handed, "on_disk", c.Disk, "waiting", c.Memory)
			}
			if dropped > 0 || lost > 0 {
				ownLog.Warn("records lost at the end", "waiting", dropped, "unrouted", lost)
			}
		},
	}, nil
}
