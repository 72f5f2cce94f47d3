// Package grpcfront takes requests of gRPC clients and hands them to the router's loop; it decides nothing about them. The
// library's goroutines stand off the loop: a call is offered in a bounded queue, and its answer comes back through a channel
// with room for it, so that neither side ever waits for the other.
package grpcfront

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/router"
	"spurtrestle/internal/wire"
	cachev1 "spurtrestle/proto/spurtrestle/cache/v1"
)

// Router is the side of the loop.
type Router interface {
	Offer(*router.Offer) bool
	Withdraw(*router.Offer)
	OnServing(func(bool))
}

// Limits bound what clients can make the front hold.
type Limits struct {
	Connections int
	Streams     int // calls at once on a connection
	ValueBytes  int // bytes of a value
}

const (
	around      = 4 << 10 // bytes of a message beside its value
	headers     = 8 << 10
	mostText    = 256                    // bytes of an id, a method or a tenant
	leastPing   = 10 * time.Second       // a client that pings more often is sent away
	idle        = 5 * time.Minute        // a connection without a call for so long is closed
	half        = 20 * time.Second       // a peer that has vanished is found out within that, and as long again
	handshake   = 2 * time.Second        // a connection on which nothing begins by then is closed
	perStream   = 64 << 10               // a slow reader holds up itself alone
	lastAnswers = 500 * time.Millisecond // beyond the longest deadline, until what is left is cut off
)

// Server is the front.
type Server struct {
	cachev1.UnimplementedCacheServiceServer
	r      Router
	lim    Limits
	server *grpc.Server
	health *health.Server
	conns  sync.Map // *counted by the client's address
}

// New returns a front that does not listen yet. Call it before the router runs.
func New(r Router, lim Limits) *Server {
	s := &Server{r: r, lim: lim, health: health.NewServer()}
	s.server = grpc.NewServer(grpc.MaxConcurrentStreams(uint32(lim.Streams)), grpc.MaxRecvMsgSize(lim.ValueBytes+around),
		grpc.MaxSendMsgSize(lim.ValueBytes+around), grpc.MaxHeaderListSize(headers), grpc.ConnectionTimeout(handshake),
		grpc.InitialWindowSize(perStream), grpc.InitialConnWindowSize(4*perStream),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: leastPing, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idle, Time: half, Timeout: half}))
	cachev1.RegisterCacheServiceServer(s.server, s)
	healthv1.RegisterHealthServer(s.server, s.health)
	s.serving(false)
	r.OnServing(s.serving)
	return s
}

func (s *Server) serving(on bool) {
	state := healthv1.HealthCheckResponse_NOT_SERVING
	if on {
		state = healthv1.HealthCheckResponse_SERVING
	}
	s.health.SetServingStatus("", state)
	s.health.SetServingStatus(cachev1.CacheService_ServiceDesc.ServiceName, state)
}

// Serve takes connections until Stop.
func (s *Server) Serve(ln net.Listener) error {
	return s.server.Serve(&bounded{Listener: ln, room: make(chan struct{}, s.lim.Connections), open: &s.conns})
}

// Stop takes no new calls, and returns once those in hand are over; after the longest deadline they are cut off.
func (s *Server) Stop(longest time.Duration) {
	cut := time.AfterFunc(longest+lastAnswers, s.server.Stop)
	defer cut.Stop()
	s.server.GracefulStop()
}

// Get reads a key.
func (s *Server) Get(ctx context.Context, q *cachev1.GetRequest) (*cachev1.GetResponse, error) {
	value, err := s.ask(ctx, q.GetAttributes(), q.GetKey(), nil, false)
	if err != nil {
		return nil, err
	}
	return &cachev1.GetResponse{Value: value}, nil
}

// Set writes a key.
func (s *Server) Set(ctx context.Context, q *cachev1.SetRequest) (*cachev1.SetResponse, error) {
	value, err := s.ask(ctx, q.GetAttributes(), q.GetKey(), q.GetValue(), true)
	if err != nil {
		return nil, err
	}
	return &cachev1.SetResponse{Receipt: value}, nil
}

// ended is how a call ended, on its way from the loop.
type ended struct {
	wire.Answer
	refused router.Refusal
}

