package grpcfront

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"spurtrestle/internal/config"
	"spurtrestle/internal/lab/cacheserver"
	"spurtrestle/internal/lab/event"
	"spurtrestle/internal/lab/fleet"
	"spurtrestle/internal/lab/registry"
	"spurtrestle/internal/lab/scenario"
	"spurtrestle/internal/router"
	cachev1 "spurtrestle/proto/spurtrestle/cache/v1"
)

// site is a router with a gRPC front, one stand-in cache server behind it, and a client.
type site struct {
	t      *testing.T
	log    *event.Log
	server *cacheserver.Server
	r      *router.Router
	front  *Server
	ended  chan error
	conn   *grpc.ClientConn
	c      cachev1.CacheServiceClient
	n      atomic.Int64
}

var places atomic.Int32

func start(t *testing.T) *site {
	s, err := scenario.Parse([]byte(scenario.Example))
	if err != nil {
		t.Fatal(err)
	}
	s.Service.Mode, s.Routers.Count, s.Servers.Count = "through", 1, 1
	x := &site{t: t, log: event.NewLog(), ended: make(chan error, 1)}
	f := &cacheserver.Config{Log: x.log, Settings: s.Servers, Service: s.Service, ReadThrough: true, Methods: map[string]scenario.Method{},
		Deduplicator: &cacheserver.Deduplicator{}}
	for _, m := range s.Methods {
		m.Work, m.WorkDistribution = 1000, "none"
		f.Methods[m.Name] = m
	}
	at := func(port int) string { return fmt.Sprintf("127.16.0.%d:%d", places.Load(), port) }
	places.Add(1)
	if x.server, err = cacheserver.Start(f, "s0", "a", 0, []string{at(16379)}, true, 1); err != nil {
		t.Fatal(err)
	}
	reg, err := registry.Start(x.log, s.Discovery, []string{at(18500)})
	if err != nil {
		t.Fatal(err)
	}
	reg.Update(registry.Entry{UID: "s0", Zone: "a", Kind: "cache", State: "active", Addr: x.server.Addr}, true)
	text, err := fleet.Config(s, 0, "n1", at(6379), at(18500), "1", reg.FullList(0))
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Load(func(name string) string { return map[string]string{"EDGE_CONFIG": file}[name] })
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if x.r, err = router.New(cfg, log); err != nil {
		t.Fatal(err)
	}
	x.front = New(x.r, Limits{Connections: 4, Streams: 1000, Value: 64 << 10})
	ln, err := net.Listen("tcp", at(7443))
	if err != nil {
		t.Fatal(err)
	}
	go func() { x.ended <- x.r.Run() }()
	go func() { _ = x.front.Serve(ln) }() // ends with Stop
	if x.conn, err = grpc.NewClient(at(7443), grpc.WithTransportCredentials(insecure.NewCredentials())); err != nil {
		t.Fatal(err)
	}
	x.c = cachev1.NewCacheServiceClient(x.conn)
	h := healthv1.NewHealthClient(x.conn)
	for until := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		got, err := h.Check(t.Context(), &healthv1.HealthCheckRequest{})
		if err == nil && got.Status == healthv1.HealthCheckResponse_SERVING {
			break
		}
		if time.Now().After(until) {
			t.Fatal("never serving: ", got, err)
		}
	}
	t.Cleanup(func() {
		x.r.Drain()
		x.front.Stop(time.Second)
		x.conn.Close()
		select {
		case err := <-x.ended:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(5 * time.Second):
			t.Error("the router did not end")
		}
		if got := x.r.Counters(); !strings.Contains(got, " reqs=0 held-bytes=0 ") {
			t.Error("something is left of a req: ", got)
		}
		x.server.Kill()
		x.server.Wait()
		reg.Close()
	})
	return x
}

func (x *site) id() string { return fmt.Sprintf("id-%d", x.n.Add(1)) }

func (x *site) get(ctx context.Context, id, method string) (string, error) {
	got, err := x.c.Get(ctx, &cachev1.GetRequest{Attributes: &cachev1.Attributes{Id: id, Method: method}, Key: []byte("k")})
	return string(got.GetValue()), err
}

