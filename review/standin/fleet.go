package standin

import (
	"fmt"
	"io"
	"net/http"
)

// Caches is the number of cache servers of a case.
const Caches = 4

// StartServers starts the cache servers and the origin of a zone, and returns the list that names them. The cache servers are s-1,
// s-2 and so on; handle is called for each command at one of them, with its number.
func (c *Case) StartServers(zone string, handle func(server int, cmd Command), origin func(http.ResponseWriter, OriginRequest)) []Target {
	target := func(uid, kind, addr string) Target {
		return Target{UID: uid, Endpoint: addr, Zone: zone, Kind: kind, State: "active", Weight: 1}
	}
	targets := []Target{target("origin", "origin", c.StartOrigin(origin))}
	for i := range Caches {
		addr := c.StartCache(func(cmd Command) { handle(i+1, cmd) })
		targets = append(targets, target(fmt.Sprint("s-", i+1), "std-3core", addr))
	}
	return targets
}

// ServeFrom returns what an origin does that answers each request at once.
func ServeFrom(valueOf func(key string) string) func(http.ResponseWriter, OriginRequest) {
	return func(w http.ResponseWriter, request OriginRequest) {
		_, _ = io.WriteString(w, valueOf(request.Key)) // the router may have closed the connection
	}
}
