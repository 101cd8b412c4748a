// Package logposition names places in a topic of the platform's store.
package logposition

import "cmp"

// Position is an offset that holds in one era of the store: when the store comes back from an older
// copy, offsets are given out again.
type Position struct {
	Era    int64
	Offset int64
}

// Compare orders positions: those of a later era are behind all of an earlier one.
func Compare(a, b Position) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Offset, b.Offset))
}

// Later returns the one that is further on.
func Later(a, b Position) Position {
	if Compare(a, b) >= 0 {
		return a
	}
	return b
}
