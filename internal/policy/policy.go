// Package policy reads the part of the settings that may change while routers serve: one strict TOML document, the same
// for the whole fleet. What is wrong in it is named with line, field and remedy.
package policy

import (
	"fmt"
	"math"
	"slices"
	"time"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
	"spurtrestle/internal/tomlfile"
)

// Schema is the version of the document that this build knows.
const Schema = 1

// Longest is the most bytes that a document may have. It goes to each router in a packet stream of its own, and stays in
// the log with its successors.
const Longest = 64 << 10

// Document is what the file may hold. What is left out is as each router's own settings have it.
type Document struct {
	Schema         int      `toml:"schema"`
	OverShareWorth *float64 `toml:"over_share_worth"`
	MaxWriteOuts   *int     `toml:"max_write_outs"`
	MaxHint        *string  `toml:"max_hint"`
	Out            []string `toml:"out"` // cache servers that no router uses, by uid
	Cold           struct {
		Share        *float64 `toml:"share"`
		Span         *string  `toml:"span"`
		FallMultiple *float64 `toml:"fall_multiple"`
		FallSpan     *string  `toml:"fall_span"`
	} `toml:"cold"`
	Methods []Method `toml:"method"`
	Tenants []Tenant `toml:"tenant"`
	Sites   Sites    `toml:"sites"`
	at      tomlfile.Places
}

// Method is what may change of a method.
type Method struct {
	Name          string   `toml:"name"`
	LatencyBudget *string  `toml:"latency_budget"`
	Criticality   *float64 `toml:"criticality"`
	LateShare     *float64 `toml:"late_share"`
	// These cannot change, and are read only to say why.
	Effect   any `toml:"effect"`
	Group    any `toml:"group"`
	Window   any `toml:"window"`
	Deadline any `toml:"deadline"`
}

// Tenant is what may change of a tenant.
type Tenant struct {
	Name  string   `toml:"name"`
	Share *float64 `toml:"share"`
}

// Parse reads a document. It is checked against no settings yet.
func Parse(text string) (Document, error) {
	var d Document
	if len(text) > Longest {
		return d, fmt.Errorf("it has %d bytes, and %d are the most; leave out what is as the routers' own settings have it", len(text), Longest)
	}
	if err := tomlfile.Decode([]byte(text), &d, "docs/policy.md"); err != nil {
		return d, err
	}
	d.at = tomlfile.PlacesIn([]byte(text))
	if d.Schema != Schema {
		return d, d.wrong("schema", fmt.Sprintf("is %d, and this build knows %d", d.Schema, Schema), "write schema = 1")
	}
	return d, nil
}

func (d Document) wrong(field, what, remedy string) error {
	return tomlfile.Error{Line: d.at.Line(field), Field: field, What: what, Remedy: remedy}
}

