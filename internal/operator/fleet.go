package operator

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"regexp"
	"strconv"
	"time"
)

// Fleet is the table [fleet], which configures fleet membership (internal/gossip).
type Fleet struct {
	Name       string   `toml:"name"`      // of the fleet; empty: this router is not a member of one
	Router     string   `toml:"router"`    // this router's name; empty: the one in the configuration
	Site       string   `toml:"site"`      // this router's site; empty: the one in the configuration
	Listen     string   `toml:"listen"`    // address and port, for UDP and TCP
	Advertise  string   `toml:"advertise"` // the address at which others reach it; empty: listen
	Join       []string `toml:"join"`      // addresses of other routers to contact first
	Dir        string   `toml:"dir"`       // directory of the known peers; empty: they are not persisted
	ProbeText  string   `toml:"probe"`     // see ProbeInterval
	ForgetText string   `toml:"forget"`    // see ForgetAfter
	Tiered     bool     `toml:"tiered"`    // full membership within the site, summaries of other sites and regions
	Region     string   `toml:"region"`    // with Tiered: the site's region
	Remote     []string `toml:"remote"`    // with Tiered: addresses of routers of other sites to contact first
	Anywhere   bool     `toml:"anywhere"`  // allow unspecified and public addresses

	// Parsed by check.
	endpoint    endpoint
	probe       time.Duration
	forgetAfter time.Duration
}

// fleetAddressExample is the remedy for an invalid address.
const fleetAddressExample = `write it as "10.1.2.3:7946"`

// Addresses returns the address to listen on, and the one at which other routers reach this one.
func (f Fleet) Addresses() (listen, advertise netip.AddrPort) {
	return f.endpoint.listen, f.endpoint.advertise
}

// ProbeInterval returns the time between two health checks of another router.
func (f Fleet) ProbeInterval() time.Duration { return f.probe }

// ForgetAfter returns how long routers that are lost or have left remain in the view of the fleet.
func (f Fleet) ForgetAfter() time.Duration { return f.forgetAfter }

// check validates the table and parses its addresses and durations.
func (f *Fleet) check(table tomlTable) error {
	if f.Name == "" {
		if f.Listen != "" || len(f.Join) > 0 {
			return table.fault("name", "", "is empty, though other fields are set", "name the fleet, or leave all of them empty")
		}
		return nil
	}
	for _, step := range []func(tomlTable) error{
		f.checkNames,
		f.checkEndpoint,
		f.checkPeers,
		f.checkTiers,
		f.checkDir,
		f.checkDurations,
	} {
		if err := step(table); err != nil {
			return err
		}
	}
	return nil
}

// namePattern matches the names of fleets, routers, sites and regions.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,60}$`)

func (f *Fleet) checkNames(table tomlTable) error {
	for _, field := range []struct{ name, value string }{
		{"name", f.Name},
		{"router", f.Router},
		{"site", f.Site},
		{"region", f.Region},
	} {
		if field.value != "" && !namePattern.MatchString(field.value) {
			return table.fault(field.name, strconv.Quote(field.value), "is no name", "write 1 to 60 letters, digits, dots, dashes or underscores")
		}
	}
	return nil
}

func (f *Fleet) checkEndpoint(table tomlTable) error {
	var err error
	if f.endpoint, err = parseEndpoint(table, f.Listen, f.Advertise, fleetAddressExample); err != nil {
		return err
	}
	if advertise := f.endpoint.advertise; advertise.Addr().IsUnspecified() {
		return table.fault("advertise", "", fmt.Sprintf("others cannot reach %s", advertise), "write the address at which they do")
	}
	for _, field := range f.endpoint.fields() {
		if !f.Anywhere && !isPrivate(field.address) {
			return table.fault(field.name, field.address.String(), "is no address of a private network, and nothing is signed or encrypted here",
				"write one of a network that is trusted, or set anywhere = true if this is meant")
		}
	}
	return nil
}

func (f *Fleet) checkPeers(table tomlTable) error {
	for _, field := range []struct {
		name      string
		addresses []string
	}{
		{"join", f.Join},
		{"remote", f.Remote},
	} {
		for i, address := range field.addresses {
			if _, err := netip.ParseAddrPort(address); err != nil {
				return table.fault(field.name, "", fmt.Sprintf("its entry %d, %q, is no address and port", i+1, address), fleetAddressExample)
			}
		}
	}
	return nil
}

func (f *Fleet) checkTiers(table tomlTable) error {
	if !f.Tiered && (f.Region != "" || len(f.Remote) > 0) {
		return table.fault("tiered", "", "is false, though region or remote is set", "set tiered = true at every router of the fleet, or leave both empty")
	}
	if f.Tiered && f.Region == "" {
		return table.fault("region", "", "is empty, and tiered is true", "name the region that the router's site is in")
	}
	return nil
}

func (f *Fleet) checkDir(table tomlTable) error {
	if f.Dir != "" && !filepath.IsAbs(f.Dir) {
		return relativePath(table, f.Dir)
	}
	return nil
}

// durationField is a duration with a default value, which the file may set within bounds.
type durationField struct {
	name         string
	text         string
	value        *time.Duration // set by parse
	minimum      time.Duration
	maximum      time.Duration
	defaultValue time.Duration
}

func (f *Fleet) checkDurations(table tomlTable) error {
	for _, field := range []durationField{
		{
			name:         "probe",
			text:         f.ProbeText,
			value:        &f.probe,
			minimum:      100 * time.Millisecond,
			maximum:      10 * time.Second,
			defaultValue: time.Second,
		},
		{
			name:         "forget",
			text:         f.ForgetText,
			value:        &f.forgetAfter,
			minimum:      time.Second,
			maximum:      240 * time.Hour,
			defaultValue: 10 * time.Minute,
		},
	} {
		if err := field.parse(table); err != nil {
			return err
		}
	}
	return nil
}

// parse sets value to the parsed text, or to the default if the text is empty.
func (f durationField) parse(table tomlTable) error {
	*f.value = f.defaultValue
	if f.text == "" {
		return nil
	}
	var err error
	*f.value, err = time.ParseDuration(f.text)
	if err != nil || *f.value < f.minimum || *f.value > f.maximum {
		return table.fault(f.name, strconv.Quote(f.text), fmt.Sprintf("is no span from %v to %v", f.minimum, f.maximum), `write it as "1s" or "10m"`)
	}
	return nil
}
