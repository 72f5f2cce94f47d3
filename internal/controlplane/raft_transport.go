package controlplane

import (
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer connects voters over TCP. It implements raft.StreamLayer. It dials from the IP address that it listens on, so that
// the other voters can identify this one by its address.
type streamLayer struct {
	net.Listener
	config RaftConfig
}

// Addr implements net.Listener. It returns the address at which the other voters reach this one.
func (s streamLayer) Addr() net.Addr { return net.TCPAddrFromAddrPort(s.config.Advertise) }

// Dial implements raft.StreamLayer.
func (s streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: s.config.Listen.Addr().AsSlice()}}
	return dialer.Dial("tcp", string(address))
}