func (x *site) strike(kind string, share float64, end bool) {
	if err := x.server.ApplyFault(scenario.Fault{Kind: kind, Share: share, Factor: 1}, end); err != nil {
		x.t.Fatal(err)
	}
}

// seen counts what the server saw of a request.
func (x *site) seen(id string, kind event.Kind) (n int) {
	for _, e := range x.log.Events() {
		if e.Kind == kind && string(e.Req) == id {
			n++
		}
	}
	return n
}

func within(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(2 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("it never came to be that ", what)
		}
	}
}

func TestAnswers(t *testing.T) {
	x := start(t)
	id := x.id()
	if got, err := x.get(t.Context(), id, "status"); err != nil || !cacheserver.IsValueFor(event.Req(id), []byte(got)) {
		t.Error(got, err)
	}
	id = x.id()
	set, err := x.c.Set(t.Context(), &cachev1.SetRequest{Attributes: &cachev1.Attributes{Id: id, Method: "book", Tenant: "first"}, Key: []byte("k"), Value: []byte("v")})
	if err != nil || !cacheserver.IsValueFor(event.Req(id), set.GetReceipt()) || x.seen(id, event.Ran) != 1 {
		t.Error(set, err, x.seen(id, event.Ran))
	}
	// What may have run and must not run again fails, and nothing more is said of it.
	x.strike("reset", 1, false)
	_, err = x.c.Set(t.Context(), &cachev1.SetRequest{Attributes: &cachev1.Attributes{Id: x.id(), Method: "book"}, Key: []byte("k")})
	if status.Code(err) != codes.Aborted {
		t.Error(err)
	}
	// What may run again is rejected once its tries are used up, with the time to come back.
	_, err = x.get(t.Context(), x.id(), "status")
	if s := status.Convert(err); s.Code() != codes.Unavailable || len(s.Details()) != 1 ||
		s.Details()[0].(*errdetails.RetryInfo).RetryDelay.AsDuration() < 100*time.Millisecond {
		t.Error(err)
	}
	x.strike("reset", 0, true)
}

func TestBadInputIsNamed(t *testing.T) {
	x := start(t)
	for _, c := range []struct {
		at    *cachev1.Attributes
		key   string
		field string
	}{
		{nil, "k", "attributes.id"},
		{&cachev1.Attributes{Id: "a b", Method: "status"}, "k", "attributes.id"},
		{&cachev1.Attributes{Id: strings.Repeat("x", 300), Method: "status"}, "k", "attributes.id"},
		{&cachev1.Attributes{Id: "a"}, "k", "attributes.method"},
		{&cachev1.Attributes{Id: "a", Method: "nothing"}, "k", "attributes.method"},
		{&cachev1.Attributes{Id: "a", Method: "status", Tenant: "x,d=9"}, "k", "attributes.tenant"},
		{&cachev1.Attributes{Id: "a", Method: "status"}, "", "key"},
	} {
		_, err := x.c.Get(t.Context(), &cachev1.GetRequest{Attributes: c.at, Key: []byte(c.key)})
		s := status.Convert(err)
		if s.Code() != codes.InvalidArgument || len(s.Details()) != 1 ||
			s.Details()[0].(*errdetails.BadRequest).FieldViolations[0].Field != c.field {
			t.Errorf("%v: %v", c.at, err)
		}
	}
	at := &cachev1.Attributes{Id: "big", Method: "book"}
	for size, want := range map[int]codes.Code{64 << 10: codes.OK, 64<<10 + 1: codes.InvalidArgument, 1 << 20: codes.ResourceExhausted} {
		_, err := x.c.Set(t.Context(), &cachev1.SetRequest{Attributes: at, Key: []byte("k"), Value: make([]byte, size)})
		if status.Code(err) != want {
			t.Errorf("a value of %d bytes: %v", size, err)
		}
	}
}

// A client that cancels has its attempt called off at once, and a second request with its id is refused only until then.
func TestCancelRecalls(t *testing.T) {
	x := start(t)
	x.strike("hang", 0, false)
	ctx, cancel := context.WithCancel(t.Context())
	id := x.id()
	done := make(chan error, 1)
	go func() {
		_, err := x.get(ctx, id, "status")
		done <- err
	}()
	within(t, "the write-out came", func() bool { return x.seen(id, event.Begun) == 1 })
	if _, err := x.get(t.Context(), id, "status"); status.Code(err) != codes.AlreadyExists {
		t.Error(err)
	}
	cancel()
	if err := <-done; status.Code(err) != codes.Canceled {
		t.Error(err)
	}
	within(t, "the write-out was called off", func() bool { return x.seen(id, event.Ended) == 1 })
	x.strike("hang", 0, true)
}

