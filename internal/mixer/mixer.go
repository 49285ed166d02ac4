// Package mixer hashes names to numbers whose bits are all equally random.
//
// Rendezvous hashing and positions on a ring compare such numbers. The sums of
// FNV alone would not do: names that differ in their last characters differ only
// in the low bits.
//
// # Usage
//
//	weight := mixer.Sum(conversation, target)
//	other := mixer.Mix(weight ^ seed)
package mixer

import "hash/fnv"

// Mix is the finalizer of a 64-bit hash.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Sum returns the number of a list of names.
func Sum(names ...string) uint64 {
	h := fnv.New64a()
	for i, name := range names {
		if i > 0 {
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write([]byte(name))
	}
	return Mix(h.Sum64())
}

// Place returns how many of the names come before one in the order of a key. All who know the same names agree on it, and
// a name that comes or goes moves each of the others by at most one place.
func Place(key uint64, self string, names []string) int {
	own := Mix(Sum(self) ^ key)
	n := 0
	for _, name := range names {
		if name != self && Mix(Sum(name)^key) > own {
			n++
		}
	}
	return n
}
