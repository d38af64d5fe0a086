package queue

import (
	"container/heap"

	"rhubarbdrift.example/model"
)

// line holds the waiting requests of one customer, ordered by deadline. The
// lines form a ring.
type line struct {
	id         model.CustomerID
	weight     int
	deficit    int // requests that may run in this turn
	list       []*Ticket
	prev, next *line // neighbours in the ring
}

// Len implements heap.Interface.
func (l *line) Len() int { return len(l.list) }

// Less implements heap.Interface. Requests without a deadline come last.
func (l *line) Less(i, j int) bool {
	a, b := l.list[i].deadline, l.list[j].deadline
	if a.IsZero() || b.IsZero() {
		return !a.IsZero()
	}
	return a.Before(b)
}

// Swap implements heap.Interface.
func (l *line) Swap(i, j int) {
	l.list[i], l.list[j] = l.list[j], l.list[i]
	l.list[i].index, l.list[j].index = i, j
}

// Push implements heap.Interface.
func (l *line) Push(x any) {
	t := x.(*Ticket)
	t.index = len(l.list)
	l.list = append(l.list, t)
}

// Pop implements heap.Interface.
func (l *line) Pop() any {
	n := len(l.list) - 1
	t := l.list[n]
	l.list[n] = nil
	l.list = l.list[:n]
	t.index = -1
	return t
}

func (l *line) add(t *Ticket) {
	t.line = l
	heap.Push(l, t)
}

// last returns the request with the latest deadline.
func (l *line) last() *Ticket {
	at := len(l.list) / 2
	for i := at; i < len(l.list); i++ {
		if l.Less(at, i) {
			at = i
		}
	}
	return l.list[at]
}

// enlist adds a line at the end of the round.
func (q *Queue) enlist(l *line) {
	if q.turn == nil {
		l.prev, l.next = l, l
		q.turn = l
		return
	}
	l.prev, l.next = q.turn.prev, q.turn
	l.prev.next, q.turn.prev = l, l
}

// remove takes a request out of its line, and an empty line out of the ring.
func (q *Queue) remove(t *Ticket) {
	l := t.line
	heap.Remove(l, t.index)
	q.waiting--
	if len(l.list) > 0 {
		return
	}
	delete(q.customers, l.id)
	l.prev.next, l.next.prev = l.next, l.prev
	if q.turn == l {
		q.turn = l.next
	}
	if q.turn == l {
		q.turn = nil
	}
}

// next takes the request whose turn it is: each customer in turn may run as
// many requests as its weight.
func (q *Queue) next() *Ticket {
	l := q.turn
	if l.deficit < 1 {
		l.deficit = l.weight
	}
	l.deficit--
	if l.deficit < 1 {
		q.turn = l.next
	}
	t := l.list[0]
	q.remove(t)
	return t
}

// longest returns the customer with the most waiting requests for its weight.
func (q *Queue) longest() *line {
	worst := q.turn
	for l := q.turn.next; l != q.turn; l = l.next {
		if len(l.list)*worst.weight > len(worst.list)*l.weight {
			worst = l
		}
	}
	return worst
}
