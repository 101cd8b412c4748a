// Package rendezvous implements rendezvous (highest random weight) hashing: it ranks names for a key, so
// that every process computes the same order without communication, and adding or removing a name moves
// only the keys that rank it first.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// weight returns the weight of a name for a key's hash.
func weight(key uint64, name string) uint64 {
	x := xxhash.Sum64String(name) ^ key
	// SplitMix64 finalizer; XOR alone would preserve the order of the names' hashes.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// First returns the highest ranked name, or the empty string if there are no names.
func First(key string, names []string) string {
	h, best, bestWeight := xxhash.Sum64String(key), "", uint64(0)
	for _, n := range names {
		if w := weight(h, n); best == "" || w > bestWeight || (w == bestWeight && n < best) {
			best, bestWeight = n, w
		}
	}
	return best
}

// Rank returns the names ordered from highest to lowest rank.
func Rank(key string, names []string) []string {
	h := xxhash.Sum64String(key)
	type ranked struct {
		name   string
		weight uint64
	}
	list := make([]ranked, len(names))
	for i, n := range names {
		list[i] = ranked{n, weight(h, n)}
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

// Spread returns the n highest ranked names, taking one of each group in turn, so that the selection
// covers as many groups as possible.
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
