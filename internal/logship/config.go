// Package logship carries records to syslog collectors. Records come in by
// [Shipper.Put], which never blocks; one goroutine routes and encodes them, and
// each collector has a goroutine for its connection and, with a spool, one for its
// disk. What is decided is decided in logroute and logqueue.
//
// The promise. To a collector by TCP or TLS a record that was queued goes at
// least once, or it is counted as dropped and told of in a gap record, as long as
// the process lives. A record counts as handed over when the collector's kernel
// has confirmed it; after a broken connection the last Resend bytes confirmed go
// again, for what the collector had not read. With a spool, what was made more
// than Sync before the process was killed is found by the next one. By UDP a
// record goes once at most, and nothing tells whether it came.
package logship

import (
	"fmt"
	"net"
	"time"

	"reachwind/internal/logqueue"
	"reachwind/internal/logroute"
	"reachwind/internal/spool"
	"reachwind/internal/syslog"
	"reachwind/internal/tlskeys"
)

// Transport is how a collector is reached.
type Transport string

// The transports.
const (
	UDP Transport = "udp" // RFC 5426
	TCP Transport = "tcp" // RFC 6587
	TLS Transport = "tls" // RFC 5425
)

// Framing tells messages on a TCP connection apart, RFC 6587 section 3.4.
type Framing string

// The framings.
const (
	Octets Framing = "octets" // octet counting
	LF     Framing = "lf"     // a line feed after each
)

// Collector is one collector.
type Collector struct {
	Name         string
	Address      string
	Transport    Transport
	Framing      Framing
	Files        tlskeys.Files
	ServerName   string // empty: the address's host
	Fingerprints []string
	Connect      time.Duration // a connection, handshake included, must be up by then
	Write        time.Duration // a write must be taken by then
}

// Route is a route whose collectors are named.
type Route struct {
	logroute.Route
	Collectors []string
}

// Config is the whole configuration. Defaults fills in what is left out.
type Config struct {
	Syslog     syslog.Config
	Memory     int           // bytes for all collectors together
	Spool      string        // folder, empty = none
	Disk       int64         // bytes of it, for all collectors together
	MaxAge     time.Duration // of what waits on disk
	Sync       time.Duration // what is not handed over is on disk by then
	Resend     int           // bytes confirmed that go again after a broken connection
	CatchUp    float64       // records a second of the backlog, by collector
	Linger     time.Duration // records are taken together for so long
	WarnExpiry time.Duration // a certificate's end is warned of so long before
	Collectors []Collector
	Routes     []Route
	Seed       uint64

	folder func(dir string) spool.FS // a collector's folder; nil: the operating system's
}

// The defaults, and what bounds them.
const (
	defaultMemory         = 4 << 20
	minCollectorMemory    = 64 << 10 // for each collector
	defaultDisk           = 256 << 20
	minCollectorDisk      = 1 << 20
	defaultMaxAge         = 24 * time.Hour
	defaultSync           = 200 * time.Millisecond
	defaultResend         = 256 << 10
	defaultCatchUp        = 1000
	defaultLinger         = 10 * time.Millisecond
	defaultWarnExpiry     = 14 * 24 * time.Hour
	defaultConnectTimeout = 3 * time.Second
	defaultWriteTimeout   = 5 * time.Second
	maxInboxRecords       = 2048 // records
	batchBytes            = 32 << 10
	gapInterval           = time.Second
	maxMoves              = 4
	removalGrace          = 5 * time.Second // a collector that was taken out gets its backlog for so long
	closeTimeout          = 2 * time.Second // a planned end waits so long for the peer's kernel
	refreshInterval       = time.Second     // certificates are looked at so often
	minDiskBackoff        = time.Second
	maxDiskBackoff        = 30 * time.Second
	slowDiskThreshold     = time.Second
	loadBytes             = 64 << 10
)

