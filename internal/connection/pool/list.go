package pool

// list holds items from the oldest to the newest. Taking the newest first keeps
// a small set in frequent use, so that the rest can be closed.
type list[T comparable] struct{ items []T }

func (l *list[T]) size() int { return len(l.items) }

func (l *list[T]) push(item T) { l.items = append(l.items, item) }

func (l *list[T]) newest() (item T, ok bool) {
	if len(l.items) == 0 {
		return item, false
	}
	last := len(l.items) - 1
	item = l.items[last]
	clear(l.items[last:])
	l.items = l.items[:last]
	return item, true
}

func (l *list[T]) oldest() (item T, ok bool) {
	if len(l.items) == 0 {
		return item, false
	}
	item = l.items[0]
	copy(l.items, l.items[1:])
	clear(l.items[len(l.items)-1:])
	l.items = l.items[:len(l.items)-1]
	return item, true
}

func (l *list[T]) remove(item T) bool {
	for i, v := range l.items {
		if v == item {
			copy(l.items[i:], l.items[i+1:])
			clear(l.items[len(l.items)-1:])
			l.items = l.items[:len(l.items)-1]
			return true
		}
	}
	return false
}

// keep removes the items that f refuses and returns them.
func (l *list[T]) keep(f func(T) bool) (removed []T) {
	kept := l.items[:0]
	for _, v := range l.items {
		if f(v) {
			kept = append(kept, v)
		} else {
			removed = append(removed, v)
		}
	}
	clear(l.items[len(kept):])
	l.items = kept
	return removed
}
