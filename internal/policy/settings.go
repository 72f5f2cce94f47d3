package policy

import (
	"fmt"
	"slices"

	"spurtrestle/core/clock"
	"spurtrestle/core/routing"
)

const (
	maxAttemptsLimit = 100
	// minAttemptsWithHedging lets a hedged request retry after its two concurrent attempts have failed.
	minAttemptsWithHedging = 3
	maxServerUIDBytes      = 256
	shareSumTolerance      = 1e-9
	aboveZeroRemedy        = "write a number above 0"
)

// Settings returns own with the document applied. With an error it returns own unchanged.
func (d Document) Settings(own routing.Settings) (routing.Settings, error) {
	settings := own
	settings.Methods = slices.Clone(own.Methods)
	settings.Tenants = slices.Clone(own.Tenants)
	c := &checker{document: d}
	c.fraction("over_share_worth", d.OverShareWeight, &settings.OverShareWeight)
	c.duration("max_hint", d.MaxRetryAfter, &settings.MaxRetryAfter, 0, clock.Hour)
	c.fraction("cold.share", d.WarmUp.Share, &settings.WarmUpShare)
	c.duration("cold.span", d.WarmUp.Duration, &settings.WarmUpDuration, clock.Microsecond, clock.Hour)
	c.positive("cold.fall_multiple", d.WarmUp.OverloadMultiple, &settings.OverloadMultiple, aboveZeroRemedy)
	c.duration("cold.fall_span", d.WarmUp.OverloadWindow, &settings.OverloadWindow, clock.Microsecond, clock.Hour)
	if d.MaxRetryAfter != nil && own.MaxRetryAfter == 0 && settings.MaxRetryAfter > 0 {
		c.reject("max_hint", "is set, and the settings have nacks that say nothing of when to come back", "leave it out")
	}
	c.applyMaxAttempts(own, &settings)
	c.checkBannedServers()
	c.applyMethods(settings.Methods)
	c.applyTenants(settings.Tenants)
	if c.err != nil {
		return own, c.err
	}
	return settings, nil
}

func (c *checker) applyMaxAttempts(own routing.Settings, settings *routing.Settings) {
	if c.document.MaxAttempts == nil {
		return
	}
	attempts := *c.document.MaxAttempts
	tooFewToHedge := own.HedgingAllowed && attempts < minAttemptsWithHedging
	if attempts < 1 || attempts > maxAttemptsLimit || tooFewToHedge {
		c.reject("max_write_outs", fmt.Sprintf("is %d", attempts), "write 1 to 100, and 3 at least where two may be out at once")
	}
	settings.MaxAttempts = attempts // also if it was rejected: Settings then returns the router's own settings
}

func (c *checker) checkBannedServers() {
	servers := c.document.BannedServers
	for i, uid := range servers {
		if uid == "" || len(uid) > maxServerUIDBytes || slices.Contains(servers[:i], uid) {
			c.reject("out", fmt.Sprintf("its entry %d, %q, is empty, too long or there twice", i+1, uid), "write each server's uid once")
		}
	}
}

func (c *checker) applyMethods(settings []routing.MethodSettings) {
	named := map[string]bool{}
	for i, method := range c.document.Methods {
		prefix := fmt.Sprintf("method[%d].", i)
		at := slices.IndexFunc(settings, func(s routing.MethodSettings) bool { return s.Name == method.Name })
		if at < 0 || named[method.Name] {
			c.reject(prefix+"name", fmt.Sprintf("%q is no method of the settings, or is there twice", method.Name), "name each method once")
			continue
		}
		named[method.Name] = true
		c.checkFixedMethodFields(prefix, method)
		own := &settings[at]
		c.duration(prefix+"latency_budget", method.LatencyBudget, &own.LatencyBudget, clock.Millisecond, own.Deadline)
		c.positive(prefix+"criticality", method.Criticality, &own.Criticality, aboveZeroRemedy)
		c.fraction(prefix+"late_share", method.LateValue, &own.LateValue)
	}
}

// checkFixedMethodFields rejects a method that sets a field which cannot change while routers serve.
func (c *checker) checkFixedMethodFields(prefix string, method Method) {
	for _, field := range []struct {
		name  string
		value any
	}{
		{name: "effect", value: method.Effect},
		{name: "group", value: method.Group},
		{name: "window", value: method.Window},
		{name: "deadline", value: method.Deadline},
	} {
		if field.value != nil {
			c.reject(prefix+field.name, "cannot change while routers serve: requests in hand were taken under it, at other routers as well",
				"leave it out, and restart the routers with other settings")
		}
	}
}

func (c *checker) applyTenants(settings []routing.TenantSettings) {
	named := map[string]bool{}
	for i, tenant := range c.document.Tenants {
		prefix := fmt.Sprintf("tenant[%d].", i)
		at := slices.IndexFunc(settings, func(s routing.TenantSettings) bool { return string(s.Name) == tenant.Name })
		if at < 0 || named[tenant.Name] {
			c.reject(prefix+"name", fmt.Sprintf("%q is no tenant of the settings, or is there twice", tenant.Name), "name each tenant once")
			continue
		}
		named[tenant.Name] = true
		c.fraction(prefix+"share", tenant.Share, &settings[at].Share)
	}
	sum := 0.0
	for _, tenant := range settings {
		sum += tenant.Share
	}
	if len(c.document.Tenants) > 0 && sum > 1+shareSumTolerance {
		c.reject("tenant[0].share", fmt.Sprintf("all shares come to %v", sum), "let them come to 1 at most")
	}
}
