package logs

import (
	"io"
	"strconv"
	"sync"
	"sync/atomic"
)

// queueCapacity is the number of lines that are buffered while the output is
// slow: about one second of output of a busy daemon.
const queueCapacity = 4096

// AsyncWriter is an io.Writer that writes lines from a goroutine of its own. A line is
// dropped and counted when the queue is full, so that logging never blocks a
// request. The number of dropped lines is logged after the next line.
type AsyncWriter struct {
	lines   chan []byte
	closing chan struct{}
	out     io.Writer
	dropped atomic.Uint64
	done    sync.WaitGroup
}

// NewAsyncWriter returns a queue that writes to out and starts its goroutine. Close
// ends it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	q := &AsyncWriter{lines: make(chan []byte, queueCapacity), closing: make(chan struct{}), out: out}
	q.done.Go(q.run)
	return q
}

// Write copies one line into the queue, or drops it if the queue is full. It
// never blocks and never fails.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine. Lines that are written
// later are lost. Close must be called only once.
func (q *AsyncWriter) Close() {
	close(q.closing)
	q.done.Wait()
}

// run writes lines until Close and then those that are still queued.
func (q *AsyncWriter) run() {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-q.closing:
			for len(q.lines) > 0 {
				q.write(<-q.lines)
			}
			return
		}
	}
}

// write writes one line, followed by the number of lines dropped before it.
func (q *AsyncWriter) write(line []byte) {
	// Errors are ignored: the failed output is the log itself.
	_, _ = q.out.Write(line)
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = io.WriteString(q.out, "event=\"log lines dropped\" count="+strconv.FormatUint(n, 10)+"\n")
	}
}
