package engine

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockWords is the number of words in one block of the prefix cache.
const blockWords = 16

// prefixCache is a least-recently-used set of prompt prefixes, by blocks.
type prefixCache struct {
	limit  int
	order  *list.List // of uint64, most recently used first
	byHash map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), byHash: map[uint64]*list.Element{}}
}

// blockHashes returns a hash for each whole block of the prompt; each covers
// the prompt up to the end of its block.
func blockHashes(prompt string) []uint64 {
	words := strings.Fields(prompt)
	var out []uint64
	h := xxhash.New()
	for i, w := range words {
		_, _ = h.WriteString(w) // never fails
		_, _ = h.WriteString(" ")
		if (i+1)%blockWords == 0 {
			out = append(out, h.Sum64())
		}
	}
	return out
}

// use counts the leading blocks that are held, and then holds all of them. It
// returns the blocks that were added and those evicted.
func (c *prefixCache) use(blocks []uint64) (hit int, added, evicted []uint64) {
	for hit < len(blocks) && c.byHash[blocks[hit]] != nil {
		hit++
	}
	for _, b := range blocks {
		if e := c.byHash[b]; e != nil {
			c.order.MoveToFront(e)
			continue
		}
		c.byHash[b] = c.order.PushFront(b)
		added = append(added, b)
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		b := oldest.Value.(uint64)
		c.order.Remove(oldest)
		delete(c.byHash, b)
		evicted = append(evicted, b)
	}
	return hit, added, evicted
}

func (c *prefixCache) blocks() []uint64 {
	out := make([]uint64, 0, c.order.Len())
	for e := c.order.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(uint64))
	}
	return out
}
