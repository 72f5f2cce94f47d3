package controlplane

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/routing"
	"spurtrestle/internal/fleet"
	"spurtrestle/internal/operator"
	"spurtrestle/internal/router"
)

// Join starts the node of a router with the [policy] section of the operator's file. An error reports an invalid configuration.
func Join(section operator.Policy, fleetConfig fleet.Config, own routing.Settings, controlled *router.Router, member fleet.Node, log *logrus.Logger) (fleet.Policy, error) {
	transport, ok := member.(fleet.Transport)
	if !ok {
		return nil, fleetConfig.ConfigError("policy.cut_off", "is set, but this program does not connect routers to each other", "leave it empty")
	}
	config := Config{
		Name:        fleetConfig.Name,
		FailOpen:    section.WhenIsolated == operator.WhenIsolatedServe,
		Voters:      section.Voters,
		OwnSettings: own,
		Site:        fleetConfig.Site,
		Sites:       fleetConfig.Sites,
		ConfigError: fleetConfig.ConfigError,
	}
	config.Raft.Dir = section.Dir
	config.Raft.Listen, config.Raft.Advertise = section.Addresses()
	if config.isVoter() && section.Dir == "" {
		return nil, fleetConfig.ConfigError("policy.dir", fmt.Sprintf("is empty, and this router, %q, is a keeper", fleetConfig.Name), "set policy.dir to a directory, and policy.listen to an address")
	}
	return start(config, transport.Self(), fleetConfig.Build, controlled, transport, log)
}
