package relay

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// pieceSize is the largest number of bytes that is delivered at once.
	pieceSize = 16 << 10
	// pieces is the number of delayed pieces per direction. It bounds the
	// throughput to pieces*pieceSize per delay, 350 MB/s at 12 ms.
	pieces = 256
)

// piece is data on its way.
type piece struct {
	data []byte
	due  time.Time
}

// pipe relays one direction until it ends.
func (r *Relay) pipe(dst, src net.Conn, pick func(Links) Link, count *atomic.Int64) {
	queue := make(chan piece, pieces)
	go func() {
		defer close(queue)
		buf := make([]byte, pieceSize)
		for {
			n, err := src.Read(buf)
			if n > 0 {
				l, _ := r.state()
				queue <- piece{data: append([]byte(nil), buf[:n]...), due: time.Now().Add(pick(l).Delay.Duration())}
			}
			if err != nil {
				return
			}
		}
	}()
	lost := false
	for p := range queue {
		lost = lost || !r.deliver(dst, p, pick)
		if !lost {
			count.Add(int64(len(p.data)))
		}
	}
	if !lost && r.pass(pick) {
		closeWrite(dst)
	}
}

// deliver writes a piece when it is due and reports whether it arrived. After
// a lost piece it must not be called again for the connection.
func (r *Relay) deliver(dst net.Conn, p piece, pick func(Links) Link) bool {
	if d := time.Until(p.due); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.halt:
			return false
		}
	}
	if !r.pass(pick) {
		return false
	}
	_, err := dst.Write(p.data)
	return err == nil
}

// pass waits while the direction is frozen and reports whether it is not cut.
func (r *Relay) pass(pick func(Links) Link) bool {
	for {
		links, changed := r.state()
		l := pick(links)
		if l.Cut || !l.Freeze {
			return !l.Cut
		}
		select {
		case <-changed:
		case <-r.halt:
			return false
		}
	}
}

// closeWrite passes on the end of the stream and keeps the other direction open.
func closeWrite(nc net.Conn) {
	if c, ok := nc.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
		return
	}
	_ = nc.Close()
}
