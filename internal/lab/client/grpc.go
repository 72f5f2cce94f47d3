package client

import (
	"context"
	"strings"
	"sync"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"spurtrestle/internal/lab/cacheserver"
	"spurtrestle/internal/lab/event"
	cachev1 "spurtrestle/proto/spurtrestle/cache/v1"
)

// grpcTransport calls one router over gRPC, with one connection for all calls.
type grpcTransport struct {
	lb     *LoadBalancer
	router event.Router
	addr   string
	mu     sync.Mutex
	conn   *grpc.ClientConn
}

// connect returns a client on the connection, which it creates on first use.
func (g *grpcTransport) connect() (cachev1.CacheServiceClient, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == nil {
		// Retries by the library are disabled, because the event log would not show them as requests.
		conn, err := grpc.NewClient(g.addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry(),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second}))
		if err != nil {
			return nil, err
		}
		g.conn = conn
	}
	return cachev1.NewCacheServiceClient(g.conn), nil
}

// isOpen returns false, so that draining routers get no calls: the library may open a new connection for any call.
func (*grpcTransport) isOpen() bool { return false }

// roundTrip makes one call and records its outcome.
func (g *grpcTransport) roundTrip(request *pending) (res result, reused bool) {
	record := event.Event{Request: request.id, Op: request.op, Router: g.router, Method: request.arrival.Method, Limit: request.deadline}
	emit := func(kind event.Kind, outcome event.Outcome, hint event.Micros) {
		record.Kind, record.Outcome = kind, outcome
		if kind != event.RequestSent {
			record.Limit = hint
		}
		g.lb.log.Add(record)
	}
	c, err := g.connect()
	if err != nil {
		emit(event.ConnectFailed, 0, 0)
		return result{outcome: unreached}, false
	}
	m := g.lb.scenario.Methods[request.arrival.Method]
	at := &cachev1.Attributes{Id: string(request.id), Method: m.Name}
	if request.arrival.Tenant >= 0 {
		at.Tenant = g.lb.scenario.Tenants[request.arrival.Tenant].Name
	}
	// The deadline of the call is later than that of the request, so that a late answer is recorded as late.
	record.DeadlineSent = request.deadline + lateAnswerGrace
	ctx, cancel := context.WithTimeout(context.Background(), record.DeadlineSent.Duration())
	defer cancel()
	givesUp := make(chan struct{})
	if request.givesUpAt > 0 {
		t := time.AfterFunc(max(0, request.givesUpAt-g.lb.log.Now()).Duration(), func() { close(givesUp); cancel() })
		defer t.Stop()
	}
	emit(event.RequestSent, 0, 0)
	value, err := call(ctx, c, at, request)
	return conclude(request, value, status.Convert(err), givesUp, emit)
}

// call makes the call of a request and returns its value or receipt.
func call(ctx context.Context, c cachev1.CacheServiceClient, at *cachev1.Attributes, request *pending) ([]byte, error) {
	if request.write {
		got, err := c.Set(ctx, &cachev1.SetRequest{Attributes: at, Key: []byte(request.arrival.Key), Value: cacheserver.MakeValue(request.id, "client", request.arrival.Size)})
		return got.GetReceipt(), err
	}
	got, err := c.Get(ctx, &cachev1.GetRequest{Attributes: at, Key: []byte(request.arrival.Key)})
	return got.GetValue(), err
}

// conclude records the outcome of a call and returns its result.
func conclude(request *pending, value []byte, s *status.Status, givesUp <-chan struct{}, emit func(event.Kind, event.Outcome, event.Micros)) (res result, reused bool) {
	switch fromRouter := strings.HasPrefix(s.Message(), "nacked") || strings.HasPrefix(s.Message(), "the router is ending"); {
	case s.Code() == codes.OK && cacheserver.IsValueFor(request.id, value):
		emit(event.Answered, event.Succeeded, 0)
		return result{outcome: succeeded}, false
	case s.Code() == codes.OK:
		emit(event.Answered, event.WrongValue, 0)
	case s.Code() == codes.Unavailable && fromRouter:
		hint := event.Micros(0)
		for _, d := range s.Details() {
			if r, is := d.(*errdetails.RetryInfo); is {
				hint = event.Micros(r.GetRetryDelay().AsDuration() / time.Microsecond)
			}
		}
		emit(event.Answered, event.Rejected, hint)
		return result{outcome: rejected, retryAfter: hint}, false
	case s.Code() == codes.Canceled:
		select {
		case <-givesUp:
			emit(event.ClientLeft, 0, 0)
			return result{outcome: abandoned}, false
		default:
		}
		emit(event.ConnectionClosed, 0, 0)
		return result{outcome: disconnected}, true
	case s.Code() == codes.Unavailable && strings.Contains(s.Message(), "connection error"): // nothing was sent
		emit(event.ConnectFailed, 0, 0)
		return result{outcome: unreached}, false
	case s.Code() == codes.Unavailable: // reported by the library: no connection, or it ended during the call
		emit(event.ConnectionClosed, 0, 0)
		return result{outcome: disconnected}, true
	case s.Code() == codes.DeadlineExceeded: // not recorded: the referee finds requests without an answer
		return result{outcome: failed}, false
	default:
		emit(event.Answered, event.Failed, 0)
	}
	return result{outcome: failed}, false
}

func (g *grpcTransport) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn != nil {
		g.conn.Close()
	}
}
