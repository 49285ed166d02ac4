// Package hasher computes 64-bit hashes of names for rendezvous hashing and hash rings.
//
// Rendezvous hashing and ring positions compare whole hash values, so every bit
// must depend on every input byte. FNV-1a alone does not provide this: names that
// differ only in their last characters get hashes that differ only in the low
// bits. The hash is therefore FNV-1a followed by the finalizer of MurmurHash3.
//
// The functions are pure: all instances compute the same values.
//
// # Usage
//
//	weight := hasher.Hash(conversation, target)
//	other := hasher.Mix64(weight ^ seed)
package hasher

import "hash/fnv"

// Mix64 is the 64-bit finalizer of MurmurHash3, a bijection in which every input bit affects every output bit.
func Mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Hash returns the hash of a list of names. The names are separated, so that ("ab", "c") and ("a", "bc") differ.
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

// Rank returns the position of self in the rendezvous order of names for a key: the number of other names with a higher
// hash. Instances with the same list of names agree on all ranks, and adding or removing one name changes the rank of
// each of the others by at most one.
func Rank(key uint64, self string, names []string) int {
	selfHash := Mix64(Hash(self) ^ key)
	n := 0
	for _, name := range names {
		if name != self && Mix64(Hash(name)^key) > selfHash {
			n++
		}
	}
	return n
}
