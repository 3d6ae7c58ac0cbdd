package record

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"time"
)

// textMost bounds a log line as a record: what the encoder cuts is not carried about.
const textMost = 8 << 10

// Handler passes log lines on to a slog.Handler and, where a sink is set, as
// Program records too. It is safe for concurrent use.
type Handler struct {
	slog.Handler
	shared *shared
	attrs  []byte // of WithAttrs, rendered
	group  string
}

type shared struct {
	mu   sync.Mutex
	sink Sink
	buf  bytes.Buffer
}

// NewHandler returns a handler over h, without a sink.
func NewHandler(h slog.Handler) *Handler { return &Handler{Handler: h, shared: new(shared)} }

// SetSink has records go to s from now on, nil for none. Lines that s itself causes must not be logged through
// this handler, or they would feed themselves.
func (h *Handler) SetSink(s Sink) {
	h.shared.mu.Lock()
	defer h.shared.mu.Unlock()
	h.shared.sink = s
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, line slog.Record) error {
	h.put(line)
	return h.Handler.Handle(ctx, line)
}

func (h *Handler) put(line slog.Record) {
	s := h.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sink == nil {
		return
	}
	b := &s.buf
	b.Reset()
	b.WriteString(line.Message)
	b.Write(h.attrs)
	line.Attrs(func(a slog.Attr) bool {
		appendAttr(b, h.group, a)
		return b.Len() < textMost
	})
	text := b.Bytes()
	if len(text) > textMost {
		text = text[:textMost] // the encoder ends it at a character
	}
	s.sink.Put(&Record{Kind: Program, Severity: SeverityOfLevel(line.Level), At: time.Duration(line.Time.UnixNano()),
		Tenant: -1, Class: -1, Text: string(text)})
}

func appendAttr(b *bytes.Buffer, group string, a slog.Attr) {
	v := a.Value.Resolve()
	if v.Kind() == slog.KindGroup {
		for _, m := range v.Group() {
			appendAttr(b, group+a.Key+".", m)
		}
		return
	}
	b.WriteByte(' ')
	b.WriteString(group)
	b.WriteString(a.Key)
	b.WriteByte('=')
	b.WriteString(v.String())
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	b := bytes.NewBuffer(bytes.Clone(h.attrs))
	for _, a := range attrs {
		appendAttr(b, h.group, a)
	}
	return &Handler{Handler: h.Handler.WithAttrs(attrs), shared: h.shared, attrs: b.Bytes(), group: h.group}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Handler: h.Handler.WithGroup(name), shared: h.shared, attrs: h.attrs, group: h.group + name + "."}
}
