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

// testRouter is a router with a gRPC front end, one simulated cache server and a client.
type testRouter struct {
	t         *testing.T
	log       *event.Log
	server    *cacheserver.Server
	router    *router.Router
	frontend  *Server
	runResult chan error
	conn      *grpc.ClientConn
	client    cachev1.CacheServiceClient
	lastID    atomic.Int64
}

// lastAddress counts the loopback addresses that tests have used; each test has one of its own.
var lastAddress atomic.Int32

// startRouter starts a router with a gRPC front end and waits until it serves. Its cleanup checks that nothing is left over.
func startRouter(t *testing.T) *testRouter {
	parsed, err := scenario.Parse([]byte(scenario.Example))
	if err != nil {
		t.Fatal(err)
	}
	parsed.Service.Mode, parsed.Routers.Count, parsed.Servers.Count = "through", 1, 1
	r := &testRouter{t: t, log: event.NewLog(), runResult: make(chan error, 1)}
	cacheServers := &cacheserver.Config{Log: r.log, Settings: parsed.Servers, Service: parsed.Service, ReadThrough: true, Methods: map[string]scenario.Method{},
		Deduplicator: &cacheserver.Deduplicator{}}
	for _, method := range parsed.Methods {
		method.Work, method.WorkDistribution = 1000, "none"
		cacheServers.Methods[method.Name] = method
	}
	address := func(port int) string { return fmt.Sprintf("127.16.0.%d:%d", lastAddress.Load(), port) }
	lastAddress.Add(1)
	if r.server, err = cacheserver.Start(cacheServers, "s0", "a", 0, []string{address(16379)}, true, 1); err != nil {
		t.Fatal(err)
	}
	discovery, err := registry.Start(r.log, parsed.Discovery, []string{address(18500)})
	if err != nil {
		t.Fatal(err)
	}
	discovery.Update(registry.Entry{UID: "s0", Zone: "a", Kind: "cache", State: "active", Addr: r.server.Addr}, true)
	text, err := fleet.Config(parsed, 0, "n1", address(6379), address(18500), "1", discovery.FullList(0))
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
	if r.router, err = router.New(cfg, log); err != nil {
		t.Fatal(err)
	}
	r.frontend = New(r.router, Limits{Connections: 4, Streams: 1000, ValueBytes: 64 << 10})
	ln, err := net.Listen("tcp", address(7443))
	if err != nil {
		t.Fatal(err)
	}
	go func() { r.runResult <- r.router.Run() }()
	go func() { _ = r.frontend.Serve(ln) }() // ends with Stop
	if r.conn, err = grpc.NewClient(address(7443), grpc.WithTransportCredentials(insecure.NewCredentials())); err != nil {
		t.Fatal(err)
	}
	r.client = cachev1.NewCacheServiceClient(r.conn)
	healthClient := healthv1.NewHealthClient(r.conn)
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		got, err := healthClient.Check(t.Context(), &healthv1.HealthCheckRequest{})
		if err == nil && got.Status == healthv1.HealthCheckResponse_SERVING {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the health service does not report SERVING within 5 s: ", got, err)
		}
	}
	t.Cleanup(func() {
		r.router.Drain()
		r.frontend.Stop(time.Second)
		r.conn.Close()
		select {
		case err := <-r.runResult:
			if err != nil {
				t.Error(err)
			}
		case <-time.After(5 * time.Second):
			t.Error("the router did not stop")
		}
		if got := r.router.Counters(); !strings.Contains(got, " reqs=0 held-bytes=0 ") {
			t.Error("the router still holds a request: ", got)
		}
		r.server.Kill()
		r.server.Wait()
		discovery.Close()
	})
	return r
}

func (r *testRouter) newID() string { return fmt.Sprintf("id-%d", r.lastID.Add(1)) }

func (r *testRouter) get(ctx context.Context, id, method string) (string, error) {
	got, err := r.client.Get(ctx, &cachev1.GetRequest{Attributes: &cachev1.Attributes{Id: id, Method: method}, Key: []byte("k")})
	return string(got.GetValue()), err
}

// setFault begins or ends a fault of the cache server.
func (r *testRouter) setFault(kind string, share float64, end bool) {
	if err := r.server.ApplyFault(scenario.Fault{Kind: kind, Share: share, Factor: 1}, end); err != nil {
		r.t.Fatal(err)
	}
}

// countEvents counts the events of a kind that the server logged for a request.
func (r *testRouter) countEvents(id string, kind event.Kind) (n int) {
	for _, e := range r.log.Events() {
		if e.Kind == kind && string(e.Request) == id {
			n++
		}
	}
	return n
}

