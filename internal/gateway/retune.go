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

// retuning is a file that was read and checked, with all that will be needed to take it over.
type retuning struct {
	conf  *Config // its Decide is as the module must have it
	terms *activesettings.Snapshot
	text  []byte
}

// reread reads the file that SIGHUP means, strictly: it must hold all that the file of the start held. It changes nothing.
func (g *running) reread() (*retuning, error) {
	f, err := os.OpenFile(g.o.Path, os.O_RDONLY|syscall.O_NONBLOCK, 0) // a pipe without a writer would keep all later SIGHUPs waiting
	if err != nil {
		return nil, fmt.Errorf("%w; nothing was taken: put the file there, readable, and send SIGHUP again", err)
	}
	defer func() { _ = f.Close() }()
	if s, err := f.Stat(); err != nil || !s.Mode().IsRegular() { // guards against a pipe, which may never end
		return nil, fmt.Errorf("%s: found no regular file, want one; nothing was taken: put it there, and send SIGHUP again", g.o.Path)
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
	r.terms, c.Decide, err = g.c.terms.Prepare(c.Decide, g.owner.Now())
	return r, err
}

// follow reads a configuration that is to follow c, the one of the start.
func (c *Config) follow(text []byte, env func(string) string) (*Config, error) {
	if err := c.shape.Check(text); err != nil {
		return nil, err
	}
	next, err := Parse(text, env)
	var typ *json.UnmarshalTypeError
	switch {
	case errors.As(err, &typ): // a key that the start did not hold
		return nil, &settings.Fault{Kind: settings.BadValue, Key: strings.TrimPrefix(typ.Field, "."), Found: typ.Value, Want: "what fits " + typ.Type.String()}
	case err != nil:
		return nil, fmt.Errorf("%w; nothing was taken from the file: mend it, and send SIGHUP again", err)
	}
	return next, nil
}

// retune takes a configuration over. The owner's queue keeps the order: the module has it before any request of the
// new terms comes.
func (g *running) retune(r *retuning) {
	g.line.keep(r.text)
	was := g.c.terms.Current()
	g.owner.Post(func() {
		if err := g.router.Reconfigure(*r.conf.Decide); err != nil { // reread has checked it
			g.o.Log.Error("retuning refused", "err", err)
			return
		}
		g.pool.Reconfigure(members(r.conf.facts, 0, 0))
	})
	g.c.terms.Activate(r.terms)
	came, changed, left := r.terms.ClassChanges(was)
	g.o.Log.Info("retuned", "classes", len(r.conf.Decide.Classes), "came", came, "changed", changed, "left", left,
		"attempts", r.conf.Decide.MaxAttempts)
}

// members is what the settings say of connections to members, of which there may be most.
func members(f *settings.Settings, most, keep int) pgmember.Config {
	return pgmember.Config{User: user, Database: database, MaxConns: most, ReservedBuffers: keep,
		MemberIdleTimeout: span(f.Allowed.IdleCloseUs, idleUsual),
		ConnectTimeout:    span(f.Allowed.ConnectTimeoutUs, connectUsual),
		DrainGrace:        span(f.Rules.StopSendingWithinUs, graceUsual), KeepDelisted: f.Rules.DrainBindsAlone,
		ReportFigures: f.Feedback.Names}
}

func span(us int64, usual time.Duration) time.Duration {
	if us <= 0 {
		return usual
	}
	return time.Duration(us) * time.Microsecond
}
