package router

import (
	"encoding/json"
	"os"
	"testing"

	"spurtrestle/internal/operatorstate"
)

// TestGolden_HandoverBodies compares the JSON bodies of handover frames with those of build bfb4b5c, which wrote
// the golden file: a predecessor or successor of that build sends and reads them. Their field names are the Go
// field names of that build.
func TestGolden_HandoverBodies(t *testing.T) {
	const golden = "testdata/handover.golden"
	var state operatorstate.State
	if err := json.Unmarshal([]byte(`{"down":["cache-a"],"back":{"cache-b":7},"empty":true}`), &state); err != nil {
		t.Fatal(err)
	}
	got := ""
	for _, body := range []any{
		operatorFrame{State: state, NotPersisted: true, NoSharesGranted: true},
		largeReadFrame{Server: "cache-a", Method: "get", Pending: []byte("p"), Remaining: 5, CloseAfter: true, Terminated: true, Trailing: []byte("h"),
			Answers: []byte("a"), Unread: []byte("r")},
	} {
		text, err := json.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		got += string(text) + "\n"
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("bodies:\ngot\n%swant\n%s", got, want)
	}
}