// A client's deadline that is shorter than the method's own counts; one that has passed brings no attempt; a longer one,
// or none, lengthens nothing.
func TestDeadlines(t *testing.T) {
	x := start(t)
	x.strike("hang", 0, false)
	defer x.strike("hang", 0, true)
	for _, c := range []struct {
		own  time.Duration
		most time.Duration
	}{{120 * time.Millisecond, 250 * time.Millisecond}, {time.Minute, 900 * time.Millisecond}} { // the method's is 600 ms
		ctx, cancel := context.WithTimeout(t.Context(), c.own)
		began := time.Now()
		_, err := x.get(ctx, x.id(), "status")
		cancel()
		if took := time.Since(began); took > c.most || err == nil {
			t.Errorf("with %v: %v after %v", c.own, err, took)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
	defer cancel()
	id := x.id()
	if _, err := x.get(ctx, id, "status"); status.Code(err) != codes.DeadlineExceeded || x.seen(id, event.Begun) != 0 {
		t.Error(err, x.seen(id, event.Begun))
	}
}

// What is in hand when the router is told to end is answered; what comes later is sent elsewhere.
func TestDrain(t *testing.T) {
	x := start(t)
	if _, err := x.get(t.Context(), x.id(), "status"); err != nil {
		t.Fatal(err)
	}
	x.strike("hang", 0, false)
	id := x.id()
	done := make(chan error, 1)
	go func() {
		_, err := x.get(t.Context(), id, "status")
		done <- err
	}()
	within(t, "the write-out came", func() bool { return x.seen(id, event.Begun) == 1 })
	x.r.Drain()
	h := healthv1.NewHealthClient(x.conn)
	within(t, "it tells of its end", func() bool {
		got, err := h.Check(t.Context(), &healthv1.HealthCheckRequest{})
		return err == nil && got.Status == healthv1.HealthCheckResponse_NOT_SERVING
	})
	x.strike("hang", 0, true)
	if err := <-done; err != nil {
		t.Error("what was in hand got ", err)
	}
}

// Thousands of calls begun and given up leave nothing behind (the counters are looked at in the end), nor any goroutine.
func TestFloodOfCancels(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Run("flood", func(t *testing.T) {
		x := start(t)
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				for i := range 60 {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i*20)*time.Microsecond)
					_, _ = x.get(ctx, x.id(), "status") // that it is given up is the point
					cancel()
				}
			})
		}
		wg.Wait()
		if _, err := x.get(t.Context(), x.id(), "status"); err != nil {
			t.Error("after the flood: ", err)
		}
	})
	// gnet ends its own in its own time.
	goleak.VerifyNone(t, before, goleak.IgnoreAnyFunction("github.com/panjf2000/gnet/v2.Engine.Stop"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}

// A connection has something unread from the client's last byte, or its end, until the reader is back for more.
func TestConn_TellsWhatIsUnread(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := (&bounded{Listener: ln, room: make(chan struct{}, 1), open: &sync.Map{}}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	conn := accepted.(*counted)
	read := make(chan int)
	proceed := make(chan struct{})
	go func() {
		buffer := make([]byte, 16)
		for {
			n, err := conn.Read(buffer)
			read <- n
			<-proceed
			if err != nil {
				return
			}
		}
	}()
	await := func(want bool, when string) {
		t.Helper()
		for until := time.Now().Add(5 * time.Second); conn.hasUnread() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%s: unread is %v, want %v", when, !want, want)
			}
		}
	}
	await(false, "nothing was sent")
	if _, err := client.Write([]byte("cancel")); err != nil {
		t.Fatal(err)
	}
	<-read
	await(true, "it was read and not acted on")
	proceed <- struct{}{}
	await(false, "the reader is back")
	client.Close()
	<-read
	await(true, "the end was read and not acted on")
	proceed <- struct{}{}
}
