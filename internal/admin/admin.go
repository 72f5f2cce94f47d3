// Package admin is the admin HTTP endpoint: on an address and on goroutines of its own, so that an answer never waits
// for a client, and bounded, so that callers who stay take nothing from clients and servers.
package admin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Router is what the admin endpoint speaks for. What is told to it is in force once it returns nil.
type Router interface {
	Ready() error // nil: it takes clients; else why not
	Figures() string
	BanServer(uid string) error
	UnbanServer(uid string) error
	SetDraining(on bool) error
}

// Fleet is a router that keeps a view of its fleet.
type Fleet interface {
	Whole() (string, error) // as JSON
}

// Policy is a router that is kept to a policy of its fleet.
type Policy interface {
	Policy() (string, error) // what it holds, as JSON
	Ask(request string) (string, error)
}

// ErrUnknownServer reports an id that no cache server of the endpoint list has.
var ErrUnknownServer = errors.New("no cache server has that id; see discovery's list")

const (
	longestID   = 256
	longestBody = 256 << 10 // a policy, as JSON
	// A change of policy has five seconds, and who asks for it is told of it a little later.
	changePatience = 12 * time.Second
	// A caller who says nothing goes before the four seconds that such callers were seen to stay.
	patience = 2 * time.Second
)

// Serve answers calls on ln, so many at once, until it is closed. Of callers beyond that the one longest there goes.
func Serve(ln net.Listener, most int, r Router) {
	mux := http.NewServeMux()
	for path, call := range map[string]struct {
		method string
		do     func(body string) (string, error)
	}{
		"/ops/readiness":          {"GET", func(string) (string, error) { return "ready\n", r.Ready() }},
		"/ops/stats":              {"GET", func(string) (string, error) { return r.Figures(), nil }},
		"/ops/cache-servers/down": {"PUT", func(id string) (string, error) { return "out\n", withID(id, r.BanServer) }},
		"/ops/cache-servers/up":   {"PUT", func(id string) (string, error) { return "in use\n", withID(id, r.UnbanServer) }},
		"/ops/drain/start":        {"PUT", func(string) (string, error) { return "draining\n", r.SetDraining(true) }},
		"/ops/drain/stop":         {"PUT", func(string) (string, error) { return "taking clients\n", r.SetDraining(false) }},
		"/ops/policy": {"GET", func(string) (string, error) {
			if p, ok := r.(Policy); ok {
				return p.Policy()
			}
			return "", errNoPolicy
		}},
		"/ops/policy/ask": {"POST", func(body string) (string, error) {
			if p, ok := r.(Policy); ok {
				return p.Ask(body)
			}
			return "", errNoPolicy
		}},
		"/ops/fleet": {"GET", func(string) (string, error) {
			if f, ok := r.(Fleet); ok {
				return f.Whole()
			}
			return "", errNoView
		}},
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, q *http.Request) {
			if q.Method != call.method {
				w.Header().Set("Allow", call.method)
				http.Error(w, "the method of this call is "+call.method, http.StatusMethodNotAllowed)
				return
			}
			most := int64(longestID + 64)
			if _, ok := r.(Policy); ok && path == "/ops/policy/ask" {
				most = longestBody
				_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(changePatience)) // a shorter one only ends sooner
			}
			body, err := io.ReadAll(io.LimitReader(q.Body, most))
			if err != nil {
				http.Error(w, "the body did not come whole", http.StatusBadRequest)
				return
			}
			text, err := call.do(strings.TrimSpace(string(body)))
			switch {
			case err == nil:
				_, _ = io.WriteString(w, text) // the caller may be gone
			case errors.Is(err, ErrUnknownServer), errors.Is(err, errNoView), errors.Is(err, errNoPolicy):
				http.Error(w, err.Error(), http.StatusNotFound)
			case errors.Is(err, errBody):
				http.Error(w, err.Error(), http.StatusBadRequest)
			default:
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			}
		})
	}
	s := http.Server{Handler: mux, ReadTimeout: patience, WriteTimeout: patience, MaxHeaderBytes: 8 << 10,
		ErrorLog: nil}
	s.SetKeepAlivesEnabled(false)
	_ = s.Serve(&bounded{Listener: ln, most: most}) // ends with the listener
}

var errNoPolicy = errors.New("this router is kept to no policy of a fleet; policy.cut_off in the operator's file switches it on")

var errNoView = errors.New("this router keeps no view of a fleet; fleet.name in the operator's file switches it on")

var errBody = errors.New("the body is to be the id of a cache server")

func withID(id string, do func(string) error) error {
	if id == "" || len(id) > longestID {
		return fmt.Errorf("%w, of 1 to %d bytes", errBody, longestID)
	}
	return do(id)
}

// bounded keeps at most so many connections; the oldest makes room for a new one.
type bounded struct {
	net.Listener
	most int
	open chan *held // in order of their coming; those that ended are still in it
}

type held struct {
	net.Conn
}

func (b *bounded) Accept() (net.Conn, error) {
	if b.open == nil {
		b.open = make(chan *held, b.most)
	}
	c, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	h := &held{c}
	for {
		select {
		case b.open <- h:
			return h, nil
		default:
			(<-b.open).Close()
		}
	}
}
