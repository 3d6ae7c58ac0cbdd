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

// Config is a gateway's configuration, read and validated.
type Config struct {
	Name, Listen, Discovery string
	Admin                   string // address of the admin API; empty: none
	Known                   []core.ListedMember
	Decide                  *decide.Config

	seed        uint64
	memoryBytes int64         // limit in bytes; 0: none
	maxSockets  int           // limit of descriptors
	cores       float64       // share of a core
	listVersion int64         // of Known
	listCurrent bool          // Known was kept up to date by another process until now
	listUsable  time.Duration // time of handover.MonotonicNow until which another process uses its list as it is; 0 = not known
	settings    *settings.Settings
	source      []byte                 // the file's text, until it is saved for the next process
	hup         chan os.Signal         // receives SIGHUP since before the file was read; nil: Serve registers for the signal
	active      *activesettings.Holder // settings in force while the gateway runs
	shape       *settings.Schema       // the keys that a file read on SIGHUP must contain
}

const defaultSockets = 1024

// reservedDescriptors is the number of descriptors reserved for the process itself, which no client, member or operator may use:
//   - 3 standard streams;
//   - 4 of the Go runtime: its poller, the poller's event descriptor, and two for the CPU limit;
//   - 2 for the client listener and a connection that it has accepted but not yet counted;
//   - 1 for the connection to discovery;
//   - 1 for the configuration file read on SIGHUP;
//   - 7 for the handover between processes of this gateway: the lock, the socket that receives connections, its
//     connection, a connection taken over and its duplicate, a state file, and the folder in which descriptors are counted.
const reservedDescriptors = 3 + 4 + 2 + 1 + 1 + 7

// Load reads and validates the configuration at path. NODE_NAME, NODE_LISTEN and NODE_DISCOVERY stand in for values that
// the file leaves empty; NODE_ADMIN_ADDR overrides the file's value.
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
	c.source = text
	return c, nil
}

// LoadForServing is Load for a process that is going to serve. If it replaces another process and the file is unusable, it
// uses the last configuration that the former process accepted: operators may be editing the file. From this call on
// SIGHUP no longer ends the process: one that arrives while the file is read, or before Serve, makes Serve read it again.
func LoadForServing(path string, log *slog.Logger) (*Config, error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	c, err := loadOrPrevious(path, log)
	if err != nil {
		signal.Stop(hup)
		return nil, err
	}
	c.hup = hup
	return c, nil
}

func loadOrPrevious(path string, log *slog.Logger) (*Config, error) {
	c, err := Load(path)
	if err == nil || os.Getenv("NODE_SOCKET_FD") == "" {
		return c, err
	}
	text, previousErr := handover.Load(os.TempDir(), configFile)
	if previousErr != nil {
		return nil, err
	}
	c, previousErr = Parse(text, os.Getenv)
	if previousErr != nil {
		return nil, err
	}
	log.Error("configuration not used, what the former process was told holds", "err", err)
	c.source = text
	return c, nil
}

// Parse is Load for the text of a file; env returns the value of an environment variable, empty if it is not set.
func Parse(text []byte, env func(string) string) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Memory  float64 `json:"memory_mb"`
			Sockets int
			Cores   float64
		}
		Known    discovery.List
		Settings json.RawMessage
		Admin    string `json:"admin_addr"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Admin: file.Admin, listVersion: file.Known.Generation,
		memoryBytes: int64(file.Limits.Memory * (1 << 20)), maxSockets: file.Limits.Sockets, cores: file.Limits.Cores}
	for _, v := range []struct {
		to   *string
		name string
	}{{&c.Name, "NODE_NAME"}, {&c.Listen, "NODE_LISTEN"}, {&c.Discovery, "NODE_DISCOVERY"}} {
		if *v.to == "" {
			*v.to = env(v.name)
		}
	}
	if admin := env("NODE_ADMIN_ADDR"); admin != "" { // overrides the file, which processes may share: each needs its own address
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
			return nil, fmt.Errorf("admin_addr: %w; want HOST:PORT, or nothing to run no admin API", err)
		}
	}
	if c.cores <= 0 || c.cores > 1 { // it never uses more than one
		c.cores = 1
	}
	if c.maxSockets == 0 {
		c.maxSockets = defaultSockets
	}
	if c.maxSockets < minSockets || c.memoryBytes < 0 || c.memoryBytes > 0 && c.memoryBytes < minMemoryBytes {
		return nil, fmt.Errorf("limits: at least %d sockets and %d MB are needed", minSockets, minMemoryBytes>>20)
	}
	var err error
	if file.Seed == "" {
		c.seed = uint64(time.Now().UnixNano())
	} else if c.seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", file.Seed)
	}
	if c.Known, err = file.Known.Members(); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if c.settings, err = settings.Parse(file.Settings); err != nil {
		return nil, err
	}
	if c.Decide, err = c.settings.Config(); err != nil {
		return nil, err
	}
	c.Decide.AssumeCommittedAfter = core.AssumeCommittedAfter
	if err := c.Decide.Validate(); err != nil {
		return nil, err
	}
	if c.shape, err = settings.SchemaOf(text); err != nil {
		return nil, err
	}
	c.active, err = activesettings.NewHolder(c.Decide)
	return c, err
}
