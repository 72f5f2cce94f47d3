package router

import (
	"net/url"

	"spurtrestle/choice"
	"spurtrestle/internal/httpwire"
)

// appendFetch writes a req as it goes to the origin.
func appendFetch(to []byte, q *req, host string) []byte {
	headers := []httpwire.Header{{Name: "X-Trace-Id", Value: []byte(q.id)}, {Name: "X-Props", Value: q.props}}
	method, body := "GET", []byte(nil)
	if q.write {
		method, body = "PUT", q.value
	}
	return httpwire.AppendRequest(to, method, "/"+url.PathEscape(string(q.key)), host, headers, body)
}

// readResponse reads the origin's answer; ended: the connection brings nothing more.
func (up *upstream) readResponse(w *writeOut, buf []byte, ended bool) (used int, keep bool, err error) {
	answer, used, err := httpwire.Read(buf, ended, up.r.lim.Origin)
	if err != nil || used == 0 {
		return 0, false, err
	}
	report := up.r.report(answer.Get("Endpoint-Load-Metrics"))
	switch {
	case answer.Status == 200:
		up.r.satisfied(w, answer.Body, report)
	case (answer.Status == 503 || answer.Status == 504) && string(answer.Get("X-Never-Ran")) == "1":
		up.r.returned(w, choice.QueueFull, report)
	default:
		up.r.returned(w, choice.Failed, report)
	}
	return used, !answer.Close, nil
}
