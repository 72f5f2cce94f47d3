package settings

// JSON form of the settings object. Durations are in seconds, and their keys end in -s. The apply methods of document map each
// field to its meaning.
type (
	document struct {
		Balancers  *int           `json:"balancers"`
		Discovery  string         `json:"discovery"`
		Weights    string         `json:"weights"`
		Resolution float64        `json:"resolution-s"`
		Flavors    []string       `json:"flavors"`
		OverShare  float64        `json:"over-share-worth"`
		Fees       feesObject     `json:"fees"`
		Goal       goalObject     `json:"goal"`
		Domain     domainObject   `json:"domain"`
		LoadReport reportObject   `json:"load-report"`
		Limits     limitsObject   `json:"policy-limits"`
		Rules      *rulesObject   `json:"rules"`
		Classes    []classObject  `json:"request-classes"`
		Tenants    []tenantObject `json:"tenants"`
	}
	feesObject struct {
		Connection float64 `json:"connection"`
		Handshake  float64 `json:"handshake"`
		Waste      float64 `json:"waste"`
		CrossZone  float64 `json:"cross-zone"`
	}
	goalObject struct {
		WorstClass float64 `json:"worst-class"`
	}
	domainObject struct {
		Mode                   string  `json:"mode"`
		OriginKind             *int    `json:"origin-kind"` // index into Flavors; negative: the origin is not listed
		OriginOverloadMultiple float64 `json:"origin-fall-multiple"`
		OriginOverloadWindow   float64 `json:"origin-fall-s"`
	}
	reportObject struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	}
	limitsObject struct {
		Cancel         bool    `json:"cancel"`
		HealthChecks   bool    `json:"probes"`
		RetryAfter     bool    `json:"retry-after"`
		Hedging        bool    `json:"parallel-tries"`
		MaxAttempts    *int    `json:"send-cap"`
		MaxRetryAfter  float64 `json:"max-retry-after-s"`
		ConnectTimeout float64 `json:"connect-timeout-s"`
		IdleTimeout    float64 `json:"idle-close-s"`
	}
	rulesObject struct {
		ResponseSlack    float64 `json:"answer-slack-s"`
		PollInterval     float64 `json:"ask-every-s"`
		WarmUpDuration   float64 `json:"cold-s"`
		WarmUpShare      float64 `json:"cold-share"`
		OverloadWindow   float64 `json:"fall-s"`
		OverloadMultiple float64 `json:"tip-multiple"`
		DrainTimeout     float64 `json:"stop-sending-within-s"`
	}
	classObject struct {
		Name      string  `json:"name"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		Window    float64 `json:"window-s"`
		Objective float64 `json:"slo-s"`
		Deadline  float64 `json:"deadline-s"`
		Weight    float64 `json:"worth"`
		LateValue float64 `json:"late-value"`
		Stream    bool    `json:"stream"`
	}
	tenantObject struct {
		Name  string  `json:"name"`
		Share float64 `json:"share"`
		Quota float64 `json:"quota-per-s"`
	}
)

// Values of the enumerated settings.
const (
	discoveryPushed    = "pushed"
	discoveryOnRequest = "on_request"
	modeAside          = "aside"
	modeThrough        = "through"
	reportPull         = "pull"
	weightsSilent      = "silent"
	weightsNominal     = "nominal"
	weightsRough       = "rough"
	weightsLive        = "live"
)
