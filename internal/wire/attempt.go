package wire

import (
	"bytes"
	"strconv"

	"spurtrestle/core/clock"
)

// Attempt is one transmission of a request to one server. Its properties can be encoded only together with the deadline of
// the attempt, so that no protocol can forward the client's original deadline.
type Attempt struct {
	Request  *Request
	Host     string // host and port of the server
	deadline Deadline
}

// NewAttempt returns an attempt of a request. remaining is how long an answer from the server is still useful, measured
// when the attempt is encoded: until the router or the client stops waiting, whichever comes first.
func NewAttempt(request *Request, host string, remaining clock.Time) Attempt {
	return Attempt{Request: request, Host: host, deadline: newDeadline(remaining)}
}

// AppendProps appends the request's properties, with the deadline of this attempt in place of the client's.
func (a Attempt) AppendProps(to []byte) []byte { return a.Request.Props.append(to, a.deadline) }

// Deadline is the time that a server is given for an attempt, in whole milliseconds. It is at least 1.
type Deadline int64

const microsPerMilli = 1000

// newDeadline rounds down, so that a server is never given more time than remains.
func newDeadline(remaining clock.Time) Deadline {
	return Deadline(max(1, remaining/microsPerMilli))
}

// Props holds the properties of a request, names and values as the client sent them. The text is not accessible, because
// what is forwarded must carry the deadline of its attempt instead of the client's.
type Props struct{ text []byte }

// NewProps wraps properties in the form "name=value", joined by commas. It does not copy the text.
func NewProps(text []byte) Props { return Props{text} }

// Len returns the size of the text in bytes.
func (p Props) Len() int { return len(p.text) }

var deadlinePrefix = []byte("d=")

// append appends the properties, with each deadline among them replaced and everything else unchanged.
func (p Props) append(to []byte, d Deadline) []byte {
	text := p.text
	for first := true; ; first = false {
		at := 0
		if !first || !bytes.HasPrefix(text, deadlinePrefix) {
			next := bytes.Index(text, separatedDeadline)
			if next < 0 {
				return append(to, text...)
			}
			at = next + len(",")
		}
		to = append(append(to, text[:at]...), deadlinePrefix...)
		to = strconv.AppendInt(to, int64(d), 10)
		text = text[at:]
		end := bytes.IndexByte(text, ',')
		if end < 0 {
			return to
		}
		text = text[end:]
	}
}

var separatedDeadline = []byte(",d=")
