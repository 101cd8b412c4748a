// Package logposition defines positions in the topics of the platform's store.
package logposition

import "cmp"

// Position is an offset of a topic in an era of the store. When the store is restored from an older
// copy, a new era begins, and offsets are reused.
type Position struct {
	Era    int64
	Offset int64
}

// Compare compares two positions by era, then by offset. The result is negative if a is the earlier
// one, 0 if they are equal, and positive otherwise.
func Compare(a, b Position) int {
	return cmp.Or(cmp.Compare(a.Era, b.Era), cmp.Compare(a.Offset, b.Offset))
}

// Later returns the later of two positions.
func Later(a, b Position) Position {
	if Compare(a, b) >= 0 {
		return a
	}
	return b
}
