package relay

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// chunkSize is the largest number of bytes that are read and delivered at
	// once.
	chunkSize = 16 << 10
	// queueCapacity is the largest number of delayed chunks per direction. It
	// limits the throughput to queueCapacity*chunkSize per delay, which is
	// 350 MB/s at 12 ms.
	queueCapacity = 256
)

// chunk is data that was read and is delivered when it is due.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe relays one direction, the one that directionOf selects, until src ends. It
// adds the number of delivered bytes to delivered. It passes the end of the stream
// on to dst unless the direction is cut or data was lost.
func (r *Relay) pipe(dst, src net.Conn, directionOf func(LinkState) Direction, delivered *atomic.Int64) {
	queue := make(chan chunk, queueCapacity)
	go func() {
		defer close(queue)
		buf := make([]byte, chunkSize)
		for {
			n, err := src.Read(buf)
			if n > 0 {
				l, _ := r.state()
				queue <- chunk{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(directionOf(l).Delay.Duration())}
			}
			if err != nil {
				return
			}
		}
	}()
	lost := false
	for c := range queue {
		lost = lost || !r.deliver(dst, c, directionOf)
		if !lost {
			delivered.Add(int64(len(c.data)))
		}
	}
	if !lost && r.waitUnfrozen(directionOf) {
		closeWrite(dst)
	}
}

// deliver writes a chunk to dst when it is due and reports whether it was
// written. After a lost chunk it must not be called again for the direction of
// this connection, because the stream would continue after a gap.
func (r *Relay) deliver(dst net.Conn, c chunk, directionOf func(LinkState) Direction) bool {
	if d := time.Until(c.due); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.aborted:
			return false
		}
	}
	if !r.waitUnfrozen(directionOf) {
		return false
	}
	_, err := dst.Write(c.data)
	return err == nil
}

// waitUnfrozen waits until the direction is not frozen and returns true. It returns
// false if the direction is cut, frozen or not, or if the relay aborts meanwhile.
func (r *Relay) waitUnfrozen(directionOf func(LinkState) Direction) bool {
	for {
		l, changed := r.state()
		d := directionOf(l)
		if d.Cut || !d.Freeze {
			return !d.Cut
		}
		select {
		case <-changed:
		case <-r.aborted:
			return false
		}
	}
}

// closeWrite closes the write side of nc and keeps its read side open. It closes
// nc completely if it cannot be closed by halves.
func closeWrite(nc net.Conn) {
	if c, ok := nc.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
		return
	}
	_ = nc.Close()
}
