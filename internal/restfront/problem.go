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
	kind       string // the type, without problemBase
	status     int
	detail     string
	retryAfter time.Duration // time until a retry, 0 = none given
	mayHaveRun *bool         // whether the request may have run; nil: not stated
	outcome    record.Outcome
	cause      record.Cause
}

const problemBase = "urn:reachwind:problem:"

// refusedProblem returns the answer to a request that was refused without running, so that a retry is harmless.
func refusedProblem(after time.Duration) *problem {
	ran := false
	return &problem{kind: "refused", status: http.StatusServiceUnavailable, detail: "refused, trying again is harmless", retryAfter: after, mayHaveRun: &ran, outcome: record.Refused}
}

// failedProblem returns the answer to a request that failed; ran says whether it may have run.
func failedProblem(ran bool) *problem {
	return &problem{kind: "failed", status: http.StatusBadGateway, detail: "failed", mayHaveRun: &ran, outcome: record.Failed}
}

// write writes the problem document, with a Retry-After field if it names a time.
func (p *problem) write(w http.ResponseWriter) {
	body := map[string]any{"type": problemBase + p.kind, "title": http.StatusText(p.status), "status": p.status, "detail": p.detail}
	if p.mayHaveRun != nil {
		body["mayHaveRun"] = *p.mayHaveRun
	}
	if p.retryAfter > 0 {
		body["retryAfterMs"] = p.retryAfter.Milliseconds()
		w.Header().Set("Retry-After", strconv.FormatInt(int64((p.retryAfter+time.Second-1)/time.Second), 10)) // whole seconds, RFC 9110
	}
	text, err := json.Marshal(body)
	if err != nil {
		text = []byte(`{}`)
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.status)
	_, _ = w.Write(append(text, '\n'))
}
