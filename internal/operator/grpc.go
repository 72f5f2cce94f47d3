package operator

import (
	"fmt"
	"net/netip"
	"strconv"
)

// GRPC is the table [grpc]: gRPC clients (internal/grpcfront).
type GRPC struct {
	Listen      string `toml:"listen"`      // address and port; empty: there are none
	Connections int    `toml:"connections"` // at once
	Streams     int    `toml:"streams"`     // at once on a connection
}

// Bounds of connections and streams. Zero stands for the default.
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

func checkGRPCCount(table tomlTable, field string, count *int) error {
	if *count == 0 {
		*count = defaultGRPCCount
	}
	if *count < 1 || *count > maxGRPCCount {
		return table.fault(field, strconv.Itoa(*count), fmt.Sprintf("is not from 1 to %d", maxGRPCCount), "write such a number")
	}
	return nil
}
