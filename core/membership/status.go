package membership

import (
	"cmp"
	"slices"
	"strconv"

	"spurtrestle/core/clock"
)

// RouterStatus is the state of one router in a Snapshot. Durations are in microseconds, as of the time of the snapshot.
type RouterStatus struct {
	Name           Name           `json:"name"`
	Site           Site           `json:"site"`
	State          State          `json:"state"`
	Incarnation    string         `json:"incarnation"` // of the process that owns the name, in hex
	StartedAt      int64          `json:"started"`     // by the router's wall clock, in microseconds since 1970
	Build          string         `json:"build"`
	Slot           Slot           `json:"seat"`
	Addr           string         `json:"address"`
	InStateFor     clock.Duration `json:"for"`
	Accepting      bool           `json:"takes_clients"`
	Draining       bool           `json:"draining"`
	NameConflict   bool           `json:"name_conflict"` // two alive processes have the name; the older one is shown
	PolicyRevision uint64         `json:"policy_revision"`
	ContactAge     clock.Duration `json:"age"` // since the last direct contact
	Digest         string         `json:"digest"`
}

// SiteCount counts the routers of a site.
type SiteCount struct {
	Site      Site `json:"site"`
	Alive     int  `json:"alive"`
	Accepting int  `json:"takes_clients"`
	Known     int  `json:"of"`
}

// Snapshot is a view as the admin endpoint shows it.
type Snapshot struct {
	Fleet       string         `json:"fleet"`
	ReportedBy  Name           `json:"by"`
	Digest      string         `json:"digest"`
	Settled     bool           `json:"settled"`
	SettledFor  clock.Duration `json:"for"` // since Settled last changed
	Disagreeing []Name         `json:"disagree"`
	YieldReason string         `json:"out_of_service"` // why this router stays out of service; empty if it is in service
	Sites       []SiteCount    `json:"sites"`
	Routers     []RouterStatus `json:"routers"`
}

// Snapshot returns the view as of now, with routers and sites in the order of their names.
func (v *View) Snapshot(now clock.Time) Snapshot {
	snapshot := Snapshot{
		Fleet:       v.self.Fleet,
		ReportedBy:  v.self.Name,
		Digest:      formatHex(v.digest),
		Settled:     v.settled,
		SettledFor:  now - v.settledSince,
		Disagreeing: v.Disagreeing(),
		YieldReason: v.YieldReason(),
	}
	if snapshot.Disagreeing == nil {
		snapshot.Disagreeing = []Name{} // an empty array in JSON
	}
	for _, processes := range v.processesByName() {
		snapshot.Routers = append(snapshot.Routers, v.statusOf(now, ownerOf(processes)))
	}
	slices.SortFunc(snapshot.Routers, func(a, b RouterStatus) int { return cmp.Compare(a.Name, b.Name) })
	snapshot.Sites = countSites(snapshot.Routers)
	return snapshot
}

func (v *View) statusOf(now clock.Time, owner nameOwner) RouterStatus {
	state := owner.routerState
	if state == Alive && now-owner.lastContact > v.config.SuspectAfter {
		state = Suspect
	}
	return RouterStatus{
		Name:           owner.Name,
		Site:           owner.Site,
		State:          state,
		Incarnation:    formatHex(uint64(owner.Incarnation)),
		StartedAt:      owner.StartedAt,
		Build:          owner.Build,
		Slot:           owner.Slot,
		Addr:           owner.Addr,
		InStateFor:     now - owner.stateSince,
		Accepting:      state.isPresent() && owner.heartbeat.Accepting,
		Draining:       state.isPresent() && owner.heartbeat.Draining,
		NameConflict:   owner.duplicated,
		PolicyRevision: owner.heartbeat.PolicyRevision,
		ContactAge:     now - owner.lastContact,
		Digest:         formatHex(owner.heartbeat.ViewDigest),
	}
}

// countSites counts the routers of each site, in the order of the sites' names.
func countSites(routers []RouterStatus) []SiteCount {
	bySite := map[Site]*SiteCount{}
	for _, router := range routers {
		count := bySite[router.Site]
		if count == nil {
			count = &SiteCount{Site: router.Site}
			bySite[router.Site] = count
		}
		count.Known++
		if router.State.isPresent() {
			count.Alive++
		}
		if router.Accepting {
			count.Accepting++
		}
	}
	var sites []SiteCount
	for _, count := range bySite {
		sites = append(sites, *count)
	}
	slices.SortFunc(sites, func(a, b SiteCount) int { return cmp.Compare(a.Site, b.Site) })
	return sites
}

func formatHex(n uint64) string { return strconv.FormatUint(n, 16) }
