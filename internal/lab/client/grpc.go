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
type calls struct {
	f      *LoadBalancer
	router event.Router
	addr   string
	mu     sync.Mutex
	conn   *grpc.ClientConn
}

func (p *calls) client() (cachev1.CacheServiceClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		// The library's own retries are off: a second try would be a request that the record does not know.
		conn, err := grpc.NewClient(p.addr, grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithDisableRetry(),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second}))
		if err != nil {
			return nil, err
		}
		p.conn = conn
	}
	return cachev1.NewCacheServiceClient(p.conn), nil
}

// isOpen reports false: the library opens connections by itself, so that a router that ends is called no more.
func (*calls) isOpen() bool { return false }

// ask makes one call and notes what became of it.
func (p *calls) ask(q *pending) (res result, kept bool) {
	note := event.Event{Req: q.req, Op: q.op, Router: p.router, Method: q.a.Method, Limit: q.limit}
	say := func(kind event.Kind, outcome event.Outcome, hint event.Micros) {
		note.Kind, note.Outcome = kind, outcome
		if kind != event.Asked {
			note.Limit = hint
		}
		p.f.log.Add(note)
	}
	c, err := p.client()
	if err != nil {
		say(event.Unreached, 0, 0)
		return result{how: unreached}, false
	}
	m := p.f.s.Methods[q.a.Method]
	at := &cachev1.Attributes{Id: string(q.req), Method: m.Name}
	if q.a.Tenant >= 0 {
		at.Tenant = p.f.s.Tenants[q.a.Tenant].Name
	}
	// The call's own deadline is later than what the request is told to be judged by: a late answer is to be seen as late.
	note.DeadlineSent = q.limit + lateAnswers
	ctx, cancel := context.WithTimeout(context.Background(), note.DeadlineSent.Duration())
	defer cancel()
	goes := make(chan struct{})
	if q.gives > 0 {
		t := time.AfterFunc(max(0, q.gives-p.f.log.Now()).Duration(), func() { close(goes); cancel() })
		defer t.Stop()
	}
	say(event.Asked, 0, 0)
	var value []byte
	if q.write {
		var got *cachev1.SetResponse
		got, err = c.Set(ctx, &cachev1.SetRequest{Attributes: at, Key: []byte(q.a.Key), Value: cacheserver.MakeValue(q.req, "client", q.a.Size)})
		value = got.GetReceipt()
	} else {
		var got *cachev1.GetResponse
		got, err = c.Get(ctx, &cachev1.GetRequest{Attributes: at, Key: []byte(q.a.Key)})
		value = got.GetValue()
	}
	s := status.Convert(err)
	switch ours := strings.HasPrefix(s.Message(), "nacked") || strings.HasPrefix(s.Message(), "the router is ending"); {
	case s.Code() == codes.OK && cacheserver.IsValueFor(q.req, value):
		say(event.Answered, event.Satisfied, 0)
		return result{how: satisfied}, false
	case s.Code() == codes.OK:
		say(event.Answered, event.Foreign, 0)
	case s.Code() == codes.Unavailable && ours:
		hint := event.Micros(0)
		for _, d := range s.Details() {
			if r, is := d.(*errdetails.RetryInfo); is {
				hint = event.Micros(r.GetRetryDelay().AsDuration() / time.Microsecond)
			}
		}
		say(event.Answered, event.Nacked, hint)
		return result{how: nacked, hint: hint}, false
	case s.Code() == codes.Canceled:
		select {
		case <-goes:
			say(event.Left, 0, 0)
			return result{how: left}, false
		default:
		}
		say(event.Cut, 0, 0)
		return result{how: cut}, true
	case s.Code() == codes.Unavailable && strings.Contains(s.Message(), "connection error"): // nothing was sent
		say(event.Unreached, 0, 0)
		return result{how: unreached}, false
	case s.Code() == codes.Unavailable: // the library's: no connection, or one that ended under the call
		say(event.Cut, 0, 0)
		return result{how: cut}, true
	case s.Code() == codes.DeadlineExceeded: // noted as nothing: the referee finds a request that was never answered
		return result{how: failed}, false
	default:
		say(event.Answered, event.Failed, 0)
	}
	return result{how: failed}, false
}

func (p *calls) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		p.conn.Close()
	}
}
