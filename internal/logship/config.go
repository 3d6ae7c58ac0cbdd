// Package logship sends log records to syslog collectors. Records are passed to
// [Shipper.Put], which never blocks; one goroutine routes and encodes them, and
// each collector has a goroutine for its connection and, with a spool, one for its
// disk. Routing decisions are made in logroute, queueing decisions in logqueue.
//
// Delivery guarantees: over TCP or TLS, while the process lives, each queued record
// is sent at least once, or it is counted as dropped and reported in a gap record. A
// record counts as handed over when the collector's kernel has confirmed it; after
// a broken connection the last Resend bytes confirmed are sent again, because the
// collector may not have read them. With a spool, the next process finds what was
// made more than Sync before the process was killed. Over UDP a record is sent at
// most once, and its arrival is not confirmed.
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

// Transport is the transport protocol to a collector.
type Transport string

// The transports.
const (
	UDP Transport = "udp" // RFC 5426
	TCP Transport = "tcp" // RFC 6587
	TLS Transport = "tls" // RFC 5425
)

// Framing is how messages are delimited on a TCP connection, RFC 6587 section 3.4.
type Framing string

// The framings.
const (
	Octets Framing = "octets" // octet counting
	LF     Framing = "lf"     // a line feed after each message
)

// Collector holds the settings of one collector.
type Collector struct {
	Name         string
	Address      string
	Transport    Transport
	Framing      Framing
	Files        tlskeys.Files
	ServerName   string // expected in its certificate; empty: the host of Address
	Fingerprints []string
	Connect      time.Duration // time limit for a connection, including the handshake
	Write        time.Duration // time limit for a write
}

// Route is a route with its collectors given by name.
type Route struct {
	logroute.Route
	Collectors []string
}

// Config is the configuration of a Shipper. Defaults fills in omitted values.
type Config struct {
	Syslog     syslog.Config
	Memory     int           // bytes for all collectors together
	Spool      string        // spool folder; empty = no spool
	Disk       int64         // bytes of the spool, for all collectors together
	MaxAge     time.Duration // of records that wait on disk
	Sync       time.Duration // a record not handed over is on disk after this time
	Resend     int           // confirmed bytes that are sent again after a broken connection
	CatchUp    float64       // records per second of the backlog, for each collector
	Linger     time.Duration // records are collected into one batch for this long
	WarnExpiry time.Duration // warn this long before a certificate expires
	Collectors []Collector
	Routes     []Route
	Seed       uint64

	folder func(dir string) spool.FS // opens a collector's folder; nil: spool.Dir
}

// Defaults and limits. Memory and disk sizes are in bytes, rates in records per second.
const (
	defaultMemory         = 4 << 20
	minCollectorMemory    = 64 << 10 // per collector
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
	removalGrace          = 5 * time.Second // how long a removed collector is still sent its backlog
	closeTimeout          = 2 * time.Second // how long an orderly end waits for the peer's kernel
	refreshInterval       = time.Second     // between two checks of the certificate files
	minDiskBackoff        = time.Second
	maxDiskBackoff        = 30 * time.Second
	slowDiskThreshold     = time.Second
	loadBytes             = 64 << 10
)

// Defaults fills in omitted values, and returns an error for the first invalid value.
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

// Footprint returns the most that a shipper uses: bytes of memory, and file descriptors.
func (c *Config) Footprint() (memory int64, files int) {
	memory = int64(c.Memory) + maxInboxRecords*512
	files = 2 * len(c.Collectors) // the connection, and one being established
	if c.Spool != "" {
		files += len(c.Collectors) * spoolFiles
	}
	return memory, files
}

const spoolFiles = 24 // per collector: segments, their done files, and the lock
