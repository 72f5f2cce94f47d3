package admin

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Fleet is implemented by a Router that is a member of a fleet.
type Fleet interface {
	// StatusJSON returns this router's view of the fleet as JSON.
	StatusJSON() (string, error)
}

// Policy is implemented by a Router that follows the policy of its fleet.
type Policy interface {
	// Policy returns the policy that is in force in this router as JSON.
	Policy() (string, error)
	// HandleRequest forwards a request to the voters and returns their reply.
	HandleRequest(request string) (string, error)
}

// Errors of requests that the router cannot answer.
var (
	errNoFleet     = errors.New("this router keeps no view of a fleet; fleet.name in the operator's file switches it on")
	errNoPolicy    = errors.New("this router is kept to no policy of a fleet; policy.cut_off in the operator's file switches it on")
	errBadServerID = errors.New("the body is to be the id of a cache server")
)

// Bounds of request bodies.
const (
	maxServerIDBytes = 256
	// maxServerIDBodyBytes allows for white space around a server's id.
	maxServerIDBodyBytes = maxServerIDBytes + 64
	// maxPolicyRequestBytes is enough for a policy document as JSON.
	maxPolicyRequestBytes = 256 << 10
)

// route is one path of the endpoint.
type route struct {
	path         string
	method       string
	maxBodyBytes int64         // a longer body is truncated; a truncated policy request then fails as invalid JSON
	timeout      time.Duration // for the reply; 0: callTimeout
	reply        func(body string) (string, error)
}

// routes returns the routes of a router. The replies "out", "in use" and "taking clients" must not change: tools parse them.
func routes(router Router) []route {
	return []route{
		get("/ops/readiness", func() (string, error) { return "ready\n", router.Ready() }),
		get("/ops/stats", func() (string, error) { return router.Metrics(), nil }),
		put("/ops/cache-servers/down", func(body string) (string, error) { return "out\n", withServerID(body, router.BanServer) }),
		put("/ops/cache-servers/up", func(body string) (string, error) { return "in use\n", withServerID(body, router.UnbanServer) }),
		put("/ops/drain/start", func(string) (string, error) { return "draining\n", router.SetDraining(true) }),
		put("/ops/drain/stop", func(string) (string, error) { return "taking clients\n", router.SetDraining(false) }),
		get("/ops/fleet", func() (string, error) { return fleetView(router) }),
		get("/ops/policy", func() (string, error) { return policyInForce(router) }),
		policyRequest(router),
	}
}

// ServeHTTP checks the method, reads the body and writes the reply.
func (r route) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method != r.method {
		w.Header().Set("Allow", r.method)
		http.Error(w, "the method of this call is "+r.method, http.StatusMethodNotAllowed)
		return
	}
	if r.timeout > 0 {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.timeout)) // if it fails, callTimeout applies
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, r.maxBodyBytes))
	if err != nil {
		http.Error(w, "the body did not come whole", http.StatusBadRequest)
		return
	}
	text, err := r.reply(strings.TrimSpace(string(body)))
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
		return
	}
	_, _ = io.WriteString(w, text) // an error means that the caller has disconnected
}

// statusOf returns the HTTP status for an error: 404 and 400 for faults of the request, and 503 for every error because of which
// the router cannot currently do what is requested, including a rejected policy request.
func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrUnknownServer), errors.Is(err, errNoFleet), errors.Is(err, errNoPolicy):
		return http.StatusNotFound
	case errors.Is(err, errBadServerID):
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// get returns a GET route, whose reply does not depend on the body.
func get(path string, reply func() (string, error)) route {
	return route{path: path, method: http.MethodGet, maxBodyBytes: maxServerIDBodyBytes,
		reply: func(string) (string, error) { return reply() }}
}

// put returns a PUT route.
func put(path string, reply func(body string) (string, error)) route {
	return route{path: path, method: http.MethodPut, maxBodyBytes: maxServerIDBodyBytes, reply: reply}
}

// fleetView returns the router's view of its fleet, or errNoFleet.
func fleetView(router Router) (string, error) {
	fleet, ok := router.(Fleet)
	if !ok {
		return "", errNoFleet
	}
	return fleet.StatusJSON()
}

// policyInForce returns the policy in force, or errNoPolicy.
func policyInForce(router Router) (string, error) {
	policy, ok := router.(Policy)
	if !ok {
		return "", errNoPolicy
	}
	return policy.Policy()
}

// policyRequest returns the route for requests to the voters. If the router follows a policy, the bodies may be large and the
// replies may take long.
func policyRequest(router Router) route {
	r := route{path: "/ops/policy/ask", method: http.MethodPost}
	policy, ok := router.(Policy)
	if !ok {
		r.maxBodyBytes = maxServerIDBodyBytes
		r.reply = func(string) (string, error) { return "", errNoPolicy }
		return r
	}
	r.maxBodyBytes = maxPolicyRequestBytes
	r.timeout = policyRequestTimeout
	r.reply = policy.HandleRequest
	return r
}

// withServerID calls change with the cache server's id that the body consists of.
func withServerID(body string, change func(uid string) error) error {
	if body == "" || len(body) > maxServerIDBytes {
		return fmt.Errorf("%w, of 1 to %d bytes", errBadServerID, maxServerIDBytes)
	}
	return change(body)
}
