package router

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"strconv"

	"spurtrestle/choice"
	"spurtrestle/internal/resp"
	"spurtrestle/internal/settings"
)

// appendCommand writes a req as it goes to a cache server: unchanged but for d.
func appendCommand(to []byte, q *req, left choice.Micros) []byte {
	words := [][]byte{q.verb, q.key, []byte(q.id), propsFor(nil, q.props, left)}
	if q.write {
		words = append(words, q.value)
	}
	return resp.AppendCommand(to, words...)
}

var errUnexpected = errors.New("an answer of no known form")

// readReply reads a cache server's answer.
func (up *upstream) readReply(w *writeOut, buf []byte, _ bool) (used int, keep bool, err error) {
	reply, used, err := resp.ReadReply(buf, up.r.lim.Resp)
	if err != nil || used == 0 {
		return 0, false, err
	}
	switch {
	case reply.Kind == '*' && len(reply.Items) == 3 && reply.Items[0].Kind == '$':
		report := up.r.report(reply.Items[2].Text)
		if reply.Items[0].Null {
			up.r.returned(w, choice.Miss, report)
		} else {
			up.r.satisfied(w, reply.Items[0].Text, report)
		}
	case reply.Kind == '-' && isWord(reply.Text, "BUSY"):
		up.r.returned(w, choice.QueueFull, nil)
	case reply.Kind == '-':
		last := reply.Text[bytes.LastIndexByte(reply.Text, ' ')+1:]
		up.r.returned(w, choice.Failed, up.r.report(last))
	default:
		return 0, false, errUnexpected
	}
	return used, true, nil
}

// isWord tells whether the first word of a line is this one.
func isWord(line []byte, word string) bool {
	first, _, _ := bytes.Cut(line, []byte(" "))
	return string(first) == word
}

// report reads "name=value,..." into the order of the settings; nil where nothing is told.
func (r *Router) report(text []byte) choice.Report {
	if bytes.IndexByte(text, '=') < 0 {
		return nil
	}
	out := make(choice.Report, len(r.cfg.Settings.ReportFields))
	for i := range out {
		out[i] = math.NaN()
	}
	for part := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(part, []byte("="))
		figure, known := settings.Figures[string(name)]
		i := slices.Index(r.cfg.Settings.ReportFields, figure)
		if x, err := strconv.ParseFloat(string(value), 64); known && i >= 0 && err == nil {
			out[i] = x
		}
	}
	return out
}
