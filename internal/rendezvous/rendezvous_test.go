package rendezvous

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func names(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("server-%d", i)
	}
	return out
}

func TestRemovalMovesOnlyKeysOfTheRemovedName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := names(rapid.IntRange(2, 30).Draw(t, "servers"))
		key := rapid.String().Draw(t, "key")
		removed := rapid.SampledFrom(all).Draw(t, "removed")
		var remaining []string
		for _, n := range all {
			if n != removed {
				remaining = append(remaining, n)
			}
		}
		ranked := Rank(key, all)
		want := ranked[0]
		if want == removed {
			want = ranked[1] // the second name takes its place
		}
		NewWithT(t).Expect(First(key, remaining)).To(Equal(want))
	})
}

func TestSpreadCoversGroups(t *testing.T) {
	g := NewWithT(t)
	group := func(n string) string { return n[len(n)-1:] }
	got := Spread("router-1", names(40), group, 10)
	groups := map[string]bool{}
	for _, n := range got {
		groups[group(n)] = true
	}
	g.Expect(got).To(HaveLen(10))
	g.Expect(groups).To(HaveLen(10))
}

func TestKeysAreSpreadEvenly(t *testing.T) {
	g := NewWithT(t)
	count := map[string]int{}
	for i := range 16000 {
		count[First(fmt.Sprint("key", i), names(16))]++
	}
	for n, c := range count {
		g.Expect(c).To(BeNumerically("~", 1000, 150), n)
	}
}
