// Package operator reads the file that the operator owns: what a router does beyond serving, each part off unless the
// file switches it on. It is strict TOML; what is wrong is named with line, field and remedy.
package operator

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"time"

	"spurtrestle/internal/tomlfile"
)

// File is all that the file may hold. The zero value is what holds without one.
type File struct {
	State  State  `toml:"state"`
	GRPC   GRPC   `toml:"grpc"`
	Fleet  Fleet  `toml:"fleet"`
	Policy Policy `toml:"policy"`
	where  string
	at     tomlfile.Lines
}

// FieldError is an error about one field of the file, found where it is put to use.
func (f File) FieldError(field, what, remedy string) error {
	return fmt.Errorf("%s: %w", f.where, tomlfile.Error{Line: f.at.Line(field), Field: field, What: what, Remedy: remedy})
}

// State is about learned state that survives a restart.
type State struct {
	Dir          string `toml:"dir"`   // folder, one for each router; empty: nothing is kept
	IntervalText string `toml:"every"` // between two files, give or take a quarter
	span         time.Duration
}

// Interval is Every as a span.
func (s State) Interval() time.Duration { return s.span }

// GRPC is about gRPC clients.
type GRPC struct {
	Listen      string `toml:"listen"`      // address and port; empty: there are none
	Connections int    `toml:"connections"` // at once; 0: 256
	Streams     int    `toml:"streams"`     // at once on a connection; 0: 256
}

// Fleet is about the view of the fleet that the routers keep among themselves.
type Fleet struct {
	Name      string   `toml:"name"`      // of the fleet; empty: this router keeps no view
	Router    string   `toml:"router"`    // this router's name; empty: that of its configuration
	Site      string   `toml:"site"`      // where it is; empty: that of its configuration
	Listen    string   `toml:"listen"`    // address and port, for UDP and TCP
	Advertise string   `toml:"advertise"` // where the others reach it; empty: listen
	Join      []string `toml:"join"`      // addresses of others, to begin with
	Dir       string   `toml:"dir"`       // folder for the peers known; empty: they are not kept
	Probe     string   `toml:"probe"`     // between two probes of another router
	Forget    string   `toml:"forget"`    // after which lost and left routers are no longer shown
	Tiered    bool     `toml:"tiered"`    // full membership within the site alone, summaries of other sites and regions
	Region    string   `toml:"region"`    // with Tiered: that the site is in
	Remote    []string `toml:"remote"`    // with Tiered: addresses of routers of other sites, to begin with
	Anywhere  bool     `toml:"anywhere"`  // unspecified and public addresses are meant
	listen    netip.AddrPort
	advertise netip.AddrPort
	probe     time.Duration
	forget    time.Duration
}

// Policy is about one policy for the whole fleet.
type Policy struct {
	WhenIsolated string   `toml:"cut_off"`   // serve or refuse, where the keepers cannot be reached; empty: there is none
	Voters       []string `toml:"keepers"`   // names of the routers that keep it: three or five
	Listen       string   `toml:"listen"`    // at a keeper: address and port for the log
	Advertise    string   `toml:"advertise"` // where the other keepers reach it; empty: listen
	Dir          string   `toml:"dir"`       // at a keeper: the folder of the log
	listen       netip.AddrPort
	advertise    netip.AddrPort
}

// Addresses are those listened on, and told to other keepers.
func (p Policy) Addresses() (listen, advertise netip.AddrPort) { return p.listen, p.advertise }