func waitUntil(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting until ", condition)
		}
	}
}

func TestCallsReceiveTheRoutersAnswer(t *testing.T) {
	r := startRouter(t)
	id := r.newID()
	if got, err := r.get(t.Context(), id, "status"); err != nil || !cacheserver.IsValueFor(event.RequestID(id), []byte(got)) {
		t.Errorf("read: got %q, %v, want a value of this request", got, err)
	}
	id = r.newID()
	set, err := r.client.Set(t.Context(), &cachev1.SetRequest{Attributes: &cachev1.Attributes{Id: id, Method: "book", Tenant: "first"}, Key: []byte("k"), Value: []byte("v")})
	if err != nil || !cacheserver.IsValueFor(event.RequestID(id), set.GetReceipt()) || r.countEvents(id, event.EffectExecuted) != 1 {
		t.Errorf("write: got %v, %v, and it ran %d times, want a receipt of this request and one run", set, err, r.countEvents(id, event.EffectExecuted))
	}
	// A request that may have run and must not run twice fails, without further details.
	r.setFault("reset", 1, false)
	_, err = r.client.Set(t.Context(), &cachev1.SetRequest{Attributes: &cachev1.Attributes{Id: r.newID(), Method: "book"}, Key: []byte("k")})
	if status.Code(err) != codes.Aborted {
		t.Errorf("a write that may have run: got %v, want %v", err, codes.Aborted)
	}
	// A request that may run again is rejected once its attempts are used up, with a retry delay.
	_, err = r.get(t.Context(), r.newID(), "status")
	if s := status.Convert(err); s.Code() != codes.Unavailable || len(s.Details()) != 1 ||
		s.Details()[0].(*errdetails.RetryInfo).RetryDelay.AsDuration() < 100*time.Millisecond {
		t.Errorf("a read with all attempts reset: got %v, %v, want %v with a delay of at least 100 ms", err, s.Details(), codes.Unavailable)
	}
	r.setFault("reset", 0, true)
}

func TestInvalidFieldIsNamed(t *testing.T) {
	r := startRouter(t)
	for _, c := range []struct {
		attributes *cachev1.Attributes
		key        string
		field      string
	}{
		{nil, "k", "attributes.id"},
		{&cachev1.Attributes{Id: "a b", Method: "status"}, "k", "attributes.id"},
		{&cachev1.Attributes{Id: strings.Repeat("x", 300), Method: "status"}, "k", "attributes.id"},
		{&cachev1.Attributes{Id: "a"}, "k", "attributes.method"},
		{&cachev1.Attributes{Id: "a", Method: "nothing"}, "k", "attributes.method"},
		{&cachev1.Attributes{Id: "a", Method: "status", Tenant: "x,d=9"}, "k", "attributes.tenant"},
		{&cachev1.Attributes{Id: "a", Method: "status"}, "", "key"},
	} {
		_, err := r.client.Get(t.Context(), &cachev1.GetRequest{Attributes: c.attributes, Key: []byte(c.key)})
		got := status.Convert(err)
		if got.Code() != codes.InvalidArgument || len(got.Details()) != 1 ||
			got.Details()[0].(*errdetails.BadRequest).FieldViolations[0].Field != c.field {
			t.Errorf("attributes %v: got %v, want a violation of %s", c.attributes, err, c.field)
		}
	}
	attributes := &cachev1.Attributes{Id: "big", Method: "book"}
	for size, want := range map[int]codes.Code{64 << 10: codes.OK, 64<<10 + 1: codes.InvalidArgument, 1 << 20: codes.ResourceExhausted} {
		_, err := r.client.Set(t.Context(), &cachev1.SetRequest{Attributes: attributes, Key: []byte("k"), Value: make([]byte, size)})
		if status.Code(err) != want {
			t.Errorf("write of %d bytes: got %v, want %v", size, err, want)
		}
	}
}

