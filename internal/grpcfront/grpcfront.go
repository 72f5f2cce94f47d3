// Package grpcfront is the gRPC front end of cache-router-grpc. It validates calls, hands them to the router's event loop
// and translates answers to gRPC statuses; it makes no routing decisions. Calls run on goroutines of the gRPC library. Each
// one is submitted through the router's bounded queue, and its answer returns through a buffered channel, so that neither the
// loop nor a call ever blocks on the other.
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

// Router is the part of router.Router that a front end uses.
type Router interface {
	Submit(*router.ExternalRequest) bool
	Withdraw(*router.ExternalRequest)
	OnServing(func(bool))
}

// Limits bounds the resources that clients can make the front end use.
type Limits struct {
	Connections int // open at once
	Streams     int // concurrent calls on a connection
	ValueBytes  int // bytes of a value
}

const (
	messageOverheadBytes  = 4 << 10 // of a message, in addition to its value
	maxHeaderListBytes    = 8 << 10
	maxAttributeBytes     = 256                    // of an id, a method or a tenant
	minPingInterval       = 10 * time.Second       // the connection of a client that pings more often is closed
	connectionIdleTimeout = 5 * time.Minute        // a connection without calls is closed after this time
	keepaliveInterval     = 20 * time.Second       // a ping is sent after this time without input, and the connection is closed if it stays unanswered for as long
	handshakeTimeout      = 2 * time.Second        // a connection that has not completed its handshake by then is closed
	streamWindowBytes     = 64 << 10               // limits what a client that reads slowly can hold back to its own stream
	shutdownMargin        = 500 * time.Millisecond // added to the longest deadline before open calls are aborted
)

// Server implements the cache service and the health service. Its methods are safe for concurrent use.
type Server struct {
	cachev1.UnimplementedCacheServiceServer
	router     Router
	limits     Limits
	grpcServer *grpc.Server
	health     *health.Server
	conns      sync.Map // *trackedConn by client address
}

// New returns a front end that does not listen yet. Call it before the router runs.
func New(r Router, limits Limits) *Server {
	s := &Server{router: r, limits: limits, health: health.NewServer()}
	s.grpcServer = grpc.NewServer(grpc.MaxConcurrentStreams(uint32(limits.Streams)), grpc.MaxRecvMsgSize(limits.ValueBytes+messageOverheadBytes),
		grpc.MaxSendMsgSize(limits.ValueBytes+messageOverheadBytes), grpc.MaxHeaderListSize(maxHeaderListBytes), grpc.ConnectionTimeout(handshakeTimeout),
		grpc.InitialWindowSize(streamWindowBytes), grpc.InitialConnWindowSize(4*streamWindowBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: connectionIdleTimeout, Time: keepaliveInterval, Timeout: keepaliveInterval}))
	cachev1.RegisterCacheServiceServer(s.grpcServer, s)
	healthv1.RegisterHealthServer(s.grpcServer, s.health)
	s.setServing(false)
	r.OnServing(s.setServing)
	return s
}

// setServing publishes the state of the health service. After New, it is called on the router's loop.
func (s *Server) setServing(on bool) {
	state := healthv1.HealthCheckResponse_NOT_SERVING
	if on {
		state = healthv1.HealthCheckResponse_SERVING
	}
	s.health.SetServingStatus("", state)
	s.health.SetServingStatus(cachev1.CacheService_ServiceDesc.ServiceName, state)
}

// Serve accepts connections until Stop is called.
func (s *Server) Serve(ln net.Listener) error {
	return s.grpcServer.Serve(&limitedListener{Listener: ln, permits: make(chan struct{}, s.limits.Connections), conns: &s.conns})
}

// Stop rejects new calls and returns once all open calls have ended. Calls that outlast the longest deadline are aborted.
func (s *Server) Stop(longest time.Duration) {
	abort := time.AfterFunc(longest+shutdownMargin, s.grpcServer.Stop)
	defer abort.Stop()
	s.grpcServer.GracefulStop()
}

// Get implements the RPC that reads a key.
func (s *Server) Get(ctx context.Context, request *cachev1.GetRequest) (*cachev1.GetResponse, error) {
	value, err := s.call(ctx, request.GetAttributes(), request.GetKey(), nil, false)
	if err != nil {
		return nil, err
	}
	return &cachev1.GetResponse{Value: value}, nil
}

