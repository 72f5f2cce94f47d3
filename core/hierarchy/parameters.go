package hierarchy

import "spurtrestle/core/clock"

// Parameters are the sizes and timings of a hierarchy.
type Parameters struct {
	RepresentativesPerSite int
	StandbysPerSite        int // routers that replace unresponsive representatives
	RepresentingSites      int // sites of a region whose representatives also represent the region

	SilenceTimeout          clock.Duration // a candidate without a datagram for this long is unresponsive
	SiteRoleDelay           clock.Duration // after the start, before the router may represent its site
	RegionRoleDelay         clock.Duration // after the start, before the router may represent its region
	SitePublishInterval     clock.Duration // minimum between two versions of the site's summary by one router
	RegionPublishInterval   clock.Duration // minimum between two versions of the region's summary by one router
	TakeoverDelay           clock.Duration // per rank, before a router publishes in place of a higher-ranked one
	SiteHeartbeatInterval   clock.Duration
	RegionHeartbeatInterval clock.Duration

	PingInterval              clock.Duration // between two pings of a representative to the candidates of its site
	PushInterval              clock.Duration // minimum between two pushes of updates
	ExchangeInterval          clock.Duration // between two exchanges of digests on a link
	IsolatedReconnectInterval clock.Duration // while no router of another site or region is known, and during StartupPeriod
	StartupPeriod             clock.Duration // after the start, with more frequent reconnects and exchanges
	StaleReconnectInterval    clock.Duration // while a summary is stale
	IdleReconnectInterval     clock.Duration // while no summary is stale
	PushFanout                int            // receivers of a push on each link
	ExchangeFanout            int            // receivers of a digest on each link

	StaleAfter  clock.Duration // a summary without a heartbeat for this long is Stale
	LostAfter   clock.Duration // a summary without a heartbeat for this long is Lost
	ExpireAfter clock.Duration // a summary without a heartbeat for this long is removed
	SettleAfter clock.Duration // a router without a change or a digest mismatch for this long is settled
}

const (
	representativesPerSite = 2
	standbysPerSite        = 3
	representingSites      = 2

	silenceTimeout          = 2500 * clock.Millisecond
	siteRoleDelay           = 1 * clock.Second
	regionRoleDelay         = 2500 * clock.Millisecond
	sitePublishInterval     = 1 * clock.Second
	regionPublishInterval   = 2 * clock.Second
	takeoverDelay           = 1 * clock.Second
	siteHeartbeatInterval   = 10 * clock.Second
	regionHeartbeatInterval = 20 * clock.Second

	pingInterval              = 1 * clock.Second
	pushInterval              = 200 * clock.Millisecond
	exchangeInterval          = 2 * clock.Second
	isolatedReconnectInterval = 1 * clock.Second
	startupPeriod             = 12 * clock.Second
	staleReconnectInterval    = 5 * clock.Second
	idleReconnectInterval     = 60 * clock.Second
	pushFanout                = 3
	exchangeFanout            = 2

	staleAfter  = 60 * clock.Second
	lostAfter   = 180 * clock.Second
	expireAfter = 24 * clock.Hour
	settleAfter = 2 * clock.Second
)

// DefaultParameters returns the parameters that docs/tiers-design.md describes.
func DefaultParameters() Parameters {
	return Parameters{
		RepresentativesPerSite: representativesPerSite,
		StandbysPerSite:        standbysPerSite,
		RepresentingSites:      representingSites,

		SilenceTimeout:          silenceTimeout,
		SiteRoleDelay:           siteRoleDelay,
		RegionRoleDelay:         regionRoleDelay,
		SitePublishInterval:     sitePublishInterval,
		RegionPublishInterval:   regionPublishInterval,
		TakeoverDelay:           takeoverDelay,
		SiteHeartbeatInterval:   siteHeartbeatInterval,
		RegionHeartbeatInterval: regionHeartbeatInterval,

		PingInterval:              pingInterval,
		PushInterval:              pushInterval,
		ExchangeInterval:          exchangeInterval,
		IsolatedReconnectInterval: isolatedReconnectInterval,
		StartupPeriod:             startupPeriod,
		StaleReconnectInterval:    staleReconnectInterval,
		IdleReconnectInterval:     idleReconnectInterval,
		PushFanout:                pushFanout,
		ExchangeFanout:            exchangeFanout,

		StaleAfter:  staleAfter,
		LostAfter:   lostAfter,
		ExpireAfter: expireAfter,
		SettleAfter: settleAfter,
	}
}
