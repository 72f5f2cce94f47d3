package operator

import (
	"fmt"
	"net/netip"
	"strconv"
)

// GRPC is the table [grpc], which configures the gRPC endpoint for clients (internal/grpcfront).
type GRPC struct {
	Listen      string `toml:"listen"`      // address and port; empty: gRPC is disabled
	Connections int    `toml:"connections"` // maximum number of concurrent connections
	Streams     int    `toml:"streams"`     // maximum number of concurrent streams of a connection
}

// Default and maximum of connections and streams. Zero in the file selects the default.
const (
	defaultGRPCCount = 256
	maxGRPCCount     = 10000
)

func (g *GRPC) check(table tomlTable) error {
	if g.Listen != "" {
		if _, err := netip.ParseAddrPort(g.Listen); err != nil {
			return table.fault("listen", strconv.Quote(g.Listen), "is no address and port", `write it as "127.0.0.1:7443"`)
		}
	}
	if err := checkGRPCCount(table, "connections", &g.Connections); err != nil {
		return err
	}
	return checkGRPCCount(table, "streams", &g.Streams)
}

// checkGRPCCount replaces a zero count by the default and checks its range.
func checkGRPCCount(table tomlTable, field string, count *int) error {
	if *count == 0 {
		*count = defaultGRPCCount
	}
	if *count < 1 || *count > maxGRPCCount {
		return table.fault(field, strconv.Itoa(*count), fmt.Sprintf("is not from 1 to %d", maxGRPCCount), "write such a number")
	}
	return nil
}
