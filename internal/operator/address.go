package operator

import (
	"net/netip"
	"strconv"
)

// endpoint is an address to listen on, and the one at which others reach it.
type endpoint struct {
	listen    netip.AddrPort
	advertise netip.AddrPort
}

// parseEndpoint reads the fields listen and advertise of a table, of which the second is optional.
func parseEndpoint(table tomlTable, listen, advertise, example string) (endpoint, error) {
	var e endpoint
	var ok bool
	if e.listen, ok = parseAddress(listen); !ok {
		return e, table.fault("listen", strconv.Quote(listen), "is no address and port", example)
	}
	e.advertise = e.listen
	if advertise == "" {
		return e, nil
	}
	if e.advertise, ok = parseAddress(advertise); !ok {
		return e, table.fault("advertise", strconv.Quote(advertise), "is no address and port", example)
	}
	return e, nil
}

// parseAddress reads an address with a port other than zero.
func parseAddress(text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	return address, err == nil && address.Port() != 0
}

// fields lists the endpoint's addresses by the names of their fields. The order decides which fault is reported.
func (e endpoint) fields() []addressField {
	return []addressField{{"listen", e.listen.Addr()}, {"advertise", e.advertise.Addr()}}
}

type addressField struct {
	name    string
	address netip.Addr
}

// isPrivate reports whether an address is of a private network. Routers trust all of it.
func isPrivate(address netip.Addr) bool {
	return address.IsLoopback() || address.IsPrivate() || address.IsLinkLocalUnicast()
}
