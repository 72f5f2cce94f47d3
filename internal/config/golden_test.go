package config

import (
	"fmt"
	"strings"
	"testing"

	"spurtrestle/internal/goldentest"
)

// Golden files were written by build bfb4b5c, never by a later one.

// inGoldenOrder shows all limits as the golden file has them, in the order of that build's fields.
func inGoldenOrder(l Limits) string {
	values := []any{
		l.MemoryBytes, l.Descriptors, l.MaxDescriptors, l.ReservedDescriptors, l.ServerConnections, l.ClientConnections,
		l.ActiveClients, l.AdminConnections, l.RESP, l.Origin, l.Discovery, l.ReadChunk, l.LargeValueWindow, l.ClientInput,
		l.ClientOutput, l.ExternalRequests, l.PipelinedCommands, l.RequestBytes, l.ClientBufferBytes, l.ConnectTimeout,
		l.ServerIdleTimeout, l.ReuseDelay, l.DuplicateResponseWindow, l.IdleSweepInterval, l.IdleClientEvictionAge, l.ClientIdleTimeout,
		l.PartialCommandTimeout, l.LargeValueStallTimeout, l.ClientDisconnectCheckInterval, l.LargeValueRetryInterval,
		l.LargeValueUnreadTimeout, l.TakeoverListTimeout, l.ClientNetworkMargin, l.WatchTimeout, l.WatchGrace, l.ListTimeout,
		l.DiscoveryRetryDelay, l.ClientWriteTimeout, l.ShutdownTimeout, l.DrainAcceptPeriod, l.MetricsInterval,
		l.LoopLagThreshold, l.StallThreshold, l.AdminCallTimeout,
	}
	return "{" + strings.Trim(fmt.Sprint(values), "[]") + "}"
}

// TestGolden_Limits holds all limits to those of build bfb4b5c.
func TestGolden_Limits(t *testing.T) {
	var all strings.Builder
	for _, replaced := range [][]string{
		{},
		{`"discovery":"pushed"`, `"discovery":"on_request"`},
		{`"discovery":"127`, `"admin":"127.0.0.1:1","discovery":"127`},
		{`"connect-timeout-s":0.1,"idle-close-s":60`, `"connect-timeout-s":0`},
		{`"idle-close-s":60`, `"idle-close-s":0.5`},
		{`"deadline-s":1`, `"deadline-s":7`, `"memory_mb":192,"sockets":1024`, `"memory_mb":16,"sockets":50`},
		{`"discovery":"127`, `"admin":"127.0.0.1:1","discovery":"127`, `"sockets":1024`, `"sockets":100`},
	} {
		c, err := load(t, strings.NewReplacer(replaced...).Replace(completeFile), nil)
		fmt.Fprintf(&all, "%q\n%s %v\n", replaced, inGoldenOrder(c.Limits), err)
	}
	goldentest.CompareFile(t, "testdata/limits.golden", []byte(all.String()))
}

// TestGolden_Errors holds the texts of errors to those of build bfb4b5c.
//
// One text differs from that build's, which printed all of a Go type where settings is no object; see
// TestLoad_SettingsOfAnotherType.
func TestGolden_Errors(t *testing.T) {
	var all strings.Builder
	add := func(text string, variables map[string]string, label any) {
		c, err := load(t, text, variables)
		show := func(err error) string { return strings.ReplaceAll(fmt.Sprint(err), c.File, "FILE") }
		fmt.Fprintf(&all, "%q\n  error %s\n  mixed %s\n", label, show(err), show(c.ShapeConflict))
	}
	for _, replaced := range [][]string{
		{`"listen":"127.0.0.4:6379"`, `"listen":7`},
		{`"limits":{`, `"limits":[`},
		{`"seed":"8c1f30d27a5be964"`, `"seed":""`},
		{`"sockets":1024`, `"sockets":49`},
		{`"memory_mb":192`, `"memory_mb":15`},
		{`"rules":{},`, ``},
		{`"send-cap":3`, `"send-cap":0`},
		{`"send-cap":3,`, ``},
		{`"discovery":"pushed"`, `"discovery":"odd"`},
		{`"mode":"aside"`, `"mode":"x"`},
		{`"origin-kind":1`, `"origin-kind":2`},
		{`,"origin-kind":1`, ``},
		{`"deadline-s":1`, `"deadline-s":0`},
		{`"name":"get"`, `"name":""`},
		{`"effect":"free"`, `"effect":"free","group":"odd"`},
		{`"request-classes":`, `"classes":`},
		{`"balancers":2`, `"balancers":"x"`},
		{`"balancers":2`, `"balancers":2,"me":2`},
		{`"balancers":2`, `"balancers":2,"me":-1`},
		{`"balancers":2`, `"balancers":2,"me":"a"`},
		{`"balancers":2`, `"balancers":2,"zone":"c","zones":["a","b"]`},
		{`"balancers":2`, `"balancers":2,"fees":{"waste":-1}`},
		{`"balancers":2`, `"balancers":2,"fees":{"cross-zone":-1}`},
		{`"send-cap":3`, `"send-cap":3,"parallel-tries":true`},
		{`"balancers":2`, `"balancers":2,"weights":"rough"`},
		{`"balancers":2`, `"balancers":2,"weights":"rough"`, `"send-cap":3`, `"send-cap":3,"parallel-tries":true`},
		{`"balancers":2`, `"balancers":2,"weights":"rough"`, `"send-cap":3`, `"send-cap":3,"parallel-tries":true,"cancel":true`},
		{`"balancers":2`, `"balancers":2,"weights":"rough"`, `"send-cap":3`, `"send-cap":2,"parallel-tries":true,"cancel":true`},
		{`"balancers":2`, `"balancers":2,"weights":"rough"`, `"send-cap":3`, `"send-cap":4,"parallel-tries":true,"cancel":true`, `"mode":"aside"`, `"mode":"through"`},
		{`"settings":`, `"settings":`},
	} {
		add(strings.NewReplacer(replaced...).Replace(completeFile), nil, replaced)
	}
	for _, variables := range []map[string]string{
		{"EDGE_LISTEN": "x"}, {"EDGE_ADMIN": "x"}, {"EDGE_DISCOVERY": "x"}, {"EDGE_ADMIN": "127.0.0.4:6379"},
		{"EDGE_ADMIN": "127.0.0.1:1", "EDGE_LISTEN": "127.0.0.1:1"},
	} {
		add(completeFile, variables, variables)
	}
	_, err := Load(func(string) string { return "/nowhere/config.json" })
	fmt.Fprintln(&all, err)
	goldentest.CompareFile(t, "testdata/errors.golden", []byte(all.String()))
}
