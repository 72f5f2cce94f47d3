package admin

import "net"

// evictingListener bounds the connections of a listener: one beyond the bound closes the oldest. Callers that stay
// without a request thus take no descriptors from clients, and do not block other callers.
type evictingListener struct {
	net.Listener
	accepted chan net.Conn // the latest ones by age, those that have ended included: calls are short
}

func newEvictingListener(ln net.Listener, maxConnections int) *evictingListener {
	return &evictingListener{Listener: ln, accepted: make(chan net.Conn, maxConnections)}
}

// Accept is called by one goroutine, the HTTP server's.
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
			oldest.Close() // the caller gets no reply; an error means that the connection has ended
		}
	}
}
