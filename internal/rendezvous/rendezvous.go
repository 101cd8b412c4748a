// Package rendezvous implements rendezvous (highest random weight) hashing: it ranks names for a key. Every
// process computes the same order without communication. Adding or removing a name only moves the keys
// that rank it first.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// weight returns the weight of a name for the hash of a key.
func weight(keyHash uint64, name string) uint64 {
	x := xxhash.Sum64String(name) ^ keyHash
	// SplitMix64 finalizer; XOR alone would preserve the order of the names' hashes.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// First returns the name that ranks highest for the key, or the empty string if there are no names.
func First(key string, names []string) string {
	keyHash, best, bestWeight := xxhash.Sum64String(key), "", uint64(0)
	for _, name := range names {
		if w := weight(keyHash, name); best == "" || w > bestWeight || (w == bestWeight && name < best) {
			best, bestWeight = name, w
		}
	}
	return best
}

// Rank returns the names in their order for the key, the highest ranked first.
func Rank(key string, names []string) []string {
	keyHash := xxhash.Sum64String(key)
	type ranked struct {
		name   string
		weight uint64
	}
	list := make([]ranked, len(names))
	for i, name := range names {
		list[i] = ranked{name, weight(keyHash, name)}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].weight > list[j].weight || (list[i].weight == list[j].weight && list[i].name < list[j].name)
	})
	out := make([]string, len(list))
	for i, r := range list {
		out[i] = r.name
	}
	return out
}

// Spread returns n names in their order for the key, or all if there are fewer, taking one of each group in
// turn, so that the selection covers as many groups as possible.
func Spread(key string, names []string, group func(string) string, n int) []string {
	byGroup, order := map[string][]string{}, []string{}
	for _, name := range Rank(key, names) {
		g := group(name)
		if byGroup[g] == nil {
			order = append(order, g)
		}
		byGroup[g] = append(byGroup[g], name)
	}
	var out []string
	for len(out) < min(n, len(names)) {
		for _, g := range order {
			if len(byGroup[g]) > 0 && len(out) < n {
				out = append(out, byGroup[g][0])
				byGroup[g] = byGroup[g][1:]
			}
		}
	}
	return out
}
