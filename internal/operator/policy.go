package operator

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
)

// Policy is the table [policy], which configures a policy shared by all routers of the fleet (internal/controlplane).
type Policy struct {
	WhenIsolated string   `toml:"cut_off"`   // serve or refuse, while the voters cannot be reached; empty: there is no policy
	Voters       []string `toml:"keepers"`   // names of the voting routers: three or five, or one
	Listen       string   `toml:"listen"`    // at a voter: address and port for log replication
	Advertise    string   `toml:"advertise"` // the address at which the other voters reach it; empty: listen
	Dir          string   `toml:"dir"`       // at a voter: the directory of the log

	// Parsed by check.
	endpoint endpoint
}

// Values of Policy.WhenIsolated.
const (
	WhenIsolatedServe  = "serve"
	WhenIsolatedReject = "refuse"
)

// policyAddressExample is the remedy for an invalid address.
const policyAddressExample = `write it as "10.1.2.3:7947"`

// Addresses returns the address to listen on, and the one at which other voters reach this one. Both are invalid unless this
// router is a voter.
func (p Policy) Addresses() (listen, advertise netip.AddrPort) {
	return p.endpoint.listen, p.endpoint.advertise
}

// check validates the table, including its dependencies on the table [fleet], and parses its addresses.
func (p *Policy) check(table tomlTable, fleet Fleet) error {
	if p.WhenIsolated == "" {
		if p.Dir != "" || len(p.Voters) > 0 {
			return table.fault("cut_off", "", "is empty, though other fields are set", "say serve or refuse, or leave all of them empty")
		}
		return nil
	}
	if err := p.checkWhenIsolated(table, fleet); err != nil {
		return err
	}
	if err := p.checkVoters(table); err != nil {
		return err
	}
	// A voter is recognized by its fields and not by its name, which may come from the configuration, which is not read here.
	isVoter := p.Listen != "" || p.Dir != ""
	if !isVoter {
		return nil
	}
	if err := p.checkEndpoint(table, fleet); err != nil {
		return err
	}
	if !filepath.IsAbs(p.Dir) {
		return table.fault("dir", strconv.Quote(p.Dir), "is no absolute path", "write the whole path of a folder for this keeper alone, on a disk that lasts")
	}
	return nil
}

func (p *Policy) checkWhenIsolated(table tomlTable, fleet Fleet) error {
	if p.WhenIsolated != WhenIsolatedServe && p.WhenIsolated != WhenIsolatedReject {
		return table.fault("cut_off", strconv.Quote(p.WhenIsolated), "is neither serve nor refuse", "say what a router does that cannot reach the keepers")
	}
	if fleet.Name == "" {
		return table.fault("cut_off", "", "is set, and the router keeps no view of a fleet", "name the fleet under [fleet]")
	}
	if fleet.Tiered {
		return table.fault("cut_off", "", "is set, and fleet.tiered is true: keepers and routers of several sites do not reach one another through it yet",
			"leave policy.cut_off empty, or set fleet.tiered = false")
	}
	return nil
}

func (p *Policy) checkVoters(table tomlTable) error {
	if count := len(p.Voters); count != 1 && count != 3 && count != 5 {
		return table.fault("keepers", strconv.Itoa(count), "are named", "name three or five routers; one alone, where none may be lost")
	}
	for i, name := range p.Voters {
		if !namePattern.MatchString(name) || slices.Contains(p.Voters[:i], name) {
			return table.fault("keepers", "", fmt.Sprintf("its entry %d, %q, is no name or there twice", i+1, name), "name each router once")
		}
	}
	return nil
}

func (p *Policy) checkEndpoint(table tomlTable, fleet Fleet) error {
	_, isAddress := parseAddress(p.Listen)
	sameAsFleet := p.Listen == fleet.Listen
	if !isAddress || sameAsFleet {
		return table.fault("listen", strconv.Quote(p.Listen), "is no address and port, or that of fleet.listen", `write one of its own, as "10.1.2.3:7947"`)
	}
	var err error
	if p.endpoint, err = parseEndpoint(table, p.Listen, p.Advertise, policyAddressExample); err != nil {
		return err
	}
	for _, field := range p.endpoint.fields() {
		allowed := fleet.Anywhere || isPrivate(field.address)
		if field.address.IsUnspecified() || !allowed {
			return table.fault(field.name, field.address.String(), "is no address of a private network", "write one of a network that is trusted")
		}
	}
	return nil
}
