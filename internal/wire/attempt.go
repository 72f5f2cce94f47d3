package wire

import (
	"bytes"
	"strconv"

	"spurtrestle/core/clock"
)

// Attempt is one send of a request to one server. Its properties can be written out only with the deadline that the
// server is sent, so that no protocol can pass on the deadline that the client gave at first.
type Attempt struct {
	Request  *Request
	Host     string // where it goes, host and port
	deadline Deadline
}

// NewAttempt makes an attempt of a request. remaining is how long its server's answer can still be of use: until the
// router stops waiting or the client does, whichever is first, as of the moment in which the attempt is written.
func NewAttempt(request *Request, host string, remaining clock.Time) Attempt {
	return Attempt{Request: request, Host: host, deadline: deadlineOf(remaining)}
}

// AppendProps adds the properties of the request, with the deadline of this attempt in place of the client's.
func (a Attempt) AppendProps(to []byte) []byte { return a.Request.Props.append(to, a.deadline) }

// Deadline is the time that a server is told to have, in whole milliseconds, at least one.
type Deadline int64

const microsPerMilli = 1000

// deadlineOf rounds down, so that a server never counts on more time than is left.
func deadlineOf(remaining clock.Time) Deadline {
	return Deadline(max(1, remaining/microsPerMilli))
}

// Props are the properties of a request, names and values as its client gave them. Their text is not accessible: what is
// sent on carries the deadline of its attempt.
type Props struct{ text []byte }

// NewProps holds the text of properties, "name=value" joined by commas. It does not copy the text.
func NewProps(text []byte) Props { return Props{text} }

// Len is the size of the text in bytes.
func (p Props) Len() int { return len(p.text) }

var deadlineName = []byte("d=")

// append adds the properties with each deadline among them replaced, and all else byte for byte.
func (p Props) append(to []byte, d Deadline) []byte {
	first := true
	for property := range bytes.SplitSeq(p.text, []byte(",")) {
		if !first {
			to = append(to, ',')
		}
		first = false
		if bytes.HasPrefix(property, deadlineName) {
			to = append(to, deadlineName...)
			to = strconv.AppendInt(to, int64(d), 10)
			continue
		}
		to = append(to, property...)
	}
	return to
}
