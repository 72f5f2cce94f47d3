package gossip

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/sirupsen/logrus"
)

// Timings of memberlist, relative to the probe interval. The rate of broadcasts is that of memberlist.DefaultLANConfig, whose
// probe interval is a second; full states are exchanged more often, and connections time out sooner.
const (
	gossipsPerProbe    = 5
	fullStateProbes    = 10
	gossipToDeadProbes = 30
	connectionProbes   = 2
)

// minConnectionTimeout is the lower bound of the connection timeout.
const minConnectionTimeout = time.Second

// handoffQueueDepth is enough for the messages of some hundred routers that start at the same time.
const handoffQueueDepth = 4096

// gossipInterval returns the interval between two rounds of broadcasts.
func (n *Node) gossipInterval() time.Duration { return n.config.ProbeInterval / gossipsPerProbe }

// listen opens the sockets and starts memberlist, which then answers other nodes.
func (n *Node) listen() error {
	config := n.memberlistConfig()
	listenAddr := n.config.Listen
	sockets, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{listenAddr.Addr().String()},
		BindPort:  int(listenAddr.Port()),
		Logger:    config.Logger,
	})
	if err != nil {
		return err
	}
	bound := newBoundTransport(sockets, &net.TCPAddr{IP: listenAddr.Addr().AsSlice()})
	config.Transport = newMeteredTransport(bound, &n.traffic, n.config.FaultyLinks)
	n.broadcasts = &memberlist.TransmitLimitedQueue{RetransmitMult: n.retransmitFactor(config), NumNodes: n.peerCount}
	list, err := memberlist.Create(config)
	if err != nil {
		return errors.Join(err, bound.Shutdown())
	}
	n.mu.Lock()
	n.list = list
	n.mu.Unlock()
	return nil
}

func (n *Node) memberlistConfig() *memberlist.Config {
	probe := n.config.ProbeInterval
	config := memberlist.DefaultLANConfig()
	config.Name = memberName(n.self)
	config.AdvertiseAddr = n.config.Advertise.Addr().String()
	config.AdvertisePort = int(n.config.Advertise.Port())
	config.ProbeInterval = probe
	config.ProbeTimeout = probe / 2
	config.GossipInterval = n.gossipInterval()
	config.PushPullInterval = n.fullStateInterval()
	config.GossipToTheDeadTime = gossipToDeadProbes * probe
	config.TCPTimeout = max(connectionProbes*probe, minConnectionTimeout)
	config.EnableCompression = false // heartbeats are too short to benefit
	config.HandoffQueueDepth = handoffQueueDepth
	callbacks := delegate{node: n}
	config.Delegate = callbacks
	config.Events = callbacks
	config.Ping = callbacks
	config.Alive = callbacks
	config.Merge = callbacks
	config.Logger = log.New(io.Discard, "", 0)
	if n.log.IsLevelEnabled(logrus.DebugLevel) {
		config.Logger = log.New(n.log.WriterLevel(logrus.DebugLevel), "", 0)
	}
	return config
}

func (n *Node) peerCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peers)
}

// boundTransport dials from the address that the router listens on, so that the peer can identify the router by its address.
// Shutdown closes the dialled connections and aborts dials in progress: with a peer that does not answer, they would last until
// the connection timeout.
type boundTransport struct {
	*memberlist.NetTransport
	local  *net.TCPAddr
	ctx    context.Context
	cancel context.CancelFunc
}

func newBoundTransport(sockets *memberlist.NetTransport, local *net.TCPAddr) boundTransport {
	ctx, cancel := context.WithCancel(context.Background())
	return boundTransport{NetTransport: sockets, local: local, ctx: ctx, cancel: cancel}
}

// DialTimeout implements memberlist.Transport.
func (t boundTransport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t boundTransport) DialAddressTimeout(addr memberlist.Address, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, LocalAddr: t.local}
	conn, err := dialer.DialContext(t.ctx, "tcp", addr.Addr)
	if err != nil {
		return nil, err
	}
	release := context.AfterFunc(t.ctx, func() { _ = conn.Close() }) // reads and writes in progress fail
	return &dialledConn{Conn: conn, release: release}, nil
}

// Shutdown implements memberlist.Transport.
func (t boundTransport) Shutdown() error {
	t.cancel()
	return t.NetTransport.Shutdown()
}

// dialledConn is a connection that its transport closes at shutdown.
type dialledConn struct {
	net.Conn
	release func() bool // detaches the connection from the transport
}

// Close implements net.Conn.
func (c *dialledConn) Close() error {
	c.release()
	return c.Conn.Close()
}