// ask offers a request and waits for its one answer.
func (s *Server) ask(ctx context.Context, at *cachev1.Attributes, key, value []byte, write bool) ([]byte, error) {
	if field, what := s.wrong(at, key, value); what != "" {
		return nil, invalid(field, what)
	}
	done := make(chan ended, 1)
	o := &router.Offer{Request: wire.Request{ID: routing.RequestID(at.GetId()), Key: key, Value: value, Write: write}, Method: at.GetMethod(),
		Tenant: routing.Tenant(at.GetTenant()), Resent: at.GetResent(),
		Answer: func(a wire.Answer) {
			a.Value = bytes.Clone(a.Value)
			done <- ended{Answer: a}
		},
		Refuse: func(why router.Refusal) { done <- ended{refused: why} },
		Gone:   func() bool { return ctx.Err() != nil },
		Unread: func() bool { return s.hasUnread(ctx) }}
	if due, told := ctx.Deadline(); told {
		if o.Waits = clock.Time(time.Until(due) / time.Microsecond); o.Waits <= 0 {
			return nil, status.Error(codes.DeadlineExceeded, "the deadline had passed when the call came")
		}
	}
	if err := ctx.Err(); err != nil { // it was cancelled before the call was taken, as in a process that stood still
		return nil, status.FromContextError(err).Err()
	}
	o.Props = wire.NewProps(props(o, at))
	if !s.r.Offer(o) {
		return nil, status.Error(codes.ResourceExhausted, "too many calls wait to be taken")
	}
	select {
	case e := <-done:
		return e.result()
	case <-ctx.Done():
		s.r.Withdraw(o)
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// hasUnread reports whether there is something of a call's connection that is not read yet.
func (s *Server) hasUnread(ctx context.Context) bool {
	client, ok := peer.FromContext(ctx)
	if !ok {
		return false
	}
	conn, ok := s.conns.Load(client.Addr.String())
	return ok && conn.(*counted).hasUnread()
}

// wrong names the field that cannot be taken. What is a separator in the form that cache servers are sent is refused.
func (s *Server) wrong(at *cachev1.Attributes, key, value []byte) (field, what string) {
	for _, x := range []struct {
		field, text string
		needed      bool
	}{{"attributes.id", at.GetId(), true}, {"attributes.method", at.GetMethod(), true}, {"attributes.tenant", at.GetTenant(), false}} {
		switch {
		case x.text == "" && x.needed:
			return x.field, "is needed"
		case len(x.text) > mostText:
			return x.field, fmt.Sprintf("has more than %d bytes", mostText)
		}
		for _, c := range []byte(x.text) {
			if c <= ' ' || c == ',' || c == '=' || c > '~' {
				return x.field, "holds a space, a comma, an equals sign or what is no printable ASCII"
			}
		}
	}
	switch {
	case len(key) == 0:
		return "key", "is needed"
	case len(key) > around/2:
		return "key", fmt.Sprintf("has more than %d bytes", around/2)
	case len(value) > s.lim.ValueBytes:
		return "value", fmt.Sprintf("has more than %d bytes", s.lim.ValueBytes)
	}
	return "", ""
}

// props are the names and values that cache servers and the origin are sent; the time is put in with each attempt.
func props(o *router.Offer, at *cachev1.Attributes) []byte {
	p := "c=" + o.Method
	if o.Tenant != "" {
		p += ",t=" + string(o.Tenant)
	}
	p += ",d=1"
	if at.GetResent() {
		p += ",r=1"
	}
	return []byte(p)
}

var refusals = map[router.Refusal]error{
	router.Full:     status.Error(codes.ResourceExhausted, "the router holds all that it may"),
	router.NoMethod: invalid("attributes.method", "is none of the service"),
	router.SameID:   status.Error(codes.AlreadyExists, "another open req has this id"),
	router.Late:     status.Error(codes.DeadlineExceeded, "the deadline had passed when the call was taken"),
	router.Ending:   status.Error(codes.Unavailable, "the router is ending"),
}

// result is the one table from answers to statuses.
func (e ended) result() ([]byte, error) {
	switch {
	case e.refused != 0:
		return nil, refusals[e.refused]
	case e.Kind == wire.Served:
		return e.Value, nil
	case e.TooLarge:
		return nil, status.Error(codes.ResourceExhausted, "the value is too big for gRPC; RESP2 passes it")
	case e.Kind == wire.Failed:
		return nil, status.Error(codes.Aborted, "failed: it may have run")
	case e.RetryAfter <= 0:
		return nil, status.Error(codes.Unavailable, "nacked: trying again is harmless")
	}
	return nil, with(status.New(codes.Unavailable, "nacked: trying again is harmless"),
		&errdetails.RetryInfo{RetryDelay: durationpb.New(time.Duration(e.RetryAfter) * time.Microsecond)})
}

func invalid(field, what string) error {
	return with(status.New(codes.InvalidArgument, field+" "+what),
		&errdetails.BadRequest{FieldViolations: []*errdetails.BadRequest_FieldViolation{{Field: field, Description: what}}})
}

func with(s *status.Status, detail any) error {
	var err error
	switch d := detail.(type) {
	case *errdetails.RetryInfo:
		s, err = s.WithDetails(d)
	case *errdetails.BadRequest:
		s, err = s.WithDetails(d)
	}
	if err != nil { // such a message can always be packed
		return status.Error(codes.Internal, err.Error())
	}
	return s.Err()
}

// bounded holds so many connections at once; one more is closed as it comes.
type bounded struct {
	net.Listener
	room chan struct{}
	open *sync.Map // *counted by the client's address
}

func (b *bounded) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case b.room <- struct{}{}:
			conn := &counted{Conn: c, bounded: b}
			b.open.Store(c.RemoteAddr().String(), conn)
			return conn, nil
		default:
			c.Close()
		}
	}
}

type counted struct {
	net.Conn
	bounded *bounded
	once    sync.Once
	reading atomic.Bool // the library has acted on all that it has read, and waits for more
}

// Read implements net.Conn.
func (c *counted) Read(p []byte) (int, error) {
	c.reading.Store(true)
	defer c.reading.Store(false)
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.once.Do(func() {
		c.bounded.open.CompareAndDelete(c.RemoteAddr().String(), c)
		<-c.bounded.room
	})
	return c.Conn.Close()
}

// hasUnread reports whether bytes or the end of the connection wait to be read, or to be acted on.
func (c *counted) hasUnread() bool {
	if !c.reading.Load() {
		return true
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = peekErr == nil
	})
	return err == nil && unread
}

// ErrStopped is what Serve returns after Stop.
var ErrStopped = grpc.ErrServerStopped

// Stopped tells whether Serve ended because it was told to.
func Stopped(err error) bool { return err == nil || errors.Is(err, ErrStopped) }
