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

// NewAsyncWriter returns a writer that writes to out, and starts its goroutine. Close
// ends the goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, queueCapacity), closing: make(chan struct{}), out: out}
	w.done.Go(w.run)
	return w
}

// Write copies one line into the queue, or drops it if the queue is full. It
// never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine. Lines that are written
// later are lost. Close must be called only once.
func (w *AsyncWriter) Close() {
	close(w.closing)
	w.done.Wait()
}

// run writes lines until Close and then those that are still queued.
func (w *AsyncWriter) run() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			return
		}
	}
}

// write writes one line, followed by the number of lines that were dropped since the
// last write, if there are any. Those are younger than the lines in the queue.
func (w *AsyncWriter) write(line []byte) {
	// Errors are ignored: the failed output is the log itself.
	_, _ = w.out.Write(line)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = io.WriteString(w.out, "event=\"log lines dropped\" count="+strconv.FormatUint(n, 10)+"\n")
	}
}
