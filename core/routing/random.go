package routing

import (
	"encoding/binary"
	"hash/crc32"
)

// random is a pseudo-random number generator that hashes a seed and a counter.
type random struct {
	seed  uint32
	draws uint32
}

// float draws a number from [0, 1).
func (r *random) float() float64 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:], r.seed)
	binary.LittleEndian.PutUint32(b[4:], r.draws)
	r.draws++
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// index draws an index with the probabilities of the shares, which add up to one. A rest due to rounding belongs to index 0.
func (r *random) index(shares []float64) int {
	x := r.float()
	for i, share := range shares {
		if x < share {
			return i
		}
		x -= share
	}
	return 0
}

// hashKey returns the hash of a key that routers exchange.
func hashKey(key Key) KeyHash { return KeyHash(hashText(string(key))) }

// hashText returns an FNV-1a hash with mixed bits. Unlike hash/maphash it is the same in every process.
func hashText(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * prime
	}
	return mixBits(hash)
}

// mixBits mixes the bits of a hash with the finalizer of MurmurHash3.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
