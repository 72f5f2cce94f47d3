package routing

import (
	"math"
	"slices"

	"spurtrestle/core/clock"
)

const (
	// hotKeyThreshold is the load of a key, as a multiple of a mean cache's reads, above which its reads are spread. A
	// key just under a load of one would be most of what its cache can serve.
	hotKeyThreshold = 0.35
	// hotKeyCapacity is how many keys are counted: several times those that can be over the threshold.
	hotKeyCapacity = 1024
	// minimumReads is the least count that makes a key hot; a single read is chance.
	minimumReads = 2
	// priorReads is how many reads of other keys count as seen at the start, so that no key is hot after a few reads.
	priorReads = 40
	// readsPerCache is how many reads for each cache are counted before the counts are halved. A router that sees few
	// requests needs the window in reads, not in seconds.
	readsPerCache = 10
	// replicaLoad is the load that one replica of a very hot key brings to a cache, in a fleet of one cache; it falls
	// with the square root of the number of caches, since in a large fleet more hot keys meet by chance.
	replicaLoad = 0.6
	// sharesInterval is how often the shares of the replicas are computed (the interval of the design).
	sharesInterval = 2 * clock.Second
	// sampleAge is the age after which a reported service time is dropped.
	sampleAge = 10 * clock.Second
)

// hotKeyState finds the hot keys and paces the computation of shares.
type hotKeyState struct {
	counts       keyCounts // of reads
	nextSharesAt clock.Time
}

// intervalLoad is what the shares are computed from: the service time, and the requests of the last interval.
type intervalLoad struct {
	serviceTime clock.Duration
	writes      float64
	reads       float64
}

// keyLoad is the load of a request's key, as a multiple of a mean cache's reads, and the fraction of it that is certain
// at one standard deviation.
func (r *Router) keyLoad(request *request) (load, confidence float64) {
	count := r.hotKeys.counts.byKey[hashKey(request.key)]
	if count < minimumReads || request.write || request.key == "" {
		return 0, 0
	}
	load = count / (r.hotKeys.counts.total + priorReads) * float64(len(r.endpoints.caches))
	return load, 1 - 1/math.Sqrt(count)
}

// drawReplica draws the cache that gets a read of a hot key. A key hotter than its group can serve is spread over several
// groups, its own first; over fewer while the origin is busy, since each replica costs it a miss.
func (r *Router) drawReplica(request *request, load, confidence float64) {
	loadPerReplica := replicaLoad / math.Sqrt(float64(len(r.endpoints.caches)))
	origin := r.origin.server
	if origin != nil {
		busy := max(1, 2*float64(origin.latency.recent)/float64(r.config.originLatencyGoal))
		loadPerReplica *= busy * busy
	}
	groups := math.Ceil(load * confidence / groupSize / loadPerReplica)
	groupIndex := int(r.random.float() * groups)
	if groupIndex > 0 {
		request.hash = mixBits(request.hash + uint64(groupIndex))
	}
	request.replica = r.random.index(r.sharesOf(r.groupOf(request.hash)))
}

// recomputeShares fixes, once an interval, what the shares are computed from until the next one.
func (r *Router) recomputeShares() {
	if r.now < r.hotKeys.nextSharesAt {
		return
	}
	r.hotKeys.nextSharesAt = r.now + sharesInterval
	if r.hotKeys.counts.total >= readsPerCache*float64(len(r.endpoints.caches)) {
		r.hotKeys.counts.halve()
	}
	sum := clock.Duration(0)
	measured := clock.Duration(0)
	for _, cache := range r.endpoints.caches {
		cache.reportedTimes = slices.DeleteFunc(cache.reportedTimes, func(s sample) bool { return r.now-s.at > sampleAge })
		cache.lastInterval = intervalLoad{meanOf(cache.reportedTimes), cache.writes, cache.reads}
		cache.writes = 0
		cache.reads = 0
		if cache.lastInterval.serviceTime > 0 {
			sum += cache.lastInterval.serviceTime
			measured++
		}
	}
	if measured == 0 {
		return
	}
	for _, cache := range r.endpoints.caches {
		if cache.lastInterval.serviceTime == 0 { // not measured yet: the mean of the others
			cache.lastInterval.serviceTime = sum / measured
		}
	}
}

// sharesOf is the design's distribution of reads over one group.
func (r *Router) sharesOf(group []*server) []float64 {
	writes := make([]float64, len(group))
	times := make([]float64, len(group))
	reads := 0.0
	for i, cache := range group {
		if !r.config.cacheAside { // in cache-aside mode writes go to the origin
			writes[i] = cache.lastInterval.writes
		}
		reads += cache.lastInterval.reads
		times[i] = float64(cache.lastInterval.serviceTime)
	}
	return shiftBySpeed(shareByWrites(writes, reads), times)
}

// shareByWrites is Algorithm 1 of the design: reads are shared so that reads and writes together are level. With nothing
// counted the shares are equal.
func shareByWrites(writes []float64, reads float64) []float64 {
	n := float64(len(writes))
	allWrites := sumOf(writes)
	shares := make([]float64, len(writes))
	for i, w := range writes {
		shares[i] = 1 / n
		if allWrites > 0 && reads > 0 {
			writeFraction := allWrites / (allWrites + reads)
			shares[i] = (1/n - w/allWrites*writeFraction) / (1 - writeFraction)
		}
	}
	return normalizeShares(shares)
}

// shiftBySpeed is Algorithm 2 of the design: it moves shares from slow caches to fast ones. It changes shares in place.
func shiftBySpeed(shares, times []float64) []float64 {
	n := float64(len(times))
	allTimes := sumOf(times)
	for i, t := range times {
		if allTimes > 0 {
			shares[i] -= t/allTimes - 1/n
		}
	}
	return normalizeShares(shares)
}

// normalizeShares sets negative shares to zero, subtracts their deficit from the others in equal parts, and scales the
// sum to one. It changes shares in place.
func normalizeShares(shares []float64) []float64 {
	deficit := 0.0
	for i, share := range shares {
		if share < 0 {
			deficit -= share / float64(len(shares)-1)
			shares[i] = 0
		}
	}
	for i, share := range shares {
		if share > 0 {
			shares[i] = max(0, share-deficit)
		}
	}
	sum := sumOf(shares)
	for i := range shares {
		if sum > 0 {
			shares[i] /= sum
		} else {
			shares[i] = 1 / float64(len(shares))
		}
	}
	return shares
}

func sumOf(values []float64) (sum float64) {
	for _, value := range values {
		sum += value
	}
	return sum
}

// keyCounts counts the most frequent keys in bounded space (after Misra and Gries).
type keyCounts struct {
	byKey    map[KeyHash]float64
	keys     []KeyHash // in the order of their arrival: decisions must not depend on the map's order
	total    float64   // of all keys, counted or not
	capacity int
}

// add counts one read of a key.
func (k *keyCounts) add(key KeyHash) {
	k.total++
	_, counted := k.byKey[key]
	if !counted && len(k.keys) >= k.capacity {
		k.decrementAll()
		return
	}
	if !counted {
		k.keys = append(k.keys, key)
	}
	k.byKey[key]++
}

// decrementAll subtracts one from every count and drops the keys whose count reaches zero.
func (k *keyCounts) decrementAll() {
	k.keys = slices.DeleteFunc(k.keys, func(key KeyHash) bool {
		k.byKey[key]--
		if k.byKey[key] > 0 {
			return false
		}
		delete(k.byKey, key)
		return true
	})
}

// halve ages all counts.
func (k *keyCounts) halve() {
	k.total /= 2
	for _, key := range k.keys {
		k.byKey[key] /= 2
	}
}