// Defaults fills in what is left out, and returns the first fault of the rest.
func (c *Config) Defaults() error {
	setDefault(&c.Memory, defaultMemory)
	setDefault(&c.Disk, defaultDisk)
	setDefault(&c.MaxAge, defaultMaxAge)
	setDefault(&c.Sync, defaultSync)
	setDefault(&c.Resend, defaultResend)
	setDefault(&c.CatchUp, defaultCatchUp)
	setDefault(&c.Linger, defaultLinger)
	setDefault(&c.WarnExpiry, defaultWarnExpiry)
	if len(c.Collectors) == 0 || len(c.Routes) == 0 {
		return fmt.Errorf("%d collectors and %d routes, want at least one of each", len(c.Collectors), len(c.Routes))
	}
	if least := minCollectorMemory * len(c.Collectors); c.Memory < least {
		return fmt.Errorf("memory is %d bytes, want at least %d for %d collectors", c.Memory, least, len(c.Collectors))
	}
	if c.Spool != "" && c.Disk < minCollectorDisk*int64(len(c.Collectors)) {
		return fmt.Errorf("disk is %d bytes, want at least %d for each of %d collectors", c.Disk, minCollectorDisk, len(c.Collectors))
	}
	names := map[string]int{}
	for i := range c.Collectors {
		k := &c.Collectors[i]
		if _, twice := names[k.Name]; twice || k.Name == "" {
			return fmt.Errorf("collector %q: want a name that no other has", k.Name)
		}
		names[k.Name] = i
		if err := k.defaults(); err != nil {
			return fmt.Errorf("collector %q: %w", k.Name, err)
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		r.To = r.To[:0]
		for _, n := range r.Collectors {
			at, ok := names[n]
			if !ok {
				return fmt.Errorf("route %q: there is no collector %q", r.Name, n)
			}
			r.To = append(r.To, at)
		}
		if err := r.Validate(len(c.Collectors)); err != nil {
			return err
		}
	}
	_, err := syslog.New(c.Syslog)
	return err
}

func setDefault[T int | int64 | float64 | time.Duration](v *T, to T) {
	if *v == 0 {
		*v = to
	}
}

func (k *Collector) defaults() error {
	setDefault(&k.Connect, defaultConnectTimeout)
	setDefault(&k.Write, defaultWriteTimeout)
	host, _, err := net.SplitHostPort(k.Address)
	if err != nil {
		return fmt.Errorf("address: %w", err)
	}
	switch k.Transport {
	case "":
		k.Transport = TCP
	case UDP, TCP, TLS:
	default:
		return fmt.Errorf("transport is %q, want udp, tcp or tls", k.Transport)
	}
	switch k.Framing {
	case "":
		k.Framing = Octets
	case Octets:
	case LF:
		if k.Transport != TCP {
			return fmt.Errorf("framing is lf, which only tcp has; %s has its own", k.Transport)
		}
	default:
		return fmt.Errorf("framing is %q, want octets or lf", k.Framing)
	}
	if k.Transport != TLS && (k.Files != tlskeys.Files{} || k.ServerName != "" || len(k.Fingerprints) > 0) {
		return fmt.Errorf("ca, cert, key, server_name and fingerprints are for tls, transport is %s", k.Transport)
	}
	for _, f := range k.Fingerprints {
		if err := tlskeys.CheckFingerprint(f); err != nil {
			return err
		}
	}
	if k.ServerName == "" && k.Transport == TLS {
		k.ServerName = host
	}
	return nil
}

// stream returns one collector's share of the limits.
func (c *Config) stream(k *Collector) logqueue.Config {
	memory := c.Memory / len(c.Collectors)
	q := logqueue.Config{MemoryBytes: memory, ResendBytes: min(c.Resend, memory/4), CatchUpRate: c.CatchUp, GapInterval: gapInterval, Spooled: c.Spool != ""}
	if k.Transport == UDP {
		q.ResendBytes = 0
	}
	return q
}

func (c *Config) table() (*logroute.Table, error) {
	var routes []logroute.Route
	var names []string
	for i := range c.Routes {
		routes = append(routes, c.Routes[i].Route)
	}
	for i := range c.Collectors {
		names = append(names, c.Collectors[i].Name)
	}
	return logroute.NewTable(routes, names, c.Seed)
}

// Footprint is what a shipper holds at most: bytes of memory, and descriptors.
func (c *Config) Footprint() (memory int64, files int) {
	memory = int64(c.Memory) + maxInboxRecords*512
	files = 2 * len(c.Collectors) // a connection, and one that is being made
	if c.Spool != "" {
		files += len(c.Collectors) * spoolFiles
	}
	return memory, files
}

const spoolFiles = 24 // segments, their done files, and the lock
