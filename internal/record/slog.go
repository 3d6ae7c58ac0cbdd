package record

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"time"
)

// maxTextBytes limits the text of a Program record, so that no memory is held for text that the encoder would cut.
const maxTextBytes = 8 << 10

// Handler passes log lines to a slog.Handler and, if a sink is set, also to the
// sink as Program records. It is safe for concurrent use.
type Handler struct {
	slog.Handler
	shared *shared
	attrs  []byte // attributes from WithAttrs, already formatted
	group  string
}

type shared struct {
	mu   sync.Mutex
	sink Sink
	buf  bytes.Buffer
}

// NewHandler returns a handler that wraps h, without a sink.
func NewHandler(h slog.Handler) *Handler { return &Handler{Handler: h, shared: new(shared)} }

// SetSink makes s the sink for later log lines; nil removes the sink. Log lines of s itself must not be logged
// through this handler, or each record could cause another one.
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
		return b.Len() < maxTextBytes
	})
	text := b.Bytes()
	if len(text) > maxTextBytes {
		text = text[:maxTextBytes] // the encoder cuts at a character boundary
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
