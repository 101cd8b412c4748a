package placement

import (
	"strconv"

	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

// enginesPerGroup is the approximate size of a group, whose engines are scheduled by one gateway. It is
// large enough that some engine has capacity while others are busy, and small enough that many gateways
// share the scheduling of a large service.
const enginesPerGroup = 64

// GroupCount returns the number of groups for a service with the given number of engines.
func GroupCount(engines int) int { return max(1, (engines+enginesPerGroup-1)/enginesPerGroup) }

// RankGroups returns the indices of the groups in the order in which a request with the key tries them.
// Requests with the same shared prefix start with the same group.
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
		out[i], _ = strconv.Atoi(name) // can't fail, as names has only numbers
	}
	return out
}

// GroupOf returns the index of an engine's group.
func GroupOf(engineID string, groups int) int { return RankGroups(engineID, groups)[0] }
