// Package policy reads the document of the fleet's policy: the settings that may change while routers serve, as one strict TOML
// file that is the same for all routers. It does no I/O. Package controlplane applies documents; cache-routerctl checks them.
//
// Every error names line, field and remedy (configerror.Error).
package policy

import (
	"fmt"

	"spurtrestle/internal/configerror"
	"spurtrestle/internal/tomlfile"
)

// Schema is the version of the document that this build reads.
const Schema = 1

// Longest is the largest size of a document, in bytes. Each router gets it in one message, and the raft log has the last hundred.
const Longest = 64 << 10

// Document is the policy. A field that is left out has each router's own setting. docs/policy.md describes the fields.
type Document struct {
	Schema          int      `toml:"schema"`
	OverShareWeight *float64 `toml:"over_share_worth"`
	MaxAttempts     *int     `toml:"max_write_outs"`
	MaxRetryAfter   *string  `toml:"max_hint"`
	BannedServers   []string `toml:"out"` // uids of cache servers that no router uses
	WarmUp          WarmUp   `toml:"cold"`
	Methods         []Method `toml:"method"`
	Tenants         []Tenant `toml:"tenant"`
	Sites           Sites    `toml:"sites"`

	lines tomlfile.Lines
}

// WarmUp is the slow start of cache servers.
type WarmUp struct {
	Share            *float64 `toml:"share"`
	Duration         *string  `toml:"span"`
	OverloadMultiple *float64 `toml:"fall_multiple"`
	OverloadWindow   *string  `toml:"fall_span"`
}

// Method is the part of a method's settings that may change. Effect, Group, Window and Deadline may not: they are read to reject them.
type Method struct {
	Name          string   `toml:"name"`
	LatencyBudget *string  `toml:"latency_budget"`
	Criticality   *float64 `toml:"criticality"`
	LateValue     *float64 `toml:"late_share"`

	Effect   any `toml:"effect"`
	Group    any `toml:"group"`
	Window   any `toml:"window"`
	Deadline any `toml:"deadline"`
}

// Tenant is the part of a tenant's settings that may change.
type Tenant struct {
	Name  string   `toml:"name"`
	Share *float64 `toml:"share"`
}

// Parse reads a document. Settings and Plan check it against the settings of a router.
func Parse(text string) (Document, error) {
	var document Document
	if len(text) > Longest {
		return document, fmt.Errorf("it has %d bytes, and %d are the most; leave out what is as the routers' own settings have it", len(text), Longest)
	}
	if err := tomlfile.Decode([]byte(text), &document, "docs/policy.md"); err != nil {
		return document, err
	}
	document.lines = tomlfile.FieldLines([]byte(text))
	if document.Schema != Schema {
		return document, document.fieldError("schema", fmt.Sprintf("is %d, and this build knows %d", document.Schema, Schema), "write schema = 1")
	}
	return document, nil
}

func (d Document) fieldError(field, problem, remedy string) error {
	return &configerror.Error{Line: d.lines.Line(field), Field: field, Problem: problem, Remedy: remedy}
}
