// Package rendezvous ranks names for a key by highest random weight, so that
// every process comes to the same order without talking, and a name added or
// taken away moves only the keys that rank it first.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// weight is the rank value of name for a key's hash.
func weight(key uint64, name string) uint64 {
	x := xxhash.Sum64String(name) ^ key
	// Finaliser of SplitMix64: the XOR alone would keep the order of names.
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// First returns the highest ranked name; empty when there is none.
func First(key string, names []string) string {
	h, best, top := xxhash.Sum64String(key), "", uint64(0)
	for _, n := range names {
		if w := weight(h, n); best == "" || w > top || (w == top && n < best) {
			best, top = n, w
		}
	}
	return best
}

// Rank returns the names, highest ranked first.
func Rank(key string, names []string) []string {
	h := xxhash.Sum64String(key)
	type ranked struct {
		name string
		w    uint64
	}
	list := make([]ranked, len(names))
	for i, n := range names {
		list[i] = ranked{n, weight(h, n)}
	}
	sort.Slice(list, func(i, j int) bool {
		return list[i].w > list[j].w || (list[i].w == list[j].w && list[i].name < list[j].name)
	})
	out := make([]string, len(list))
	for i, r := range list {
		out[i] = r.name
	}
	return out
}

// Spread returns n names, highest ranked first, but taking one of each group
// in turn, so that the choice covers as many groups as it can.
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
