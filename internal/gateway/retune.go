package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"reachwind/internal/activesettings"
	"reachwind/internal/pgmember"
	"reachwind/internal/settings"
)

// reloadedConfig is a configuration file that was read and validated on SIGHUP, ready to be applied.
type reloadedConfig struct {
	config *Config // its Decide is what package decide is given
	active *activesettings.Snapshot
	source []byte
}

// readReload reads and validates the configuration file on SIGHUP. The file must contain every key that it had at the
// start. It changes nothing.
func (g *instance) readReload() (*reloadedConfig, error) {
	f, err := os.OpenFile(g.options.ConfigPath, os.O_RDONLY|syscall.O_NONBLOCK, 0) // opening a pipe without a writer would block, and all later SIGHUPs with it
	if err != nil {
		return nil, fmt.Errorf("%w; nothing was changed: put a readable file there, and send SIGHUP again", err)
	}
	defer func() { _ = f.Close() }()
	if info, err := f.Stat(); err != nil || !info.Mode().IsRegular() { // reading a pipe may never end
		return nil, fmt.Errorf("%s: want a regular file, found none; nothing was changed: put one there, and send SIGHUP again", g.options.ConfigPath)
	}
	text, err := settings.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", g.options.ConfigPath, err)
	}
	c, err := g.config.parseReload(text, os.Getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", g.options.ConfigPath, err)
	}
	r := &reloadedConfig{config: c, source: text}
	r.active, c.Decide, err = g.config.active.Prepare(c.Decide, g.core.Now())
	return r, err
}

// parseReload validates the text of a configuration that is to replace c, the one of the start.
func (c *Config) parseReload(text []byte, env func(string) string) (*Config, error) {
	if err := c.shape.Check(text); err != nil {
		return nil, err
	}
	next, err := Parse(text, env)
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typeErr): // in a key that the file of the start did not contain
		return nil, &settings.Fault{Kind: settings.BadValue, Key: strings.TrimPrefix(typeErr.Field, "."), Found: typeErr.Value, Want: "what fits " + typeErr.Type.String()}
	case err != nil:
		return nil, fmt.Errorf("%w; nothing was changed: correct the file, and send SIGHUP again", err)
	}
	return next, nil
}

// applyReload applies a configuration. The core's queue keeps the order: package decide has the new settings before the
// first request that is admitted under them.
func (g *instance) applyReload(r *reloadedConfig) {
	g.handover.saveConfig(r.source)
	before := g.config.active.Current()
	g.core.Post(func() {
		if err := g.router.Reconfigure(*r.config.Decide); err != nil { // readReload has validated it
			g.options.Log.Error("retuning refused", "err", err)
			return
		}
		g.pool.Reconfigure(memberPoolConfig(r.config.settings, 0, 0))
	})
	g.config.active.Activate(r.active)
	added, changed, removed := r.active.ClassChanges(before)
	g.options.Log.Info("retuned", "classes", len(r.config.Decide.Classes), "came", added, "changed", changed, "left", removed,
		"attempts", r.config.Decide.MaxAttempts)
}

// memberPoolConfig returns the configuration of connections to members. maxConnections is their maximum number,
// reservedBuffers the number of buffers that answers passed through may not use.
func memberPoolConfig(s *settings.Settings, maxConnections, reservedBuffers int) pgmember.Config {
	return pgmember.Config{User: memberUser, Database: memberDatabase, MaxConns: maxConnections, ReservedBuffers: reservedBuffers,
		MemberIdleTimeout: microsecondsOr(s.Allowed.IdleCloseUs, defaultIdleClose),
		ConnectTimeout:    microsecondsOr(s.Allowed.ConnectTimeoutUs, defaultConnectTimeout),
		DrainGrace:        microsecondsOr(s.Rules.StopSendingWithinUs, defaultStopSendingGrace), KeepDelisted: s.Rules.DrainBindsAlone,
		ReportFigures: s.Feedback.Names}
}

// microsecondsOr returns us microseconds, or fallback if us is not positive.
func microsecondsOr(us int64, fallback time.Duration) time.Duration {
	if us <= 0 {
		return fallback
	}
	return time.Duration(us) * time.Microsecond
}
