package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	leftClients = 24
	leftWork    = 2 * time.Second // of the first request
	leftAfter   = 300 * time.Millisecond
	leftBody    = 12 << 10
	leftLate    = 500 * time.Millisecond // what RULES.md allows after the close
)

// runLeft has clients that send an idempotent request and behind it a second one with a body in
// chunks, and close their connections before the first answer.
func runLeft(dir string, r *record) (bool, error) {
	f, err := startFleet(dir, 2, 6, 6, "3000ms", timeOf)
	defer f.end()
	if err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	closedAt := make(map[string]time.Time)
	for n := range leftClients {
		time.Sleep(150 * time.Millisecond)
		wait.Go(func() {
			first, second := fmt.Sprintf("%04x-a", n), fmt.Sprintf("%04x-b", n)
			c, err := dialFront(f.daemons[n%2])
			if err != nil {
				r.printf("%s: no connection: %v", first, err)
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, openHeadOf("GET", "/open/1", first, 3*time.Second, leftWork, ""))
			_, _ = io.WriteString(c, openHeadOf("PUT", "/open/2", second, 3*time.Second, 50*time.Millisecond, "Transfer-Encoding: chunked\r\n")+
				fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", leftBody, strings.Repeat("p", leftBody)))
			r.printf("%s and %s sent to %s", first, second, f.daemons[n%2].name)
			if trouble {
				time.Sleep(leftAfter)
				mu.Lock()
				closedAt[first], closedAt[second] = time.Now(), time.Now()
				mu.Unlock()
				r.printf("%s: the client leaves", first)
				return
			}
			in := bufio.NewReader(c)
			for _, id := range []string{first, second} {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					r.printf("%s: no answer: %v", id, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				r.printf("%s answered %d", id, resp.StatusCode)
			}
		})
	}
	wait.Wait()
	time.Sleep(leftWork + time.Second)
	return judgeLeft(f, r, closedAt), nil
}

// judgeLeft counts the requests at which an instance was still at work half a second after their
// client had left, of those that would have lasted so long, and those that arrived later than that.
func judgeLeft(f *fleet, r *record, closedAt map[string]time.Time) bool {
	lasting, late, arrivedLate := 0, 0, 0
	for _, in := range f.instances {
		in.mu.Lock()
		for _, x := range in.runs {
			r.printf("%s runs %s for %.3f s, cut: %t", in.id, x.id, x.to.Sub(x.from).Seconds(), x.cut)
			at, left := closedAt[x.id]
			if !left {
				continue
			}
			if x.from.After(at.Add(leftLate)) {
				arrivedLate++
				r.printf("%s began %.3f s after its client had left", x.id, x.from.Sub(at).Seconds())
				continue
			}
			if strings.HasSuffix(x.id, "-a") {
				lasting++
				if x.to.After(at.Add(leftLate)) {
					late++
				}
			}
		}
		in.mu.Unlock()
	}
	r.printf("of %d idempotent requests that would have lasted so long, %d were at work half a second after the close; %d requests began later than that", lasting, late, arrivedLate)
	return late*4 > lasting || arrivedLate > 3
}
