package core

// logAttributes returns what a log line tells of a request at a time.
func (q *Request) logAttributes(now Time) []any {
	attributes := []any{"request", q.id, "front", q.Front, "group", q.Group, "age", now - q.arrived, "attempts", len(q.attempts)}
	if q.Class != nil {
		attributes = append(attributes, "class", q.Class.Name)
	}
	if q.ReceivedAt > 0 {
		attributes = append(attributes, "queued", max(0, q.arrived-q.ReceivedAt))
	}
	if n := len(q.attempts); n > 0 {
		last := q.attempts[n-1]
		attributes = append(attributes, "member", last.Member, "sent", now-last.sent, "outstanding", !last.done)
	}
	return attributes
}
