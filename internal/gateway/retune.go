package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"reachwind/internal/pgmember"
	"reachwind/internal/settings"
	"reachwind/internal/terms"
)

// retuning is a configuration file that was read and validated on SIGHUP, ready to be applied.
type retuning struct {
	conf  *Config // its Decide is what package decide is given
	terms *terms.Terms
	text  []byte
}

// reread reads and validates the configuration file on SIGHUP. The file must contain every key that it had at the start. It
// changes nothing.
func (g *running) reread() (*retuning, error) {
	f, err := os.OpenFile(g.o.Path, os.O_RDONLY|syscall.O_NONBLOCK, 0) // opening a pipe without a writer would block, and all later SIGHUPs with it
	if err != nil {
		return nil, fmt.Errorf("%w; nothing was changed: put a readable file there, and send SIGHUP again", err)
	}
	defer func() { _ = f.Close() }()
	if s, err := f.Stat(); err != nil || !s.Mode().IsRegular() { // reading a pipe may never end
		return nil, fmt.Errorf("%s: want a regular file, found none; nothing was changed: put one there, and send SIGHUP again", g.o.Path)
	}
	text, err := settings.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", g.o.Path, err)
	}
	c, err := g.c.follow(text, os.Getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", g.o.Path, err)
	}
	r := &retuning{conf: c, text: text}
	r.terms, c.Decide, err = g.c.terms.Next(c.Decide, g.owner.Now())
	return r, err
}

// follow validates the text of a configuration that is to replace c, the one of the start.
func (c *Config) follow(text []byte, env func(string) string) (*Config, error) {
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

// retune applies a configuration. The core's queue keeps the order: package decide has the new settings before the first
// request that is admitted under them.
func (g *running) retune(r *retuning) {
	g.line.keep(r.text)
	was := g.c.terms.Now()
	g.owner.Post(func() {
		if err := g.router.Retune(*r.conf.Decide); err != nil { // reread has checked it
			g.o.Log.Error("reloaded settings refused by the decision module", "err", err)
			return
		}
		g.pool.Retune(members(r.conf.facts, 0, 0))
	})
	g.c.terms.Turn(r.terms)
	came, changed, left := r.terms.Against(was)
	g.o.Log.Info("retuned", "classes", len(r.conf.Decide.Classes), "came", came, "changed", changed, "left", left,
		"attempts", r.conf.Decide.MaxAttempts)
}

// members returns the configuration of connections to members. most is their maximum number; keep is the number of
// buffers reserved from answers that pass through.
func members(f *settings.Facts, most, keep int) pgmember.Config {
	return pgmember.Config{User: user, Database: database, Max: most, Keep: keep,
		Idle:    span(f.Allowed.IdleCloseUs, idleUsual),
		Connect: span(f.Allowed.ConnectTimeoutUs, connectUsual),
		Grace:   span(f.Rules.StopSendingWithinUs, graceUsual), DrainOnly: f.Rules.DrainBindsAlone,
		Names: f.Feedback.Names}
}

// span returns us microseconds, or usual if us is not positive.
func span(us int64, usual time.Duration) time.Duration {
	if us <= 0 {
		return usual
	}
	return time.Duration(us) * time.Microsecond
}
