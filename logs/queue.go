package logs

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// queued is the number of lines that wait for a slow reader of the output:
// about a second of a busy daemon.
const queued = 4096

// Queue writes lines in the background. A line that finds the queue full is
// dropped and counted, so that logging never holds up a request.
type Queue struct {
	lines   chan []byte
	quit    chan struct{}
	out     io.Writer
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewQueue returns a queue that writes to out until Close.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queued), quit: make(chan struct{}), out: out}
	q.done.Go(q.run)
	return q
}

// Write takes one line.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what is queued and ends. Later lines are not written.
func (q *Queue) Close() {
	close(q.quit)
	q.done.Wait()
}

func (q *Queue) run() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-q.quit:
			for len(q.lines) > 0 {
				q.write(<-q.lines)
			}
			return
		}
	}
}

func (q *Queue) write(line []byte) {
	// A closed output leaves nobody to tell.
	_, _ = q.out.Write(line)
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = io.WriteString(q.out, "event=\"log lines dropped\" count="+strconv.FormatUint(n, 10)+"\n")
	}
}
