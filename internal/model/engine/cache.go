package engine

import (
	"container/list"

	"lagoongw/internal/state/prompt"
)

// cache holds prompt parts. Parts that no job in the batch uses may be evicted, the least recently used first.
type cache struct {
	parts  map[uint64]*list.Element
	lru    *list.List
	tokens int
}

// cacheEntry is a cached part and the number of jobs in the batch that use it.
type cacheEntry struct {
	part       prompt.Part
	references int
}

func newCache() *cache {
	return &cache{
		parts: map[uint64]*list.Element{},
		lru:   list.New(),
	}
}

// prefix returns the number of leading parts of a prompt that are all in the cache.
func (c *cache) prefix(p prompt.Prompt) int {
	for i, part := range p {
		if c.parts[part.ID] == nil {
			return i
		}
	}
	return len(p)
}

// acquire protects parts from eviction until they are released, and adds those that are not in the cache.
func (c *cache) acquire(parts prompt.Prompt) {
	for _, part := range parts {
		element := c.parts[part.ID]
		if element == nil {
			element = c.lru.PushBack(&cacheEntry{part: part})
			c.parts[part.ID] = element
			c.tokens += part.Tokens
		}
		c.lru.MoveToBack(element)
		element.Value.(*cacheEntry).references++
	}
}

// retain protects parts that are in the cache from eviction until they are released, without counting as a use.
func (c *cache) retain(parts prompt.Prompt) {
	for _, part := range parts {
		c.parts[part.ID].Value.(*cacheEntry).references++
	}
}

func (c *cache) release(parts prompt.Prompt) {
	for _, part := range parts {
		if element := c.parts[part.ID]; element != nil {
			element.Value.(*cacheEntry).references--
		}
	}
}

// evict removes unused parts until at least the given number of tokens is freed, and returns how many were freed, which
// is fewer if too few parts are unused.
func (c *cache) evict(tokens int) (freed int) {
	for element := c.lru.Front(); element != nil && freed < tokens; {
		next := element.Next()
		if entry := element.Value.(*cacheEntry); entry.references == 0 {
			c.lru.Remove(element)
			delete(c.parts, entry.part.ID)
			c.tokens -= entry.part.Tokens
			freed += entry.part.Tokens
		}
		element = next
	}
	return freed
}