// Settings are a router's own settings with the document in force.
func (d Document) Settings(own routing.Settings) (routing.Settings, error) {
	s := own
	s.Methods, s.Tenants = slices.Clone(own.Methods), slices.Clone(own.Tenants)
	part := func(field string, from *float64, into *float64) error {
		if from == nil {
			return nil
		}
		if !(*from >= 0 && *from <= 1) {
			return d.wrong(field, fmt.Sprintf("%v is no part of one", *from), "write a number from 0 to 1")
		}
		*into = *from
		return nil
	}
	number := func(field string, from *float64, into *float64) error {
		if from == nil {
			return nil
		}
		if !(*from > 0) || math.IsInf(*from, 0) {
			return d.wrong(field, fmt.Sprintf("%v is not above zero", *from), "write a number above 0")
		}
		*into = *from
		return nil
	}
	span := func(field string, from *string, into *clock.Time, least, most clock.Time) error {
		if from == nil {
			return nil
		}
		x, err := time.ParseDuration(*from)
		if at := clock.Time(x / time.Microsecond); err != nil || at < least || at > most {
			return d.wrong(field, fmt.Sprintf("%q is no span from %v to %v", *from, time.Duration(least)*time.Microsecond,
				time.Duration(most)*time.Microsecond), `write it as "250ms" or "4s"`)
		} else {
			*into = at
		}
		return nil
	}
	const hour = 3600e6
	errs := []error{part("over_share_worth", d.OverShareWorth, &s.OverShareWeight), span("max_hint", d.MaxHint, &s.MaxRetryAfter, 0, hour),
		part("cold.share", d.Cold.Share, &s.WarmUpShare), span("cold.span", d.Cold.Span, &s.WarmUpDuration, 1, hour),
		number("cold.fall_multiple", d.Cold.FallMultiple, &s.OverloadMultiple), span("cold.fall_span", d.Cold.FallSpan, &s.OverloadWindow, 1, hour)}
	if d.MaxHint != nil && own.MaxRetryAfter == 0 && s.MaxRetryAfter > 0 {
		errs = append(errs, d.wrong("max_hint", "is set, and the settings have nacks that say nothing of when to come back", "leave it out"))
	}
	if n := d.MaxWriteOuts; n != nil {
		if *n < 1 || *n > 100 || own.HedgingAllowed && *n < 3 {
			errs = append(errs, d.wrong("max_write_outs", fmt.Sprintf("is %d", *n), "write 1 to 100, and 3 at least where two may be out at once"))
		}
		s.MaxAttempts = *n
	}
	for i, uid := range d.Out {
		if uid == "" || len(uid) > 256 || slices.Contains(d.Out[:i], uid) {
			errs = append(errs, d.wrong("out", fmt.Sprintf("its entry %d, %q, is empty, too long or there twice", i+1, uid), "write each server's uid once"))
		}
	}
	named := map[string]bool{}
	for i, m := range d.Methods {
		f := fmt.Sprintf("method[%d].", i)
		at := slices.IndexFunc(s.Methods, func(x routing.MethodSettings) bool { return x.Name == m.Name })
		if at < 0 || named[m.Name] {
			errs = append(errs, d.wrong(f+"name", fmt.Sprintf("%q is no method of the settings, or is there twice", m.Name), "name each method once"))
			continue
		}
		named[m.Name] = true
		for field, x := range map[string]any{"effect": m.Effect, "group": m.Group, "window": m.Window, "deadline": m.Deadline} {
			if x != nil {
				errs = append(errs, d.wrong(f+field, "cannot change while routers serve: requests in hand were taken under it, at other routers as well",
					"leave it out, and restart the routers with other settings"))
			}
		}
		x := &s.Methods[at]
		errs = append(errs, span(f+"latency_budget", m.LatencyBudget, &x.LatencyBudget, 1e3, x.Deadline),
			number(f+"criticality", m.Criticality, &x.Criticality), part(f+"late_share", m.LateShare, &x.LateValue))
	}
	named = map[string]bool{}
	for i, t := range d.Tenants {
		f := fmt.Sprintf("tenant[%d].", i)
		at := slices.IndexFunc(s.Tenants, func(x routing.TenantSettings) bool { return string(x.Name) == t.Name })
		if at < 0 || named[t.Name] {
			errs = append(errs, d.wrong(f+"name", fmt.Sprintf("%q is no tenant of the settings, or is there twice", t.Name), "name each tenant once"))
			continue
		}
		named[t.Name] = true
		errs = append(errs, part(f+"share", t.Share, &s.Tenants[at].Share))
	}
	sum := 0.0
	for _, t := range s.Tenants {
		sum += t.Share
	}
	if len(d.Tenants) > 0 && sum > 1+1e-9 {
		errs = append(errs, d.wrong("tenant[0].share", fmt.Sprintf("all shares come to %v", sum), "let them come to 1 at most"))
	}
	for _, err := range errs {
		if err != nil {
			return own, err
		}
	}
	return s, nil
}
