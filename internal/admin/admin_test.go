package admin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
)

// Golden files were written by build bfb4b5c, never by a later one.

// plainRouter answers with fixed texts. Its failing server is "broken", its unknown one "unknown".
type plainRouter struct{ notReady error }

func (r plainRouter) Ready() error              { return r.notReady }
func (plainRouter) Metrics() string             { return "router.forwards:7|c\n" }
func (plainRouter) BanServer(id string) error   { return answerFor(id) }
func (plainRouter) UnbanServer(id string) error { return answerFor(id) }
func (plainRouter) SetDraining(on bool) error {
	if on {
		return nil
	}
	return errors.New("the router did not come to it in time; ask again")
}

func answerFor(id string) error {
	switch id {
	case "broken":
		return errors.New("the loop is gone")
	case "unknown":
		return ErrUnknownServer
	}
	return nil
}

// policyRouter is a router with a view of its fleet and a policy.
type policyRouter struct{ plainRouter }

func (policyRouter) StatusJSON() (string, error) { return `{"routers":[]}`, nil }
func (policyRouter) Policy() (string, error)     { return `{"revision":3}`, nil }
func (policyRouter) HandleRequest(request string) (string, error) {
	if len(request) > 1000 {
		return fmt.Sprint(len(request), "\n"), nil
	}
	return "asked: " + request + "\n", nil
}

// TestGolden_Replies holds status, headers and body of every reply of the endpoint to those of build bfb4b5c.
func TestGolden_Replies(t *testing.T) {
	const golden = "testdata/replies.golden"
	var all strings.Builder
	for _, router := range []struct {
		name string
		Router
	}{
		{"plain", plainRouter{}},
		{"not ready", plainRouter{errors.New("not ready: no list of servers yet")}},
		{"policy", policyRouter{}},
	} {
		addr := serve(t, router.Router)
		for _, request := range []struct{ method, path, body string }{
			{"GET", "/ops/readiness", ""}, {"PUT", "/ops/readiness", ""}, {"GET", "/ops/stats", ""},
			{"PUT", "/ops/cache-servers/down", "cache-a\n"}, {"PUT", "/ops/cache-servers/down", ""},
			{"PUT", "/ops/cache-servers/down", "unknown"}, {"PUT", "/ops/cache-servers/down", "broken"},
			{"PUT", "/ops/cache-servers/down", strings.Repeat("x", 257)}, {"GET", "/ops/cache-servers/down", ""},
			{"PUT", "/ops/cache-servers/up", "cache-a"}, {"PUT", "/ops/cache-servers/up", "unknown"},
			{"PUT", "/ops/drain/start", ""}, {"PUT", "/ops/drain/stop", ""}, {"POST", "/ops/drain/stop", ""},
			{"GET", "/ops/policy", ""}, {"POST", "/ops/policy/ask", "state"}, {"GET", "/ops/policy/ask", ""},
			{"POST", "/ops/policy/ask", strings.Repeat("p", 300<<10)}, {"GET", "/ops/fleet", ""}, {"GET", "/ops/none", ""},
		} {
			fmt.Fprintf(&all, "## %s: %s %s, %d bytes\n%s\n", router.name, request.method, request.path, len(request.body),
				reply(t, addr, request.method, request.path, request.body))
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if all.String() != string(want) {
		t.Errorf("replies:\ngot\n%s\nwant\n%s", all.String(), want)
	}
}

// serve runs the endpoint until the test ends and returns its address.
func serve(t *testing.T, router Router) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		Serve(ln, 4, router)
		close(done)
	}()
	t.Cleanup(func() {
		ln.Close()
		<-done
	})
	return ln.Addr().String()
}

// reply is the whole answer to a request, without its date.
func reply(t *testing.T, addr, method, path, body string) string {
	t.Helper()
	request, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	response.Header.Del("Date")
	return fmt.Sprintf("%s\n%v\n%s", response.Status, response.Header, text)
}

// TestServe_OldestCallerMakesRoom opens more connections than the endpoint keeps: the one that came first is closed.
func TestServe_OldestCallerMakesRoom(t *testing.T) {
	addr := serve(t, plainRouter{})
	var conns []net.Conn
	for range 5 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conns = append(conns, conn)
	}
	if n, err := conns[0].Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("first of five connections: got %d bytes, %v, want it closed", n, err)
	}
	fmt.Fprint(conns[4], "GET /ops/readiness HTTP/1.0\r\n\r\n")
	if text, err := io.ReadAll(conns[4]); !strings.Contains(string(text), "ready") || err != nil {
		t.Errorf("last of five connections: got %q, %v, want an answer", text, err)
	}
}
