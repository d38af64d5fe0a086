package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	oddEntries = 40
	oddBytes   = 1000000 // of one entry; valueBytes is 1,048,576
	oddRate    = 8       // requests a second to each daemon
	oddBefore  = 4 * time.Second
	oddDown    = time.Second
	oddRecover = 15 * time.Second // the bound `recovery`
	oddAfter   = 8 * time.Second
)

// sent is one request and its status, 0 without an answer.
type sent struct {
	at     time.Time
	status int
}

// load sends requests to all daemons until stop is closed.
func load(f *fleet, r *record, stop chan struct{}) func() []sent {
	var wait sync.WaitGroup
	var mu sync.Mutex
	var list []sent
	for i, d := range f.daemons {
		wait.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Second / oddRate):
				}
				wait.Go(func() {
					id := fmt.Sprintf("%d-%04x", i, n)
					x := sent{at: time.Now(), status: ask(d, id)}
					r.printf("%s to %s: %d", id, d.name, x.status)
					mu.Lock()
					defer mu.Unlock()
					list = append(list, x)
				})
			}
		})
	}
	return func() []sent {
		close(stop)
		wait.Wait()
		return list
	}
}

// ask sends one idempotent request and returns the status of the answer, or 0.
func ask(d *daemon, id string) int {
	c, err := dialFront(d)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(1200 * time.Millisecond))
	if _, err := c.Write([]byte(headOf("GET", "/proof/1", id, 1200*time.Millisecond, 140*time.Millisecond, "Connection: close\r\n"))); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// served returns how many of the requests sent in a span were answered with 200.
func served(list []sent, from, to time.Time) (good, all int) {
	for _, x := range list {
		if x.at.Before(from) || !x.at.Before(to) {
			continue
		}
		all++
		if x.status == http.StatusOK {
			good++
		}
	}
	return good, all
}

// runOdd has another writer put entries that name no instance beside those of the instances, and
// kills all daemons afterwards.
func runOdd(dir string, r *record) (bool, error) {
	f, err := startFleet(dir, 4, 6, 6, "1200ms", timeOf)
	defer f.end()
	if err != nil {
		return false, err
	}
	end := load(f, r, make(chan struct{}))
	if trouble {
		note := strings.Repeat("p", oddBytes)
		for n := range oddEntries {
			f.store.put("servers", fmt.Sprintf("o-%02d", n), map[string]any{"note": note})
		}
		r.printf("another writer has written %d entries of %d bytes, without service, address, slots and state", oddEntries, oddBytes)
	}
	before := time.Now()
	time.Sleep(oddBefore)
	killed := time.Now()
	for _, d := range f.daemons {
		d.end()
	}
	r.printf("all daemons are killed")
	time.Sleep(oddDown)
	for _, d := range f.daemons {
		if err := d.start(); err != nil {
			end()
			return false, err
		}
	}
	back := time.Now()
	r.printf("all daemons are started again")
	time.Sleep(oddRecover + oddAfter)
	list := end()
	goodBefore, allBefore := served(list, before, killed)
	good, all := served(list, back.Add(oddRecover), time.Now())
	r.printf("served before the kill: %d of %d; of those sent %s after the return or later: %d of %d", goodBefore, allBefore, oddRecover, good, all)
	for _, d := range f.daemons {
		r.printf("%s ready: %t, most resident memory %d MB", d.name, d.isReady(), d.memory("VmHWM")>>10)
	}
	return goodBefore*4 >= allBefore && good*4 < all, nil
}
