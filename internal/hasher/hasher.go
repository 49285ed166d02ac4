// Package hasher hashes names to numbers whose bits are all equally random.
//
// Rendezvous hashing and positions on a ring compare such numbers. The sums of
// FNV alone would not do: names that differ in their last characters differ only
// in the low bits.
//
// # Usage
//
//	weight := hasher.Hash(conversation, target)
//	other := hasher.Mix64(weight ^ seed)
package hasher

import "hash/fnv"

// Mix64 is the finalizer of a 64-bit hash.
func Mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Hash returns the number of a list of names.
func Hash(names ...string) uint64 {
	h := fnv.New64a()
	for i, name := range names {
		if i > 0 {
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write([]byte(name))
	}
	return Mix64(h.Sum64())
}

// Rank returns how many of the names come before one in the order of a key. All who know the same names agree on it, and
// a name that comes or goes moves each of the others by at most one place.
func Rank(key uint64, self string, names []string) int {
	own := Mix64(Hash(self) ^ key)
	n := 0
	for _, name := range names {
		if name != self && Mix64(Hash(name)^key) > own {
			n++
		}
	}
	return n
}