func (p *Policy) check(at tomlfile.Lines, f Fleet) error {
	wrong := func(field, what, remedy string) error {
		return tomlfile.Error{Line: at.Line("policy." + field), Field: "policy." + field, What: what, Remedy: remedy}
	}
	if p.WhenIsolated == "" {
		if p.Dir != "" || len(p.Voters) > 0 {
			return wrong("cut_off", "is empty, though other fields are set", "say serve or refuse, or leave all of them empty")
		}
		return nil
	}
	if p.WhenIsolated != "serve" && p.WhenIsolated != "refuse" {
		return wrong("cut_off", fmt.Sprintf("%q is neither serve nor refuse", p.WhenIsolated), "say what a router does that cannot reach the keepers")
	}
	if f.Name == "" {
		return wrong("cut_off", "is set, and the router keeps no view of a fleet", "name the fleet under [fleet]")
	}
	if f.Tiered {
		return wrong("cut_off", "is set, and fleet.tiered is true: keepers and routers of several sites do not reach one another through it yet",
			"leave policy.cut_off empty, or set fleet.tiered = false")
	}
	if n := len(p.Voters); n != 1 && n != 3 && n != 5 {
		return wrong("keepers", fmt.Sprintf("%d are named", n), "name three or five routers; one alone, where none may be lost")
	}
	for i, name := range p.Voters {
		if !plain.MatchString(name) || slices.Contains(p.Voters[:i], name) {
			return wrong("keepers", fmt.Sprintf("its entry %d, %q, is no name or there twice", i+1, name), "name each router once")
		}
	}
	if p.Listen == "" && p.Dir == "" {
		return nil // no keeper
	}
	var err error
	if p.listen, err = netip.ParseAddrPort(p.Listen); err != nil || p.listen.Port() == 0 || p.Listen == f.Listen {
		return wrong("listen", fmt.Sprintf("%q is no address and port, or that of fleet.listen", p.Listen), `write one of its own, as "10.1.2.3:7947"`)
	}
	if p.advertise = p.listen; p.Advertise != "" {
		if p.advertise, err = netip.ParseAddrPort(p.Advertise); err != nil || p.advertise.Port() == 0 {
			return wrong("advertise", fmt.Sprintf("%q is no address and port", p.Advertise), `write it as "10.1.2.3:7947"`)
		}
	}
	for _, field := range []named[netip.AddrPort]{{"listen", p.listen}, {"advertise", p.advertise}} {
		a := field.value.Addr()
		if a.IsUnspecified() || !f.Anywhere && !trusted(a) {
			return wrong(field.name, fmt.Sprintf("%s is no address of a private network", a), "write one of a network that is trusted")
		}
	}
	if !filepath.IsAbs(p.Dir) {
		return wrong("dir", fmt.Sprintf("%q is no absolute path", p.Dir), "write the whole path of a folder for this keeper alone, on a disk that lasts")
	}
	return nil
}

// Addresses are those listened on, and told to others.
func (f Fleet) Addresses() (listen, advertise netip.AddrPort) { return f.listen, f.advertise }

// Spans are Probe and Forget.
func (f Fleet) Spans() (probe, forget time.Duration) { return f.probe, f.forget }

const (
	usualEvery = 10 * time.Second // what is lost by a kill is half of that on average, against half-lives of a minute
	leastEvery = time.Second
	mostEvery  = time.Hour
)

// Load reads a file. An empty name is no file.
func Load(name string) (File, error) {
	if name == "" {
		return File{}, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return File{}, err
	}
	f, err := Parse(text)
	if err != nil {
		return f, fmt.Errorf("%s: %w", name, err)
	}
	f.where, f.at = name, tomlfile.FieldLines(text)
	return f, nil
}

// Parse reads the text of a file.
func Parse(text []byte) (File, error) {
	var f File
	if err := tomlfile.Decode(text, &f, "deploy/spurtrestle.toml"); err != nil {
		return f, err
	}
	return f, f.check(text)
}

func (f *File) check(text []byte) error {
	s, at := &f.State, tomlfile.FieldLines(text)
	wrong := func(field, what, remedy string) error {
		return tomlfile.Error{Line: at.Line("state." + field), Field: "state." + field, What: what, Remedy: remedy}
	}
	if s.Dir != "" && !filepath.IsAbs(s.Dir) {
		return wrong("dir", fmt.Sprintf("%q is no absolute path", s.Dir), "write the whole path: what the router is started from may change")
	}
	s.span = usualEvery
	if s.IntervalText != "" {
		d, err := time.ParseDuration(s.IntervalText)
		if err != nil {
			return wrong("every", fmt.Sprintf("%q is no span", s.IntervalText), `write it as "10s" or "1m"`)
		}
		s.span = d
	}
	g := &f.GRPC
	if _, err := netip.ParseAddrPort(g.Listen); g.Listen != "" && err != nil {
		return tomlfile.Error{Line: at.Line("grpc.listen"), Field: "grpc.listen", What: fmt.Sprintf("%q is no address and port", g.Listen),
			Remedy: `write it as "127.0.0.1:7443"`}
	}
	for _, field := range []named[*int]{{"connections", &g.Connections}, {"streams", &g.Streams}} {
		n := field.value
		if *n == 0 {
			*n = 256
		}
		if *n < 1 || *n > 10000 {
			return tomlfile.Error{Line: at.Line("grpc." + field.name), Field: "grpc." + field.name, What: fmt.Sprintf("%d is not from 1 to 10000", *n),
				Remedy: "write such a number"}
		}
	}
	if s.span < leastEvery || s.span > mostEvery {
		return wrong("every", fmt.Sprintf("%v is not from %v to %v", s.span, leastEvery, mostEvery), "write such a span")
	}
	if err := f.Fleet.check(at); err != nil {
		return err
	}
	return f.Policy.check(at, f.Fleet)
}

