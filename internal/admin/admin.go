// Package admin is the HTTP endpoint for operators and for the tools that watch a router. internal/program starts it on an
// address of its own; its goroutines reach the router through the interfaces below, so that a reply never waits for
// clients' traffic.
package admin

import (
	"errors"
	"net"
	"net/http"
	"time"
)

// Router is the router behind the endpoint. A change is in force once its method returns nil.
type Router interface {
	// Ready returns nil where the router accepts clients, and the reason where it does not.
	Ready() error
	// Metrics returns the metrics as statsd lines.
	Metrics() string
	// BanServer stops sending requests to a cache server, by its name in discovery.
	BanServer(uid string) error
	// UnbanServer ends a ban.
	UnbanServer(uid string) error
	// SetDraining starts or stops draining.
	SetDraining(on bool) error
}

// ErrUnknownServer reports the name of a cache server that is not in the endpoint list.
var ErrUnknownServer = errors.New("no cache server has that id; see discovery's list")

const (
	// callTimeout bounds reading a request and writing a reply, so that silent callers occupy no connection for long.
	callTimeout = 2 * time.Second
	// policyRequestTimeout bounds the reply to a policy request: five seconds for a change of policy, and the time to
	// forward it and to reply.
	policyRequestTimeout = 12 * time.Second
	maxHeaderBytes       = 8 << 10
)

// Serve answers requests until the listener is closed, on at most maxConnections connections at once. It blocks until
// then.
func Serve(ln net.Listener, maxConnections int, router Router) {
	mux := http.NewServeMux()
	for _, r := range routes(router) {
		mux.Handle(r.path, r)
	}
	server := http.Server{
		Handler:        mux,
		ReadTimeout:    callTimeout,
		WriteTimeout:   callTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	server.SetKeepAlivesEnabled(false)
	_ = server.Serve(newEvictingListener(ln, maxConnections)) // returns the error of the closed listener
}
