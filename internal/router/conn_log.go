package router

import (
	"github.com/sirupsen/logrus"

	"spurtrestle/core/clock"
	"spurtrestle/internal/counters"
	"spurtrestle/internal/wire"
)

// Bounds of the log lines on anomalies, so that a faulty server cannot fill the log.
const (
	maxAnomaliesLogged = 10
	anomalyLogInterval = clock.Second
)

// anomalyLog bounds the rate of log lines on anomalies. It belongs to the loop.
type anomalyLog struct {
	intervalEnd clock.Time
	logged      int
	suppressed  int
}

// admit reports whether another line may be logged now, and how many were suppressed since the last one.
func (l *anomalyLog) admit(now clock.Time) (suppressed int, ok bool) {
	if now >= l.intervalEnd {
		l.intervalEnd = now + anomalyLogInterval
		l.logged = 0
	}
	if l.logged == maxAnomaliesLogged {
		l.suppressed++
		return 0, false
	}
	l.logged++
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}

// closeFor records why the router is about to close the connection. The caller closes it.
func (up *upstream) closeFor(reason counters.ServerConnectionEnd) { up.end = reason }

// logAnomaly logs why the connection is closed, with the requests that it carried last.
func (up *upstream) logAnomaly(reason counters.ServerConnectionEnd, receivedBytes int) {
	now := up.r.clock()
	suppressed, ok := up.r.anomalies.admit(now)
	if !ok {
		return
	}
	fields := logrus.Fields{
		"server":   string(up.r.endpoints.UID(up.server.id)),
		"address":  up.addr,
		"reason":   reason.String(),
		"carried":  up.attemptCount,
		"previous": string(up.previousRequest),
		"received": receivedBytes,
	}
	if attempt := up.attempt; attempt != nil {
		fields["request"] = string(attempt.request.ID)
		fields["attempt"] = int(attempt.number)
		fields["waited"] = toDuration(now - attempt.startedAt)
	} else {
		fields["idle"] = toDuration(now - up.idleSince)
	}
	if suppressed > 0 {
		fields["suppressed"] = suppressed
	}
	up.r.log.WithFields(fields).Warn("server connection: closed for its input")
}

// logEnd logs the end of a client's connection, with what is dropped with it, at the debug level.
func (c *client) logEnd() {
	if !c.r.log.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	c.r.log.WithFields(logrus.Fields{
		"reason":  c.end.String(),
		"pending": len(c.slots),
		"unread":  len(c.input.unread),
		"unsent":  len(c.unsent),
		"idle":    toDuration(c.r.clock() - c.lastActivity),
	}).Debug("client connection: ended")
}

// logAttemptEnd logs the end of an attempt at the debug level.
func (r *Router) logAttemptEnd(attempt *activeAttempt, status string) {
	if !r.log.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"request": string(attempt.request.ID),
		"attempt": int(attempt.number),
		"server":  string(r.endpoints.UID(attempt.server.id)),
		"status":  status,
		"took":    toDuration(r.clock() - attempt.startedAt),
		"sent":    attempt.fullySent,
	}).Debug("attempt: ended")
}

var answerNames = map[wire.AnswerKind]string{wire.Served: "served", wire.Rejected: "rejected", wire.Failed: "failed"}

// logAnswer logs the final answer to a request at the debug level.
func (r *Router) logAnswer(request *pendingRequest, answer wire.Answer) {
	if !r.log.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"request":  string(request.ID),
		"answer":   answerNames[answer.Kind],
		"attempts": int(request.attemptCount),
		"left":     toDuration(request.clientDeadline - r.clock()),
	}).Debug("request: answered")
}
