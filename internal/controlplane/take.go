package controlplane

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"spurtrestle/core/routing"
	"spurtrestle/internal/fleet"
	"spurtrestle/internal/operator"
	"spurtrestle/internal/router"
)

// Take has a router hold its fleet's policy, as the operator's file says.
func Take(p operator.Policy, at fleet.Config, own routing.Settings, r *router.Router, member fleet.Node, log *logrus.Logger) (fleet.Policy, error) {
	talk, ok := member.(fleet.Transport)
	if !ok {
		return nil, at.ConfigError("policy.cut_off", "is set, and routers of this program do not speak to one another", "leave it empty")
	}
	c := Config{Name: at.Name, Serves: p.CutOff == "serve", Keepers: p.Keepers, Own: own, Site: at.Site, Sites: at.Sites, Refused: at.ConfigError}
	c.Log.Listen, c.Log.Advertise = p.Addresses()
	c.Log.Dir = p.Dir
	if c.keeps() && p.Dir == "" {
		return nil, at.ConfigError("policy.dir", fmt.Sprintf("is empty, and this router, %q, is a keeper", at.Name), "give it a folder, and listen an address")
	}
	return Open(c, talk.Self(), at.Build, r, talk, log)
}