// When a client cancels a call, its attempt is canceled at once. Until then a second request with the same id is rejected.
func TestCancellingACallCancelsItsAttempt(t *testing.T) {
	r := startRouter(t)
	r.setFault("hang", 0, false)
	ctx, cancel := context.WithCancel(t.Context())
	id := r.newID()
	done := make(chan error, 1)
	go func() {
		_, err := r.get(ctx, id, "status")
		done <- err
	}()
	waitUntil(t, "the attempt reaches the server", func() bool { return r.countEvents(id, event.AttemptReceived) == 1 })
	if _, err := r.get(t.Context(), id, "status"); status.Code(err) != codes.AlreadyExists {
		t.Errorf("a second call with the id of an open one: got %v, want %v", err, codes.AlreadyExists)
	}
	cancel()
	if err := <-done; status.Code(err) != codes.Canceled {
		t.Errorf("the canceled call: got %v, want %v", err, codes.Canceled)
	}
	waitUntil(t, "the attempt is canceled", func() bool { return r.countEvents(id, event.AttemptEnded) == 1 })
	r.setFault("hang", 0, true)
}

// The shorter of the client's and the method's deadline applies. A deadline that has passed causes no attempt.
func TestShorterDeadlineApplies(t *testing.T) {
	r := startRouter(t)
	r.setFault("hang", 0, false)
	defer r.setFault("hang", 0, true)
	for _, c := range []struct {
		deadline time.Duration
		limit    time.Duration
	}{{120 * time.Millisecond, 250 * time.Millisecond}, {time.Minute, 900 * time.Millisecond}} { // the method's deadline is 600 ms
		ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
		began := time.Now()
		_, err := r.get(ctx, r.newID(), "status")
		cancel()
		if took := time.Since(began); took > c.limit || err == nil {
			t.Errorf("with a deadline of %v: got %v after %v, want an error within %v", c.deadline, err, took, c.limit)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
	defer cancel()
	id := r.newID()
	if _, err := r.get(ctx, id, "status"); status.Code(err) != codes.DeadlineExceeded || r.countEvents(id, event.AttemptReceived) != 0 {
		t.Errorf("with a deadline that has passed: got %v and %d attempts, want %v and none", err, r.countEvents(id, event.AttemptReceived), codes.DeadlineExceeded)
	}
}

// A draining router answers open calls, and its health service reports NOT_SERVING, so that clients go elsewhere.
func TestDrainAnswersOpenCalls(t *testing.T) {
	r := startRouter(t)
	if _, err := r.get(t.Context(), r.newID(), "status"); err != nil {
		t.Fatal(err)
	}
	r.setFault("hang", 0, false)
	id := r.newID()
	done := make(chan error, 1)
	go func() {
		_, err := r.get(t.Context(), id, "status")
		done <- err
	}()
	waitUntil(t, "the attempt reaches the server", func() bool { return r.countEvents(id, event.AttemptReceived) == 1 })
	r.router.Drain()
	healthClient := healthv1.NewHealthClient(r.conn)
	waitUntil(t, "the health service reports NOT_SERVING", func() bool {
		got, err := healthClient.Check(t.Context(), &healthv1.HealthCheckRequest{})
		return err == nil && got.Status == healthv1.HealthCheckResponse_NOT_SERVING
	})
	r.setFault("hang", 0, true)
	if err := <-done; err != nil {
		t.Error("the open call got ", err)
	}
}

// Thousands of canceled calls leave neither requests nor goroutines behind. The cleanup of startRouter checks the counters.
func TestManyCancelledCallsLeakNothing(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Run("flood", func(t *testing.T) {
		r := startRouter(t)
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				for i := range 60 {
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i*20)*time.Microsecond)
					_, _ = r.get(ctx, r.newID(), "status") // most of these calls are canceled
					cancel()
				}
			})
		}
		wg.Wait()
		if _, err := r.get(t.Context(), r.newID(), "status"); err != nil {
			t.Error("after the canceled calls: ", err)
		}
	})
	// gnet's goroutines may end later.
	goleak.VerifyNone(t, before, goleak.IgnoreAnyFunction("github.com/panjf2000/gnet/v2.Engine.Stop"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}

// A connection has unread input from the arrival of bytes, or of its end, until its reader is back in Read.
func TestTrackedConn_ReportsUnreadInput(t *testing.T) {
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
	accepted, err := (&limitedListener{Listener: ln, permits: make(chan struct{}, 1), conns: &sync.Map{}}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	conn := accepted.(*trackedConn)
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
	awaitUnread := func(want bool, when string) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); conn.hasUnread() != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: hasUnread is %v, want %v", when, !want, want)
			}
		}
	}
	awaitUnread(false, "before any input")
	if _, err := client.Write([]byte("cancel")); err != nil {
		t.Fatal(err)
	}
	<-read
	awaitUnread(true, "input was read but not processed")
	proceed <- struct{}{}
	awaitUnread(false, "the reader is back in Read")
	client.Close()
	<-read
	awaitUnread(true, "the end was read but not processed")
	proceed <- struct{}{}
}