// named is a field of a table by its name. Fields are looked at in the file's order, not in a map's: a file with two faults,
// or one fault that shows in two fields, is told the same line each time.
type named[T any] struct {
	name  string
	value T
}

// trusted tells whether an address is one of a private network.
func trusted(a netip.Addr) bool { return a.IsLoopback() || a.IsPrivate() || a.IsLinkLocalUnicast() }

var plain = regexp.MustCompile(`^[A-Za-z0-9._-]{1,60}$`)

func (f *Fleet) check(at tomlfile.Lines) error {
	wrong := func(field, what, remedy string) error {
		return tomlfile.Error{Line: at.Line("fleet." + field), Field: "fleet." + field, What: what, Remedy: remedy}
	}
	if f.Name == "" {
		if f.Listen != "" || len(f.Join) > 0 {
			return wrong("name", "is empty, though other fields are set", "name the fleet, or leave all of them empty")
		}
		return nil
	}
	for _, field := range []named[string]{{"name", f.Name}, {"router", f.Router}, {"site", f.Site}, {"region", f.Region}} {
		if field.value != "" && !plain.MatchString(field.value) {
			return wrong(field.name, fmt.Sprintf("%q is no name", field.value), "write 1 to 60 letters, digits, dots, dashes or underscores")
		}
	}
	var err error
	if f.listen, err = netip.ParseAddrPort(f.Listen); err != nil || f.listen.Port() == 0 {
		return wrong("listen", fmt.Sprintf("%q is no address and port", f.Listen), `write it as "10.1.2.3:7946"`)
	}
	if f.advertise = f.listen; f.Advertise != "" {
		if f.advertise, err = netip.ParseAddrPort(f.Advertise); err != nil || f.advertise.Port() == 0 {
			return wrong("advertise", fmt.Sprintf("%q is no address and port", f.Advertise), `write it as "10.1.2.3:7946"`)
		}
	}
	if f.advertise.Addr().IsUnspecified() {
		return wrong("advertise", fmt.Sprintf("others cannot reach %s", f.advertise), "write the address at which they do")
	}
	for _, field := range []named[netip.AddrPort]{{"listen", f.listen}, {"advertise", f.advertise}} {
		if a := field.value.Addr(); !f.Anywhere && !trusted(a) {
			return wrong(field.name, fmt.Sprintf("%s is no address of a private network, and nothing is signed or encrypted here", a),
				"write one of a network that is trusted, or set anywhere = true if this is meant")
		}
	}
	for _, field := range []named[[]string]{{"join", f.Join}, {"remote", f.Remote}} {
		for i, text := range field.value {
			if _, err := netip.ParseAddrPort(text); err != nil {
				return wrong(field.name, fmt.Sprintf("its entry %d, %q, is no address and port", i+1, text), `write it as "10.1.2.3:7946"`)
			}
		}
	}
	if !f.Tiered && (f.Region != "" || len(f.Remote) > 0) {
		return wrong("tiered", "is false, though region or remote is set", "set tiered = true at every router of the fleet, or leave both empty")
	}
	if f.Tiered && f.Region == "" {
		return wrong("region", "is empty, and tiered is true", "name the region that the router's site is in")
	}
	if f.Dir != "" && !filepath.IsAbs(f.Dir) {
		return wrong("dir", fmt.Sprintf("%q is no absolute path", f.Dir), "write the whole path: what the router is started from may change")
	}
	for _, s := range []struct {
		field, text string
		into        *time.Duration
		least, most time.Duration
		usual       time.Duration
	}{{"probe", f.Probe, &f.probe, 100 * time.Millisecond, 10 * time.Second, time.Second},
		{"forget", f.Forget, &f.forget, time.Second, 240 * time.Hour, 10 * time.Minute}} {
		if *s.into = s.usual; s.text == "" {
			continue
		}
		if *s.into, err = time.ParseDuration(s.text); err != nil || *s.into < s.least || *s.into > s.most {
			return wrong(s.field, fmt.Sprintf("%q is no span from %v to %v", s.text, s.least, s.most), `write it as "1s" or "10m"`)
		}
	}
	return nil
}
