package pgwire

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"reachwind/internal/call"
)

// TestForm: a call that came by another protocol reads, as a statement, as what it was, whatever stands in its item
// and value; and the value comes back out of an answer.
func TestForm(t *testing.T) {
	plain := rapid.StringMatching(`[!-)+.0-<>-~]{1,40}`)
	rapid.Check(t, func(t *rapid.T) {
		c := &call.Request{Op: call.Op(rapid.IntRange(0, 1).Draw(t, "op")), ID: plain.Draw(t, "id"), Class: plain.Draw(t, "class"), Tenant: plain.Draw(t, "tenant"),
			Cluster: rapid.Int64Range(0, 1<<40).Draw(t, "cluster"), Item: rapid.StringMatching(`[^\x00]{1,40}`).Draw(t, "item"), Key: plain.Draw(t, "key"),
			Value: rapid.SliceOf(rapid.Byte()).Draw(t, "value"), Retry: rapid.Bool().Draw(t, "retry")}
		if !ValidCommentValue(c.ID) || !ValidCommentValue(c.Key) {
			t.Fatalf("%q or %q is not taken for plain", c.ID, c.Key)
		}
		wait := rapid.Int64Range(0, 60000).Draw(t, "wait")
		msg := bytes.Join(EncodeCall(c, wait), nil)
		typ, n, err := Header(msg[:5])
		if err != nil || typ != 'Q' || n != len(msg)-5 || msg[len(msg)-1] != 0 {
			t.Fatalf("%c %d of %d, %v", typ, n, len(msg), err)
		}
		buf := NewPool(1, 0).Get(LargeBufSize, 0)
		buf.B = append(buf.B, msg[5:len(msg)-1]...)
		st, err := Parse(buf)
		if err != nil {
			t.Fatalf("%v: %q", err, buf.B)
		}
		if st.ID != c.ID || st.Class != c.Class || st.Tenant != c.Tenant || st.Cluster != c.Cluster || st.ItemKey != c.Item || st.Retry != c.Retry ||
			!st.HasIdempotencyKey || st.WaitMs != wait || st.IsRead != (c.Op == call.Read) {
			t.Fatalf("%+v reads as %+v: %q", c, st, buf.B)
		}
		if c.Op == call.Write && !bytes.Contains(buf.B, EncodeCall(c, wait)[0][len(msg)-len(c.Value)*2-17:len(msg)-17]) {
			t.Fatalf("the value is not in %q", buf.B)
		}
	})
	for _, s := range []string{"", "a,b", "a b", "*/", "a=b", "ü", "a\n", string(make([]byte, 300))} {
		if ValidCommentValue(s) {
			t.Errorf("%q is taken for plain", s)
		}
	}
	b := NewPool(1, 0).Get(LargeBufSize, 0)
	b.B = Append(b.B, 'T', "\x00\x01doc\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")
	b.B = Append(b.B, 'D', "\x00\x01\x00\x00\x00\x06", `\x9f03`)
	if v, err := b.Value(); err != nil || string(v) != "\x9f\x03" {
		t.Errorf("%q, %v", v, err)
	}
	b.B = b.B[:len(b.B)-3]
	if _, err := b.Value(); err == nil {
		t.Error("half an answer has a value")
	}
}
