package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"reachwind/decide"
	"reachwind/internal/activesettings"
	"reachwind/internal/core"
	"reachwind/internal/discovery"
	"reachwind/internal/handover"
	"reachwind/internal/settings"
)

// Config is a gateway's configuration, read and checked.
type Config struct {
	Name, Listen, Discovery string
	Admin                   string // where operators call; empty: nowhere
	Known                   []core.ListedMember
	Decide                  *decide.Config

	seed    uint64
	memory  int64 // bytes, 0 = no limit
	sockets int
	version int64
	facts   *settings.Settings
	text    []byte                 // that it was read from, until it is kept for the next process
	hup     chan os.Signal         // SIGHUP, from before the file was read; nil: Serve begins to take it
	terms   *activesettings.Holder // in force, once it runs
	shape   *settings.Schema       // what a file read at SIGHUP must hold again
}

const defaultSockets = 1024

// ownFiles are the descriptors that no client, member or operator may take, whatever the limit is: three of the standard
// streams; the runtime's poller, its event and two of the processor's limit; the clients' listener, and a connection that
// it has accepted and nobody has counted yet; the call to discovery; the configuration read at SIGHUP; and, beside another
// process of this gateway, the lock, the socket that takes connections over, its connection, one taken over and its copy,
// a state file, and the folder where descriptors are counted.
const ownFiles = 3 + 4 + 2 + 1 + 1 + 7

// Load reads the configuration at path. The environment fills in names that it leaves out.
func Load(path string) (*Config, error) {
	if path == "" {
		return nil, errors.New("no configuration: use --config or NODE_CONFIG")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(text, os.Getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.text = text
	return c, nil
}

// LoadServing is Load for a process that is to serve. One that replaces another, and finds a file that can't be used,
// goes on with what the former process was told last: operators may be in the middle of mending it. From here on SIGHUP
// ends the process no more: the file may change while it is read, or before Serve, and is read again then.
func LoadServing(path string, log *slog.Logger) (*Config, error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	c, err := loadServing(path, log)
	if err != nil {
		signal.Stop(hup)
		return nil, err
	}
	c.hup = hup
	return c, nil
}

func loadServing(path string, log *slog.Logger) (*Config, error) {
	c, err := Load(path)
	if err == nil || os.Getenv("NODE_SOCKET_FD") == "" {
		return c, err
	}
	text, e := handover.Load(os.TempDir(), configFile)
	if e != nil {
		return nil, err
	}
	c, e = Parse(text, os.Getenv)
	if e != nil {
		return nil, err
	}
	log.Error("configuration not used, what the former process was told holds", "err", err)
	c.text = text
	return c, nil
}

// Parse is Load for a text and an environment.
func Parse(text []byte, env func(string) string) (*Config, error) {
	var f struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Memory  float64 `json:"memory_mb"`
			Sockets int
		}
		Known    discovery.List
		Settings json.RawMessage
		Admin    string `json:"admin_addr"`
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Admin: f.Admin, version: f.Known.Generation,
		memory: int64(f.Limits.Memory * (1 << 20)), sockets: f.Limits.Sockets}
	for _, v := range []struct {
		to   *string
		name string
	}{{&c.Name, "NODE_NAME"}, {&c.Listen, "NODE_LISTEN"}, {&c.Discovery, "NODE_DISCOVERY"}} {
		if *v.to == "" {
			*v.to = env(v.name)
		}
	}
	if admin := env("NODE_ADMIN_ADDR"); admin != "" { // each process has its own, also where the file is that of another
		c.Admin = admin
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if c.Admin != "" {
		if _, _, err := net.SplitHostPort(c.Admin); err != nil {
			return nil, fmt.Errorf("admin_addr: %w; want HOST:PORT, or nothing for no door", err)
		}
	}
	if c.sockets == 0 {
		c.sockets = defaultSockets
	}
	if c.sockets < leastSockets || c.memory < 0 || c.memory > 0 && c.memory < leastMemory {
		return nil, fmt.Errorf("limits: at least %d sockets and %d MB are needed", leastSockets, leastMemory>>20)
	}
	var err error
	if f.Seed == "" {
		c.seed = uint64(time.Now().UnixNano())
	} else if c.seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is no hexadecimal number", f.Seed)
	}
	if c.Known, err = f.Known.Members(); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if c.facts, err = settings.Parse(f.Settings); err != nil {
		return nil, err
	}
	if c.Decide, err = c.facts.Config(); err != nil {
		return nil, err
	}
	c.Decide.AssumeCommittedAfter = core.AssumeCommittedAfter
	if err := c.Decide.Validate(); err != nil {
		return nil, err
	}
	if c.shape, err = settings.SchemaOf(text); err != nil {
		return nil, err
	}
	c.terms, err = activesettings.NewHolder(c.Decide)
	return c, err
}
