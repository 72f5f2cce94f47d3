package machine

import "container/list"

// LRU is a bounded set of keys; where it is full the one used longest ago goes.
type LRU struct {
	most  int
	at    map[string]*list.Element
	order *list.List // used last in front
}

// NewLRU returns a set of at most so many keys.
func NewLRU(most int) *LRU {
	return &LRU{most: max(1, most), at: map[string]*list.Element{}, order: list.New()}
}

// Contains tells whether the key is there, and counts as a use.
func (l *LRU) Contains(key string) bool {
	e, ok := l.at[key]
	if ok {
		l.order.MoveToFront(e)
	}
	return ok
}

// Put adds a key, or counts as a use.
func (l *LRU) Put(key string) {
	if l.Contains(key) {
		return
	}
	if l.order.Len() >= l.most {
		oldest := l.order.Back()
		delete(l.at, l.order.Remove(oldest).(string))
	}
	l.at[key] = l.order.PushFront(key)
}

// Remove takes a key out.
func (l *LRU) Remove(key string) {
	if e, ok := l.at[key]; ok {
		l.order.Remove(e)
		delete(l.at, key)
	}
}

// Len is how many keys there are.
func (l *LRU) Len() int { return l.order.Len() }
