package routing

import (
	"encoding/binary"
	"hash/crc32"
)

// random draws pseudo-random numbers from a seed and a counter.
type random struct {
	seed  uint32
	draws uint32
}

// float draws from [0, 1).
func (r *random) float() float64 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:], r.seed)
	binary.LittleEndian.PutUint32(b[4:], r.draws)
	r.draws++
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// index draws an index by shares that add up to one. If rounding leaves them below one, the rest belongs to the first.
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

// hashKey is the hash of a key that routers exchange.
func hashKey(key Key) KeyHash { return KeyHash(hashText(string(key))) }

// hashText is FNV-1a with mixed bits. It is the same in every process, which hash/maphash is not.
func hashText(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	hash := uint64(offset)
	for i := range len(text) {
		hash = (hash ^ uint64(text[i])) * prime
	}
	return mixBits(hash)
}

// mixBits spreads the bits of a hash (the finalizer of MurmurHash3).
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
