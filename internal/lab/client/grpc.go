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

// calls asks one router over gRPC, all calls on one connection.
type grpcTransport struct {
	lb     *LoadBalancer
	router event.Router
	addr   string
	mu     sync.Mutex
	conn   *grpc.ClientConn
}

func (g *grpcTransport) connect() (cachev1.CacheServiceClient, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == nil {
		// The library's own retries are off: a second try would be a request that the record does not know.
		conn, err := grpc.NewClient(g.addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry(),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second}))
		if err != nil {
			return nil, err
		}
		g.conn = conn
	}
	return cachev1.NewCacheServiceClient(g.conn), nil
}

// isOpen reports false: the library opens connections by itself, so that a router that ends is called no more.
func (*grpcTransport) isOpen() bool { return false }

// ask makes one call and notes what became of it.
func (g *grpcTransport) roundTrip(request *pending) (res result, reused bool) {
	record := event.Event{Req: request.id, Op: request.op, Router: g.router, Method: request.arrival.Method, Limit: request.deadline}
	emit := func(kind event.Kind, outcome event.Outcome, hint event.Micros) {
		record.Kind, record.Outcome = kind, outcome
		if kind != event.Asked {
			record.Limit = hint
		}
		g.lb.log.Add(record)
	}
	c, err := g.connect()
	if err != nil {
		emit(event.Unreached, 0, 0)
		return result{outcome: unreached}, false
	}
	m := g.lb.scenario.Methods[request.arrival.Method]
	at := &cachev1.Attributes{Id: string(request.id), Method: m.Name}
	if request.arrival.Tenant >= 0 {
		at.Tenant = g.lb.scenario.Tenants[request.arrival.Tenant].Name
	}
	// The call's own deadline is later than what the request is told to be judged by: a late answer is to be seen as late.
	record.DeadlineSent = request.deadline + lateAnswerGrace
	ctx, cancel := context.WithTimeout(context.Background(), record.DeadlineSent.Duration())
	defer cancel()
	givesUp := make(chan struct{})
	if request.givesUpAt > 0 {
		t := time.AfterFunc(max(0, request.givesUpAt-g.lb.log.Now()).Duration(), func() { close(givesUp); cancel() })
		defer t.Stop()
	}
	emit(event.Asked, 0, 0)
	var value []byte
	if request.write {
		var got *cachev1.SetResponse
		got, err = c.Set(ctx, &cachev1.SetRequest{Attributes: at, Key: []byte(request.arrival.Key), Value: cacheserver.MakeValue(request.id, "client", request.arrival.Size)})
		value = got.GetReceipt()
	} else {
		var got *cachev1.GetResponse
		got, err = c.Get(ctx, &cachev1.GetRequest{Attributes: at, Key: []byte(request.arrival.Key)})
		value = got.GetValue()
	}
	s := status.Convert(err)
	switch fromRouter := strings.HasPrefix(s.Message(), "nacked") || strings.HasPrefix(s.Message(), "the router is ending"); {
	case s.Code() == codes.OK && cacheserver.IsValueFor(request.id, value):
		emit(event.Answered, event.Satisfied, 0)
		return result{outcome: succeeded}, false
	case s.Code() == codes.OK:
		emit(event.Answered, event.Foreign, 0)
	case s.Code() == codes.Unavailable && fromRouter:
		hint := event.Micros(0)
		for _, d := range s.Details() {
			if r, is := d.(*errdetails.RetryInfo); is {
				hint = event.Micros(r.GetRetryDelay().AsDuration() / time.Microsecond)
			}
		}
		emit(event.Answered, event.Nacked, hint)
		return result{outcome: rejected, retryAfter: hint}, false
	case s.Code() == codes.Canceled:
		select {
		case <-givesUp:
			emit(event.Left, 0, 0)
			return result{outcome: abandoned}, false
		default:
		}
		emit(event.Cut, 0, 0)
		return result{outcome: disconnected}, true
	case s.Code() == codes.Unavailable && strings.Contains(s.Message(), "connection error"): // nothing was sent
		emit(event.Unreached, 0, 0)
		return result{outcome: unreached}, false
	case s.Code() == codes.Unavailable: // the library's: no connection, or one that ended under the call
		emit(event.Cut, 0, 0)
		return result{outcome: disconnected}, true
	case s.Code() == codes.DeadlineExceeded: // noted as nothing: the referee finds a request that was never answered
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
