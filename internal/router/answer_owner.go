package router

import (
	"hash/crc32"
	"slices"

	"spurtrestle/core/routing"
	"spurtrestle/internal/counters"
	"spurtrestle/internal/wire"
)

// Answers carry no request id: an answer is matched with the attempt that waits on its connection. A server may send a
// second answer to an earlier attempt at any time, which would then be taken for that of the next one. A second answer
// repeats one that the same connection has delivered, so each connection remembers its last answers; one that repeats
// another is in doubt, and nobody gets it unless a fence shows that no other answer follows.

// answerOwner tells whether an answer is known to belong to the attempt that waits on its connection.
type answerOwner uint8

const (
	ownerKnown    answerOwner = iota // the answer belongs to the attempt
	ownerPending                     // not known before the reply to a fence has arrived
	ownerInDoubt                     // it may belong to an earlier attempt
	ownerNoMatter                    // it may, but it has no value, and what it says does no harm; the real one may follow
	ownerLost                        // the connection has been closed, and the attempt has ended
)

// answerSum identifies the content of an answer: its checksum and its length.
type answerSum struct {
	Checksum uint32
	Length   int
}

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// add returns the sum of an answer that continues with text.
func (s answerSum) add(text []byte) answerSum {
	return answerSum{Checksum: crc32.Update(s.Checksum, checksumTable, text), Length: s.Length + len(text)}
}

// sumAnswer returns the sum of a value, or of a complete answer that has none.
func sumAnswer(outcome wire.Outcome, answer []byte) answerSum {
	if outcome.Status == routing.OK {
		return answerSum{}.add(outcome.Value)
	}
	return answerSum{}.add(answer)
}

// maxRememberedAnswers bounds the answers that a connection remembers. A second answer that arrives behind more than that
// many others is not recognized.
const maxRememberedAnswers = 16

// answerHistory holds the sums of the last answers on a connection, the oldest first.
type answerHistory []answerSum

func (h answerHistory) contains(sum answerSum) bool { return slices.Contains(h, sum) }

func (h *answerHistory) remember(sum answerSum) {
	if len(*h) == maxRememberedAnswers {
		*h = slices.Delete(*h, 0, 1)
	}
	*h = append(*h, sum)
}

// isFirstAttempt reports whether no attempt was sent on the connection before the current one.
func (up *upstream) isFirstAttempt() bool { return up.attemptCount == 1 }

// ownerOf judges a complete answer to the current attempt by its content and by the bytes that follow it.
func (up *upstream) ownerOf(outcome wire.Outcome, sum answerSum, following []byte) answerOwner {
	switch {
	case up.isFirstAttempt():
		return ownerKnown
	case !up.attempt.fullySent: // a server answers what it has read completely
		return ownerInDoubt
	case !up.answers.contains(sum):
		return ownerKnown
	case outcome.Status != routing.OK && up.attempt.request.isIdempotent(up.r):
		return ownerNoMatter
	}
	return up.confirmOwner(following)
}

// confirmOwner sends a fence behind the attempt, and then judges its answer by whether the fence's reply comes next.
func (up *upstream) confirmOwner(following []byte) answerOwner {
	protocol := up.server.protocol
	fence := protocol.Fence()
	if fence == nil || len(following) > 0 && !up.fenceSent {
		return ownerInDoubt
	}
	if !up.fenceSent {
		up.fenceSent = true
		up.r.counts.RepeatedAnswers++
		if _, err := up.conn.Write(fence); err != nil { // gnet has closed the connection and called onClose
			return ownerLost
		}
		return ownerPending
	}
	used, err := protocol.ReadFence(following)
	switch {
	case err != nil:
		return ownerInDoubt
	case used == 0:
		return ownerPending
	}
	up.r.counts.ConfirmedAnswers++
	return ownerKnown
}

// dropAnswer ends an attempt whose answer is in doubt. Its request may have run; its next attempt gets a connection that has
// carried nothing. The caller closes the connection.
func (up *upstream) dropAnswer(attempt *activeAttempt) {
	attempt.request.needsUnusedConn = true
	status := routing.ConnectError
	if attempt.mayHaveRun() {
		status = routing.Failed
	}
	up.r.endAttempt(attempt, status, nil)
}

// mayCarry reports whether an attempt may be sent on the connection: one that has carried others is out of the question where a
// doubtful answer could neither be confirmed nor be replaced by a retry. The answer to a large write is read off the loop.
func (up *upstream) mayCarry(attempt *activeAttempt) bool {
	request := attempt.request
	return up.attemptCount == 0 || !request.needsUnusedConn && request.largeWrite == nil && !up.needsOwnConn(request)
}

// needsOwnConn reports whether a request shares a connection to this server with no other: no fence can confirm its answer, and
// it must not run twice, or it is a write, whose receipt may be the same for all.
func (up *upstream) needsOwnConn(request *pendingRequest) bool {
	canConfirm := up.server.protocol.Fence() != nil
	return !canConfirm && (request.Write || !request.isIdempotent(up.r))
}

func (request *pendingRequest) isIdempotent(r *Router) bool {
	return r.cfg.Settings.Methods[request.method].Idempotency == routing.Idempotent
}

// noteDuplicate records that a server has answered an attempt twice.
func (up *upstream) noteDuplicate(reason counters.ServerConnectionEnd, receivedBytes int) {
	up.r.counts.AbortedConnections++
	up.closeFor(reason)
	up.logAnomaly(reason, receivedBytes)
	up.r.duplicateGuardUntil = up.r.clock() + up.r.limits.DuplicateResponseWindow
}
