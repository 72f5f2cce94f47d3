package router

import (
	"strings"
	"testing"
)

// TestCounters_TellWhatIsHeldForClients guards against memory that is held for clients and appears in no figure.
func TestCounters_TellWhatIsHeldForClients(t *testing.T) {
	l, completeDial := newHeldDials(t, nil)
	client := l.open(nil)
	value := strings.Repeat("v", 1000)
	l.receive(client, command("CACHE.GET", "k", "r0", "c=get,d=1900")+command("PING", value)+"*1\r\n$4\r\nPI")
	l.receive(completeDial(), "*3\r\n$1000\r\nhalf")
	client.outboundBytes = 7
	want := "held-bytes=24 held(unread-input=10 requests=24 pending-answers=1024 unsent-output=7 large-values=0 server-input=15)"
	if got := l.r.Counters(); !strings.Contains(got, want) {
		t.Errorf("got %s, want %s", got, want)
	}
}
