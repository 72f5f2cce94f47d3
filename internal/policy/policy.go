// Package policy parses and validates the document of the fleet's policy: the settings that may change while routers serve, as
// one TOML file that is the same for all routers. Unknown fields are errors. The package does no I/O and has no state. Package
// controlplane applies documents to a router; cache-routerctl checks them.
//
// Every error is a configerror.Error, which names the line, the field and a remedy.
package policy

import (
	"fmt"

	"spurtrestle/internal/configerror"
	"spurtrestle/internal/tomlfile"
)

// Schema is the version of the document that this build reads.
const Schema = 1

// MaxDocumentBytes limits the size of a document. Each router receives it in one message, and the raft log retains the last
// hundred documents.
const MaxDocumentBytes = 64 << 10

// Document is the fleet's policy. Where a field is left out, each router uses its own setting. docs/policy.md describes the
// fields.
type Document struct {
	Schema          int      `toml:"schema"`
	OverShareWeight *float64 `toml:"over_share_worth"`
	MaxAttempts     *int     `toml:"max_write_outs"`
	MaxRetryAfter   *string  `toml:"max_hint"`
	BannedServers   []string `toml:"out"` // UIDs of cache servers that no router uses
	WarmUp          WarmUp   `toml:"cold"`
	Methods         []Method `toml:"method"`
	Tenants         []Tenant `toml:"tenant"`
	Sites           Sites    `toml:"sites"`

	lines tomlfile.Lines
}

// WarmUp configures how cache servers that start cold are ramped up.
type WarmUp struct {
	Share            *float64 `toml:"share"`
	Duration         *string  `toml:"span"`
	OverloadMultiple *float64 `toml:"fall_multiple"`
	OverloadWindow   *string  `toml:"fall_span"`
}

// Method has the settings of a method that may change. Effect, Group, Window and Deadline may not: they are parsed only to
// reject a document that sets them.
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

// Tenant has the settings of a tenant that may change.
type Tenant struct {
	Name  string   `toml:"name"`
	Share *float64 `toml:"share"`
}

// Parse parses a document. Settings and Plan validate it against the settings of a router.
func Parse(text string) (Document, error) {
	var document Document
	if len(text) > MaxDocumentBytes {
		return document, &configerror.Error{
			Problem: fmt.Sprintf("it has %d bytes, and %d are the most", len(text), MaxDocumentBytes),
			Remedy:  "leave out what is as the routers' own settings have it",
		}
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

// fieldError returns an error about a field, with the line that sets it.
func (d Document) fieldError(field, problem, remedy string) error {
	return &configerror.Error{Line: d.lines.Line(field), Field: field, Problem: problem, Remedy: remedy}
}
