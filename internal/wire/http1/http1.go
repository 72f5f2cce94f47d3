// Package http1 encodes attempts at the origin and decodes its answers, in the platform's form of HTTP/1.1. The router uses
// it as a wire.ServerCodec. It does no I/O and keeps no state.
package http1

import (
	"errors"
	"net/url"
	"strconv"

	"spurtrestle/core/routing"
	"spurtrestle/internal/httpwire"
	"spurtrestle/internal/wire"
)

// Codec is the wire.ServerCodec for the origin.
type Codec struct{ Bounds httpwire.Bounds }

// AppendAttempt implements wire.ServerCodec.
func (Codec) AppendAttempt(to []byte, a wire.Attempt) []byte {
	method, path, headers, body := requestParts(a)
	return httpwire.AppendRequest(to, method, path, a.Host, headers, body)
}

// AppendStreamedWrite implements wire.ServerCodec.
func (Codec) AppendStreamedWrite(to []byte, a wire.Attempt, size int) (head []byte, tail string) {
	method, path, headers, _ := requestParts(a)
	headers = append(headers, httpwire.Header{Name: "Content-Length", Value: strconv.AppendInt(nil, int64(size), 10)})
	return httpwire.AppendRequest(to, method, path, a.Host, headers, nil), ""
}

// requestParts returns what a request for an attempt consists of; body is nil for a read.
func requestParts(a wire.Attempt) (method, path string, headers []httpwire.Header, body []byte) {
	request := a.Request
	headers = []httpwire.Header{{Name: "X-Trace-Id", Value: []byte(request.ID)}, {Name: "X-Props", Value: a.AppendProps(nil)}}
	method = "GET"
	if request.Write {
		method, body = "PUT", request.Value
	}
	return method, "/" + url.PathEscape(string(request.Key)), headers, body
}

// ReadLargeAnswer implements wire.ServerCodec.
func (c Codec) ReadLargeAnswer(buf []byte) (head wire.ValueHead, ok bool) {
	answer, start, size := httpwire.ReadLargeHead(buf, c.Bounds)
	outcome := wire.Outcome{Status: routing.OK, Report: answer.Get("Endpoint-Load-Metrics"), Close: answer.Close}
	return wire.ValueHead{Outcome: outcome, Start: start, Size: size}, start > 0 && answer.Status == 200
}

// ReadValueHead implements wire.ServerCodec.
func (c Codec) ReadValueHead(buf []byte) (head wire.ValueHead, ok bool) {
	c.Bounds.Body = 0
	return c.ReadLargeAnswer(buf)
}

// ReadTrailer implements wire.ServerCodec. An answer ends with its value.
func (Codec) ReadTrailer([]byte) (used int, complete bool, err error) { return 0, true, nil }

var errNoFence = errors.New("HTTP has no fence")

// Fence implements wire.ServerCodec. HTTP/1.1 has no request whose response cannot be confused with the answer to an attempt.
func (Codec) Fence() []byte { return nil }

// ReadFence implements wire.ServerCodec.
func (Codec) ReadFence([]byte) (used int, err error) { return 0, errNoFence }

// ReadAnswer implements wire.ServerCodec. An answer of 503 or 504 with the header "X-Never-Ran: 1" means that the origin
// has not run the request.
func (c Codec) ReadAnswer(buf []byte, ended bool) (o wire.Outcome, used int, keep bool, err error) {
	answer, used, err := httpwire.ReadResponse(buf, ended, c.Bounds)
	if err != nil || used == 0 {
		return o, 0, false, err
	}
	o.Report = answer.Get("Endpoint-Load-Metrics")
	switch {
	case answer.Status == 200:
		o.Status, o.Value = routing.OK, answer.Body
	case (answer.Status == 503 || answer.Status == 504) && string(answer.Get("X-Never-Ran")) == "1":
		o.Status = routing.QueueFull
	default:
		o.Status = routing.Failed
	}
	return o, used, !answer.Close, nil
}
