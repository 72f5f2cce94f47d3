// Command cache-router-grpc is the router for RESP2 clients and, if the operator's file enables them, for gRPC clients. In all
// other respects it is the same as cache-router-fleet.
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

// listen starts the gRPC front end. The returned function stops it and aborts calls that outlast the longest deadline.
func listen(r *router.Router, cfg config.Config, g operator.GRPC, log *logrus.Logger) (stop func(), err error) {
	ln, err := router.Listen(g.Listen)
	if err != nil {
		return nil, &configerror.Error{Field: "grpc.listen", Problem: err.Error(), Cause: err}
	}
	front := grpcfront.New(r, grpcfront.Limits{Connections: g.Connections, Streams: g.Streams, ValueBytes: cfg.Limits.RESP.Bulk})
	go func() {
		if err := front.Serve(ln); !grpcfront.Stopped(err) {
			log.WithError(err).Error("gRPC server failed; accepting no more gRPC clients")
		}
	}()
	log.WithField("listen", g.Listen).Info("accepting gRPC clients without TLS")
	longest := settings.LongestDeadline(cfg.Settings)
	return func() { front.Stop(time.Duration(longest) * time.Microsecond) }, nil
}
