// Package http1 speaks the platform's form of HTTP/1.1 to the origin. It does no I/O.
package http1

import (
	"net/url"

	"spurtrestle/choice"
	"spurtrestle/internal/httpwire"
	"spurtrestle/internal/wire"
)

// Back speaks to the origin.
type Back struct{ Bounds httpwire.Bounds }

// Append adds a request. It tells no time: the origin does not ask for one.
func (Back) Append(to []byte, q *wire.Req, _ choice.Micros, host string) []byte {
	headers := []httpwire.Header{{Name: "X-Trace-Id", Value: []byte(q.ID)}, {Name: "X-Props", Value: q.Props}}
	method, body := "GET", []byte(nil)
	if q.Write {
		method, body = "PUT", q.Value
	}
	return httpwire.AppendRequest(to, method, "/"+url.PathEscape(string(q.Key)), host, headers, body)
}

// Long reads the head of an answer with a big value.
func (b Back) Long(buf []byte) (o wire.Outcome, at, size int, ok bool) {
	answer, at, size := httpwire.Long(buf, b.Bounds)
	return wire.Outcome{Status: choice.OK, Report: answer.Get("Endpoint-Load-Metrics")}, at, size, at > 0 && answer.Status == 200 && !answer.Close
}

// Behind reads what stands behind the value: nothing may.
func (Back) Behind(buf []byte) (whole, keep bool, err error) { return true, len(buf) == 0, nil }

// Read reads the origin's answer.
func (b Back) Read(buf []byte, ended bool) (o wire.Outcome, used int, keep bool, err error) {
	answer, used, err := httpwire.Read(buf, ended, b.Bounds)
	if err != nil || used == 0 {
		return o, 0, false, err
	}
	o.Report = answer.Get("Endpoint-Load-Metrics")
	switch {
	case answer.Status == 200:
		o.Status, o.Value = choice.OK, answer.Body
	case (answer.Status == 503 || answer.Status == 504) && string(answer.Get("X-Never-Ran")) == "1":
		o.Status = choice.QueueFull
	default:
		o.Status = choice.Failed
	}
	return o, used, !answer.Close, nil
}
