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
	conf   *Config // its Decide is what package decide is given
	active *activesettings.Snapshot
	source []byte
}

// readReload reads and validates the configuration file on SIGHUP. The file must contain every key that it had at the start. It
// changes nothing.
func (g *instance) readReload() (*reloadedConfig, error) {
	f, err := os.OpenFile(g.options.ConfigPath, os.O_RDONLY|syscall.O_NONBLOCK, 0) // opening a pipe without a writer would block, and all later SIGHUPs with it
	if err != nil {
		return nil, fmt.Errorf("%w; nothing was changed: put a readable file there, and send SIGHUP again", err)
	}
	defer func() { _ = f.Close() }()
	if s, err := f.Stat(); err != nil || !s.Mode().IsRegular() { // reading a pipe may never end
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
	r := &reloadedConfig{conf: c, source: text}
	r.active, c.Decide, err = g.config.active.Prepare(c.Decide, g.core.Now())
	return r, err
}

// parseReload validates the text of a configuration that is to replace c, the one of the start.
func (c *Config) parseReload(text []byte, env func(string) string) (*Config, error) {
	if err := c.shape.Check(text); err != nil {
		return nil, err
	}
	next, err := Parse(text, env)
	var typ *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typ): // in a key that the file of the start did not contain
		return nil, &settings.Fault{Kind: settings.BadValue, Key: strings.TrimPrefix(typ.Field, "."), Found: typ.Value, Want: "what fits " + typ.Type.String()}
	case err != nil:
		return nil, fmt.Errorf("%w; nothing was changed: correct the file, and send SIGHUP again", err)
	}
	return next, nil
}

// applyReload applies a configuration. The core's queue keeps the order: package decide has the new settings before the first
// request that is admitted under them.
func (g *instance) applyReload(r *reloadedConfig) {
	g.handover.saveConfig(r.source)
	was := g.config.active.Current()
	g.core.Post(func() {
		if err := g.router.Reconfigure(*r.conf.Decide); err != nil { // readReload has validated it
			g.options.Log.Error("reloaded settings refused by the decision module", "err", err)
			return
		}
		g.pool.Reconfigure(memberPoolConfig(r.conf.settings, 0, 0))
	})
	g.config.active.Activate(r.active)
	came, changed, left := r.active.ClassChanges(was)
	g.options.Log.Info("retuned", "classes", len(r.conf.Decide.Classes), "came", came, "changed", changed, "left", left,
		"attempts", r.conf.Decide.MaxAttempts)
}

// memberPoolConfig returns the configuration of connections to members. most is their maximum number; keep is the number of
// buffers reserved from answers that pass through.
func memberPoolConfig(f *settings.Settings, most, keep int) pgmember.Config {
	return pgmember.Config{User: user, Database: database, MaxConns: most, ReservedBuffers: keep,
		MemberIdleTimeout: microsecondsOr(f.Allowed.IdleCloseUs, defaultIdleClose),
		ConnectTimeout:    microsecondsOr(f.Allowed.ConnectTimeoutUs, defaultConnectTimeout),
		DrainGrace:        microsecondsOr(f.Rules.StopSendingWithinUs, defaultStopSendingGrace), KeepDelisted: f.Rules.DrainBindsAlone,
		ReportFigures: f.Feedback.Names}
}

// microsecondsOr returns us microseconds, or usual if us is not positive.
func microsecondsOr(us int64, usual time.Duration) time.Duration {
	if us <= 0 {
		return usual
	}
	return time.Duration(us) * time.Microsecond
}
