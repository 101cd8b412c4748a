package placement

import (
	"strconv"

	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

// groupSize is the approximate number of engines per group, each of which is scheduled by one
// gateway: large enough that some engine has capacity while others are busy, small enough that
// many gateways share the scheduling of a large service.
const enginesPerGroup = 64

// GroupCount returns the number of groups for a service with the given number of engines.
func GroupCount(engines int) int { return max(1, (engines+enginesPerGroup-1)/enginesPerGroup) }

// RankGroups returns the groups in the order in which a request with the key tries them. Requests
// with the same shared prefix start with the same group.
func RankGroups(key string, groups int) []int {
	if groups == 1 {
		return []int{0}
	}
	names := make([]string, groups)
	for i := range names {
		names[i] = strconv.Itoa(i)
	}
	out := make([]int, groups)
	for i, name := range rendezvous.Rank(key, names) {
		out[i], _ = strconv.Atoi(name) // always a number
	}
	return out
}

// GroupOf returns the group of an engine.
func GroupOf(engine string, groups int) int { return RankGroups(engine, groups)[0] }
