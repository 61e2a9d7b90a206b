package admitter

import "container/heap"

// queue is a bounded priority queue. It takes out the item with the least key
// first, and items with equal keys in the order of their arrival. It is not
// safe for concurrent use.
type queue[T any] struct {
	nodes nodes[T]
	bound int
	next  uint64
}

// node is one place in a queue.
type node[T any] struct {
	item   T
	key    int64
	serial uint64
	index  int // -1 when taken out
}

type nodes[T any] []*node[T]

func (n nodes[T]) Len() int { return len(n) }

func (n nodes[T]) Less(i, j int) bool {
	if n[i].key != n[j].key {
		return n[i].key < n[j].key
	}
	return n[i].serial < n[j].serial
}

func (n nodes[T]) Swap(i, j int) {
	n[i], n[j] = n[j], n[i]
	n[i].index, n[j].index = i, j
}

// Push is for package heap.
func (n *nodes[T]) Push(x any) {
	p := x.(*node[T])
	p.index = len(*n)
	*n = append(*n, p)
}

// Pop is for package heap.
func (n *nodes[T]) Pop() any {
	last := len(*n) - 1
	p := (*n)[last]
	(*n)[last] = nil
	*n = (*n)[:last]
	p.index = -1
	return p
}

func newQueue[T any](bound int) *queue[T] { return &queue[T]{bound: bound} }

// push puts the item in, or returns nil if the queue is full.
func (q *queue[T]) push(item T, key int64) *node[T] {
	if len(q.nodes) >= q.bound {
		return nil
	}
	q.next++
	p := &node[T]{item: item, key: key, serial: q.next}
	heap.Push(&q.nodes, p)
	return p
}

// pop takes the first item out.
func (q *queue[T]) pop() (item T, ok bool) {
	if len(q.nodes) == 0 {
		return item, false
	}
	return heap.Pop(&q.nodes).(*node[T]).item, true
}

// remove takes the node out and reports whether it was still in.
func (q *queue[T]) remove(p *node[T]) bool {
	if p.index < 0 {
		return false
	}
	heap.Remove(&q.nodes, p.index)
	return true
}

// first reports whether the node is the next to be taken out.
func (q *queue[T]) first(p *node[T]) bool { return p.index == 0 }
