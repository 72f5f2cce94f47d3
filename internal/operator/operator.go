// Package operator reads the file that the operator owns: what a router does beyond serving, each part off unless the
// file switches it on. It is strict TOML; what is wrong is named with line, field and remedy.
package operator

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"spurtrestle/internal/tomlfile"
)

// File is all that the file may hold. The zero value is what holds without one.
type File struct {
	State State `toml:"state"`
	GRPC  GRPC  `toml:"grpc"`
}

// State is about learned state that survives a restart.
type State struct {
	Dir   string `toml:"dir"`   // folder, one for each router; empty: nothing is kept
	Every string `toml:"every"` // between two files, give or take a quarter
	span  time.Duration
}

// Interval is Every as a span.
func (s State) Interval() time.Duration { return s.span }

// GRPC is about gRPC clients.
type GRPC struct {
	Listen      string `toml:"listen"`      // address and port; empty: there are none
	Connections int    `toml:"connections"` // at once; 0: 256
	Streams     int    `toml:"streams"`     // at once on a connection; 0: 256
}

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
	s, at := &f.State, tomlfile.PlacesIn(text)
	wrong := func(field, what, remedy string) error {
		return tomlfile.Error{Line: at.Line("state." + field), Field: "state." + field, What: what, Remedy: remedy}
	}
	if s.Dir != "" && !filepath.IsAbs(s.Dir) {
		return wrong("dir", fmt.Sprintf("%q is no absolute path", s.Dir), "write the whole path: what the router is started from may change")
	}
	s.span = usualEvery
	if s.Every != "" {
		d, err := time.ParseDuration(s.Every)
		if err != nil {
			return wrong("every", fmt.Sprintf("%q is no span", s.Every), `write it as "10s" or "1m"`)
		}
		s.span = d
	}
	g := &f.GRPC
	if _, err := netip.ParseAddrPort(g.Listen); g.Listen != "" && err != nil {
		return tomlfile.Error{Line: at.Line("grpc.listen"), Field: "grpc.listen", What: fmt.Sprintf("%q is no address and port", g.Listen),
			Remedy: `write it as "127.0.0.1:7443"`}
	}
	for field, n := range map[string]*int{"connections": &g.Connections, "streams": &g.Streams} {
		if *n == 0 {
			*n = 256
		}
		if *n < 1 || *n > 10000 {
			return tomlfile.Error{Line: at.Line("grpc." + field), Field: "grpc." + field, What: fmt.Sprintf("%d is not from 1 to 10000", *n),
				Remedy: "write such a number"}
		}
	}
	if s.span < leastEvery || s.span > mostEvery {
		return wrong("every", fmt.Sprintf("%v is not from %v to %v", s.span, leastEvery, mostEvery), "write such a span")
	}
	return nil
}
