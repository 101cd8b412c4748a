package placement

import (
	"strconv"

	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

// groupSize is the number of engines for which one gateway decides, about: enough
// that one of them has room while others are busy, few enough that the asks of a
// large service are shared by many gateways.
const groupSize = 64

// Groups returns the number of groups of a service with so many engines.
func GroupCount(engines int) int { return max(1, (engines+groupSize-1)/groupSize) }

// GroupsFor returns the groups in the order in which a request with the key is to
// ask them. Requests with the same shared part ask the same group first.
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
		out[i], _ = strconv.Atoi(name) // one of names
	}
	return out
}

// GroupOf returns the group of an engine.
func GroupOf(engine string, groups int) int { return RankGroups(engine, groups)[0] }