// Set implements the RPC that writes a key.
func (s *Server) Set(ctx context.Context, request *cachev1.SetRequest) (*cachev1.SetResponse, error) {
	value, err := s.call(ctx, request.GetAttributes(), request.GetKey(), request.GetValue(), true)
	if err != nil {
		return nil, err
	}
	return &cachev1.SetResponse{Receipt: value}, nil
}

// callResult is the end of a call, as the router's loop reports it: a rejection if that is set, otherwise an answer.
type callResult struct {
	wire.Answer
	rejection router.RejectReason
}

// call submits a request to the router and waits for its answer, its rejection, or the end of ctx.
func (s *Server) call(ctx context.Context, attributes *cachev1.Attributes, key, value []byte, write bool) ([]byte, error) {
	if field, problem := s.invalidField(attributes, key, value); problem != "" {
		return nil, invalidArgument(field, problem)
	}
	done := make(chan callResult, 1)
	request := &router.ExternalRequest{Request: wire.Request{ID: routing.RequestID(attributes.GetId()), Key: key, Value: value, Write: write}, Method: attributes.GetMethod(),
		Tenant: routing.Tenant(attributes.GetTenant()), ClientRetry: attributes.GetResent(),
		Answer: func(a wire.Answer) {
			a.Value = bytes.Clone(a.Value)
			done <- callResult{Answer: a}
		},
		Reject:         func(reason router.RejectReason) { done <- callResult{rejection: reason} },
		ClientGone:     func() bool { return ctx.Err() != nil },
		HasUnreadInput: func() bool { return s.hasUnread(ctx) }}
	if client, ok := peer.FromContext(ctx); ok {
		request.Client = client.Addr.String()
	}
	if deadline, ok := ctx.Deadline(); ok {
		if request.Timeout = clock.Time(time.Until(deadline) / time.Microsecond); request.Timeout <= 0 {
			return nil, status.Error(codes.DeadlineExceeded, "the deadline had passed when the call came")
		}
	}
	if err := ctx.Err(); err != nil { // canceled before the handler ran, for example while the process was stalled
		return nil, status.FromContextError(err).Err()
	}
	request.Props = wire.NewProps(encodeProps(request, attributes))
	if !s.router.Submit(request) {
		return nil, status.Error(codes.ResourceExhausted, "too many calls wait to be taken")
	}
	select {
	case result := <-done:
		return result.response()
	case <-ctx.Done():
		s.router.Withdraw(request)
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// hasUnread reports whether the connection of a call has input that the library has not processed. It is called on the
// router's loop.
func (s *Server) hasUnread(ctx context.Context) bool {
	client, ok := peer.FromContext(ctx)
	if !ok {
		return false
	}
	conn, ok := s.conns.Load(client.Addr.String())
	return ok && conn.(*trackedConn).hasUnread()
}

// invalidField returns the first invalid field and what is wrong with it; both are "" if all fields are valid. The separators of
// the property format that cache servers receive are rejected in attributes.
func (s *Server) invalidField(attributes *cachev1.Attributes, key, value []byte) (field, problem string) {
	for _, attribute := range []struct {
		field, text string
		required    bool
	}{{"attributes.id", attributes.GetId(), true}, {"attributes.method", attributes.GetMethod(), true},
		{"attributes.tenant", attributes.GetTenant(), false}} {
		switch {
		case attribute.text == "" && attribute.required:
			return attribute.field, "is needed"
		case len(attribute.text) > maxAttributeBytes:
			return attribute.field, fmt.Sprintf("has more than %d bytes", maxAttributeBytes)
		}
		for _, c := range []byte(attribute.text) {
			if c <= ' ' || c == ',' || c == '=' || c > '~' {
				return attribute.field, "holds a space, a comma, an equals sign or what is no printable ASCII"
			}
		}
	}
	switch {
	case len(key) == 0:
		return "key", "is needed"
	case len(key) > messageOverheadBytes/2:
		return "key", fmt.Sprintf("has more than %d bytes", messageOverheadBytes/2)
	case len(value) > s.limits.ValueBytes:
		return "value", fmt.Sprintf("has more than %d bytes", s.limits.ValueBytes)
	}
	return "", ""
}

// encodeProps returns the properties that cache servers and the origin receive. Its deadline is a placeholder, which each
// attempt replaces.
func encodeProps(request *router.ExternalRequest, attributes *cachev1.Attributes) []byte {
	props := "c=" + request.Method
	if request.Tenant != "" {
		props += ",t=" + string(request.Tenant)
	}
	props += ",d=1"
	if attributes.GetResent() {
		props += ",r=1"
	}
	return []byte(props)
}

// rejectionStatuses maps the reasons for which the router rejects a request to gRPC statuses.
var rejectionStatuses = map[router.RejectReason]error{
	router.RejectedOverloaded:    status.Error(codes.ResourceExhausted, "the router holds all that it may"),
	router.RejectedUnknownMethod: invalidArgument("attributes.method", "is none of the service"),
	router.RejectedDuplicateID:   status.Error(codes.AlreadyExists, "another open req has this id"),
	router.RejectedExpired:       status.Error(codes.DeadlineExceeded, "the deadline had passed when the call was taken"),
	router.RejectedShuttingDown:  status.Error(codes.Unavailable, "the router is ending"),
}

// response translates the end of a call to the value or the gRPC status that the client receives.
func (c callResult) response() ([]byte, error) {
	switch {
	case c.rejection != 0:
		return nil, rejectionStatuses[c.rejection]
	case c.Kind == wire.Served:
		return c.Value, nil
	case c.TooLarge:
		return nil, status.Error(codes.ResourceExhausted, "the value is too big for gRPC; RESP2 passes it")
	case c.Kind == wire.Failed:
		return nil, status.Error(codes.Aborted, "failed: it may have run")
	case c.RetryAfter <= 0:
		return nil, status.Error(codes.Unavailable, "nacked: trying again is harmless")
	}
	return nil, withDetail(status.New(codes.Unavailable, "nacked: trying again is harmless"),
		&errdetails.RetryInfo{RetryDelay: durationpb.New(time.Duration(c.RetryAfter) * time.Microsecond)})
}

// invalidArgument returns a status that names the invalid field.
func invalidArgument(field, problem string) error {
	return withDetail(status.New(codes.InvalidArgument, field+" "+problem),
		&errdetails.BadRequest{FieldViolations: []*errdetails.BadRequest_FieldViolation{{Field: field, Description: problem}}})
}

// withDetail adds a RetryInfo or BadRequest message to a status.
func withDetail(s *status.Status, detail any) error {
	var err error
	switch d := detail.(type) {
	case *errdetails.RetryInfo:
		s, err = s.WithDetails(d)
	case *errdetails.BadRequest:
		s, err = s.WithDetails(d)
	}
	if err != nil { // unreachable: these messages can always be encoded
		return status.Error(codes.Internal, err.Error())
	}
	return s.Err()
}

// limitedListener closes each new connection while permits is full.
type limitedListener struct {
	net.Listener
	permits chan struct{} // holds one entry for each open connection
	conns   *sync.Map     // *trackedConn by client address
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.permits <- struct{}{}:
			conn := &trackedConn{Conn: c, listener: l}
			l.conns.Store(c.RemoteAddr().String(), conn)
			return conn, nil
		default:
			c.Close()
		}
	}
}

// trackedConn is an open connection of a limitedListener. It knows whether its reader waits for input.
type trackedConn struct {
	net.Conn
	listener        *limitedListener
	closeOnce       sync.Once
	waitingForInput atomic.Bool // the library has processed all its input and is blocked in Read
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.waitingForInput.Store(true)
	defer c.waitingForInput.Store(false)
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.conns.CompareAndDelete(c.RemoteAddr().String(), c)
		<-c.listener.permits
	})
	return c.Conn.Close()
}

// hasUnread reports whether input, or the end of the connection, is still to be read or processed.
func (c *trackedConn) hasUnread() bool {
	if !c.waitingForInput.Load() {
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
		var buffer [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = peekErr == nil
	})
	return err == nil && unread
}

// ErrStopped is returned by Serve after Stop.
var ErrStopped = grpc.ErrServerStopped

// Stopped reports whether err, returned by Serve, is the result of Stop.
func Stopped(err error) bool { return err == nil || errors.Is(err, ErrStopped) }
