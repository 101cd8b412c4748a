package engine

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockWords is the number of words in one block of the prefix cache.
const blockWords = 16

// prefixCache is an LRU set of prompt prefixes, stored as block hashes.
type prefixCache struct {
	maxBlocks int        // in blocks
	lru       *list.List // of uint64, most recently used first
	byHash    map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{maxBlocks: limit, lru: list.New(), byHash: map[uint64]*list.Element{}}
}

// blockHashes returns a hash for each complete block of the prompt. Each hash
// covers the prompt up to the end of its block.
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

// insert counts the leading blocks that are cached and then caches all blocks. It
// returns this count, the blocks that were added and those that were evicted.
func (c *prefixCache) insert(blocks []uint64) (hit int, added, evicted []uint64) {
	for hit < len(blocks) && c.byHash[blocks[hit]] != nil {
		hit++
	}
	for _, b := range blocks {
		if e := c.byHash[b]; e != nil {
			c.lru.MoveToFront(e)
			continue
		}
		c.byHash[b] = c.lru.PushFront(b)
		added = append(added, b)
	}
	for c.lru.Len() > c.maxBlocks {
		oldest := c.lru.Back()
		b := oldest.Value.(uint64)
		c.lru.Remove(oldest)
		delete(c.byHash, b)
		evicted = append(evicted, b)
	}
	return hit, added, evicted
}

// blocks returns the cached blocks, most recently used first.
func (c *prefixCache) blocks() []uint64 {
	out := make([]uint64, 0, c.lru.Len())
	for e := c.lru.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(uint64))
	}
	return out
}
