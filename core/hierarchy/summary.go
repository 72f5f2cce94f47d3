package hierarchy

import (
	"hash/fnv"
	"net/netip"
)

// Tier is the kind of group that a summary describes.
type Tier uint8

// The tiers. The numbers are part of datagrams.
const (
	SiteTier   Tier = iota // sites of the local region
	RegionTier             // all regions
	tierCount
)

// Counts are numbers of routers.
type Counts struct {
	Alive     uint32 `json:"alive"`
	Accepting uint32 `json:"takes_clients"` // alive and accepting clients
	Total     uint32 `json:"of"`            // including failed ones that are still known
}

// Summary describes a site or a region to routers outside it. Of two summaries with the same name, the one with the higher
// version is current.
type Summary struct {
	Name            string
	Version         Version
	Counts          Counts
	SiteCount       uint32 // of a region
	LostSites       uint32 // of a region
	Digest          uint64 // of a site: of its membership; of a region: over its sites' digests
	Representatives []netip.AddrPort
}

// Version orders the summaries of one name. From the high bits down it has 32 bits of the wall clock at which the sequence
// of versions began, a 16-bit counter, and 16 bits that identify the writer. A counter overflow carries into the clock bits
// and preserves the order.
type Version uint64

const (
	wallClockShift = 32
	writerBits     = 16
)

// next returns a writer's version that follows v, and is not below the first version of a sequence that begins at wallClock.
func (v Version) next(wallClock uint32, writer uint16) Version {
	base := max(v, Version(wallClock)<<wallClockShift)
	return (base>>writerBits+1)<<writerBits | Version(writer)
}

// Heartbeat shows that a site or region is alive, and carries the state that changes too often for a new summary version.
// The heartbeat with the highest sequence number is current.
type Heartbeat struct {
	Sequence    uint32 // increases with the wall clock
	MinRevision uint64 // lowest policy revision at a live router
	MaxRevision uint64 // highest policy revision at a live router
}

// nameHash identifies a site or region in frequently sent datagrams, in place of its name.
type nameHash uint32

func hashName(name string) nameHash {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // a hash's Write never fails
	return nameHash(hash.Sum32())
}
