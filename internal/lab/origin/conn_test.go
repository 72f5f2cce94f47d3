package origin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"spurtrestle/internal/lab/cacheserver"
	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/scenario"
)

// The body of a write may arrive long after its headers. An attempt is recorded with the time of its first byte and its
// deadline, also on a reused connection.
func TestAttemptsAreRecordedWithFirstByteAndDeadlineSent(t *testing.T) {
	log := event.NewLog()
	methods := map[string]scenario.Method{"book": {Name: "book", Effect: "non-retryable"}}
	o, err := Start(&Config{Log: log, Settings: scenario.Origin{Cores: 1, Work: 1}, Methods: methods, Deduplicator: &cacheserver.Deduplicator{},
		IsColdMiss: func(event.RequestID) bool { return false }, OnWrite: func(string) {}}, []string{"127.15.0.2:18080"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer o.Close()
	c, err := net.Dial("tcp", o.Addr(0))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	write := func(text string) {
		if _, err := c.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
	}
	for _, attempt := range []struct {
		id, props string
		want      event.Micros
	}{{"id1", "c=book,d=700", 700e3}, {"id2", "c=book,d=1", 1e3}, {"id3", "c=book", 0}} {
		before := log.Now()
		write("PUT /k HTTP/1.1\r\nHost: o\r\nX-Trace-Id: " + attempt.id + "\r\nX-Props: " + attempt.props + "\r\nContent-Length: 2\r\n" +
			"Expect: 100-continue\r\n\r\n")
		expectContinue(t, answers)
		body := log.Now()
		write("vv")
		answer, err := http.ReadResponse(answers, nil)
		if err != nil || answer.StatusCode != http.StatusOK {
			t.Fatal(answer, err)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		begun := beginningOf(log, event.RequestID(attempt.id))
		if begun.Since < before || begun.Since >= body || begun.At < body {
			t.Errorf("%s: first byte at %v, complete at %v; want at least %v and %v", attempt.id, begun.Since, begun.At, before, body)
		}
		if begun.DeadlineSent != attempt.want {
			t.Errorf("%s: %q was recorded as %v", attempt.id, attempt.props, begun.DeadlineSent)
		}
	}
}

// expectContinue waits until the origin has read the headers and requests the body.
func expectContinue(t *testing.T, answers *bufio.Reader) {
	for _, want := range []string{"HTTP/1.1 100 Continue\r\n", "\r\n"} {
		if line, err := answers.ReadString('\n'); err != nil || line != want {
			t.Fatalf("%q, %v", line, err)
		}
	}
}

func beginningOf(log *event.Log, id event.RequestID) event.Event {
	for _, e := range log.Events() {
		if e.Kind == event.AttemptReceived && e.Request == id {
			return e
		}
	}
	return event.Event{}
}
