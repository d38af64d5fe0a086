package main

import (
	"net"
	"sync/atomic"
)

// link is the path of one machine to the store. While it is cut, nothing passes in either
// direction and nothing is closed, as with a partition.
type link struct {
	address string
	cut     atomic.Pointer[chan struct{}] // closed when the cut has healed; nil: no cut
}

func startLink(store string) *link {
	l := new(link)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	l.address = ln.Addr().String()
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				l.pass()
				to, err := net.Dial("tcp", store)
				if err != nil {
					from.Close()
					return
				}
				go l.copy(to, from)
				l.copy(from, to)
			}()
		}
	}()
	return l
}

// pass returns at once, or when the cut has healed.
func (l *link) pass() {
	if healed := l.cut.Load(); healed != nil {
		<-*healed
	}
}

func (l *link) copy(to, from net.Conn) {
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.pass()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) startCut() {
	healed := make(chan struct{})
	l.cut.Store(&healed)
}

func (l *link) heal() { close(*l.cut.Swap(nil)) }
