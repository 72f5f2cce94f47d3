// Command cache-router-grpc is the router on sockets, for RESP2 clients and, where the operator's file says so, for those of
// gRPC. Elsewhere it is the same as cache-router.
package main

import (
	"time"

	"github.com/sirupsen/logrus"

	"spurtrestle/internal/config"
	"spurtrestle/internal/configerror"
	"spurtrestle/internal/controlplane"
	"spurtrestle/internal/gossip"
	"spurtrestle/internal/grpcfront"
	"spurtrestle/internal/operator"
	"spurtrestle/internal/program"
	"spurtrestle/internal/router"
	"spurtrestle/internal/settings"
)

func main() {
	program.Main(program.Components{GRPC: listen, Fleet: gossip.Open, Policy: controlplane.Join})
}

// listen begins to take gRPC clients, and returns what ends that in order.
func listen(r *router.Router, cfg config.Config, g operator.GRPC, log *logrus.Logger) (stop func(), err error) {
	ln, err := router.Listen(g.Listen)
	if err != nil {
		return nil, &configerror.Error{Field: "grpc.listen", Problem: err.Error(), Cause: err}
	}
	front := grpcfront.New(r, grpcfront.Limits{Connections: g.Connections, Streams: g.Streams, Value: cfg.Limits.RESP.Bulk})
	go func() {
		if err := front.Serve(ln); !grpcfront.Stopped(err) {
			log.WithError(err).Error("no more gRPC clients are taken")
		}
	}()
	log.WithField("listen", g.Listen).Info("taking gRPC clients, in clear text")
	longest := settings.LongestDeadline(cfg.Settings)
	return func() { front.Stop(time.Duration(longest) * time.Microsecond) }, nil
}
