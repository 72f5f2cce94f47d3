package routing

import (
	"math"
	"slices"

	"spurtrestle/core/clock"
)

const (
	// hotKeyThreshold is the load of a key, as a multiple of the reads of an average cache, above which its reads are spread. A
	// key with a load just under one would take most of the capacity of its cache.
	hotKeyThreshold = 0.35
	// hotKeyCapacity is the number of keys that are counted: several times the number that can be over the threshold.
	hotKeyCapacity = 1024
	// minimumReads is the least count of a hot key: a single read may be chance.
	minimumReads = 2
	// priorReads is added to the count of all reads, so that no key is hot after the first few reads.
	priorReads = 40
	// readsPerCache is the number of reads per cache after which the counts are halved. The window is one of reads, not of
	// seconds, for routers that get few requests.
	readsPerCache = 10
	// replicaLoad is the load that one replica of a very hot key may add to a cache, for a single cache. It falls with the
	// square root of the number of caches: in a large fleet more hot keys share a cache by chance.
	replicaLoad = 0.6
	// sharesInterval is the interval at which the input of the shares is updated (the interval of the design).
	sharesInterval = 2 * clock.Second
	// sampleAge is the age after which a reported service time is dropped.
	sampleAge = 10 * clock.Second
)

// hotKeyState holds the counts that detect hot keys, and the time of the next update of the shares' input.
type hotKeyState struct {
	counts       keyCounts // of reads
	nextSharesAt clock.Time
}

// intervalLoad is the input from which shares are computed: the service time of a cache, and its requests in the last interval.
type intervalLoad struct {
	serviceTime clock.Duration
	writes      float64
	reads       float64
}

// keyLoad returns the load of a request's key, as a multiple of the reads of an average cache, and the fraction of it that is
// certain at one standard deviation. Both are 0 for writes and for keys with too few reads.
func (r *Router) keyLoad(request *request) (load, confidence float64) {
	count := r.hotKeys.counts.byKey[hashKey(request.key)]
	if count < minimumReads || request.write || request.key == "" {
		return 0, 0
	}
	load = count / (r.hotKeys.counts.total + priorReads) * float64(len(r.endpoints.caches))
	return load, 1 - 1/math.Sqrt(count)
}

// drawReplica draws the cache that gets a read of a hot key. A key with more reads than its group can serve is spread over
// several groups, of which its own is the first. While the origin is busy these are fewer, since each replica costs it a miss.
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

// updateShareInputs updates, once per interval, the values that shares are computed from until the next update.
func (r *Router) updateShareInputs() {
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
		if cache.lastInterval.serviceTime == 0 { // not measured: use the mean of the others
			cache.lastInterval.serviceTime = sum / measured
		}
	}
}

// sharesOf returns the shares by which the reads of a hot key are distributed over one group.
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

// shareByWrites returns shares of reads that level the sum of reads and writes of the caches (Algorithm 1 of the design).
// Without reads or writes the shares are equal.
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

// shiftBySpeed moves shares from slow caches to fast ones (Algorithm 2 of the design). It changes shares in place.
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

// normalizeShares sets negative shares to zero, subtracts their deficit from the others in equal parts, and scales the shares to
// a sum of one. It changes shares in place.
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
	keys     []KeyHash // in the order in which they were added: decisions must not depend on the order of the map
	total    float64   // reads of all keys, whether counted or not
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

// halve halves all counts, so that older reads weigh less.
func (k *keyCounts) halve() {
	k.total /= 2
	for _, key := range k.keys {
		k.byKey[key] /= 2
	}
}
