package restfront

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"reachwind/internal/record"
)

// problem is an answer by RFC 9457. Its types are stable: tools may rely on them.
type problem struct {
	kind    string // the type, without problemBase
	status  int
	detail  string
	after   time.Duration // time until a retry, 0 = none given
	ran     *bool         // whether the request may have run; nil: not stated
	outcome record.Outcome
	cause   record.Cause
}

const problemBase = "urn:reachwind:problem:"

// refused returns the answer to a request that was refused without running, so that a retry is harmless.
func refused(after time.Duration) *problem {
	ran := false
	return &problem{kind: "refused", status: http.StatusServiceUnavailable, detail: "refused, trying again is harmless", after: after, ran: &ran, outcome: record.Refused}
}

// failed returns the answer to a request that failed; ran says whether it may have run.
func failed(ran bool) *problem {
	return &problem{kind: "failed", status: http.StatusBadGateway, detail: "failed", ran: &ran, outcome: record.Failed}
}

func (p *problem) write(w http.ResponseWriter) {
	body := map[string]any{"type": problemBase + p.kind, "title": http.StatusText(p.status), "status": p.status, "detail": p.detail}
	if p.ran != nil {
		body["mayHaveRun"] = *p.ran
	}
	if p.after > 0 {
		body["retryAfterMs"] = p.after.Milliseconds()
		w.Header().Set("Retry-After", strconv.FormatInt(int64((p.after+time.Second-1)/time.Second), 10)) // whole seconds, RFC 9110
	}
	text, err := json.Marshal(body)
	if err != nil {
		text = []byte(`{}`)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.status)
	_, _ = w.Write(append(text, '\n'))
}
