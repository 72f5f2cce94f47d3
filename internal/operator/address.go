package operator

import (
	"net/netip"
	"strconv"
)

// endpoint is an address to listen on, and the address at which others reach it.
type endpoint struct {
	listen    netip.AddrPort
	advertise netip.AddrPort
}

// parseEndpoint parses the fields listen and advertise of a table. If advertise is empty, it equals listen.
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

// parseAddress parses an address and port. It reports false for an invalid one and for port 0.
func parseAddress(text string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(text)
	return address, err == nil && address.Port() != 0
}

// fields returns the endpoint's addresses with the names of their fields. The order determines which fault is reported.
func (e endpoint) fields() []addressField {
	return []addressField{{"listen", e.listen.Addr()}, {"advertise", e.advertise.Addr()}}
}

// addressField is an address and the name of its field.
type addressField struct {
	name    string
	address netip.Addr
}

// isPrivate reports whether an address belongs to a loopback, private or link-local network. Routers trust all hosts on it.
func isPrivate(address netip.Addr) bool {
	return address.IsLoopback() || address.IsPrivate() || address.IsLinkLocalUnicast()
}
