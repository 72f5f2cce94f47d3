package admin

import "net"

// evictingListener limits the number of connections of a listener: a connection above the limit closes the oldest. Callers that
// keep idle connections open thus neither use up the descriptors of clients nor block other callers.
type evictingListener struct {
	net.Listener
	accepted chan net.Conn // the latest connections from oldest to newest, including closed ones: calls are short
}

func newEvictingListener(ln net.Listener, maxConnections int) *evictingListener {
	return &evictingListener{Listener: ln, accepted: make(chan net.Conn, maxConnections)}
}

// Accept returns the next connection. Only one goroutine, that of the HTTP server, may call it.
func (l *evictingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		select {
		case l.accepted <- conn:
			return conn, nil
		default:
			oldest := <-l.accepted
			oldest.Close() // its caller gets no reply; an error means that it was closed already
		}
	}
}
