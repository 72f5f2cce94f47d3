package machine

import "container/list"

// LRU is a bounded set of keys that evicts the least recently used one. It is not safe for concurrent use.
type LRU struct {
	capacity int
	elements map[string]*list.Element
	order    *list.List // most recently used first
}

// NewLRU returns an empty set of at most capacity keys, and of one key if capacity is less than one.
func NewLRU(capacity int) *LRU {
	return &LRU{capacity: max(1, capacity), elements: map[string]*list.Element{}, order: list.New()}
}

// Contains reports whether the key is present, and marks it as used.
func (l *LRU) Contains(key string) bool {
	e, ok := l.elements[key]
	if ok {
		l.order.MoveToFront(e)
	}
	return ok
}

// Put adds the key, or marks it as used if it is present.
func (l *LRU) Put(key string) {
	if l.Contains(key) {
		return
	}
	if l.order.Len() >= l.capacity {
		oldest := l.order.Back()
		delete(l.elements, l.order.Remove(oldest).(string))
	}
	l.elements[key] = l.order.PushFront(key)
}

// Remove deletes the key if it is present.
func (l *LRU) Remove(key string) {
	if e, ok := l.elements[key]; ok {
		l.order.Remove(e)
		delete(l.elements, key)
	}
}

// Len returns the number of keys.
func (l *LRU) Len() int { return l.order.Len() }
