package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// bigconfig: the operator takes a key away, four times. The configuration is nearly as large as
// a value of the store may be; without the disruption it has a few tenants.
func bigconfig(trouble bool, out *record) bool {
	const configApply = 2 * time.Second
	count, others := 36, 8
	if trouble {
		others = 22400
	}
	start := time.Now()
	dir, err := os.MkdirTemp("", "review")
	check(err)
	defer os.RemoveAll(dir)
	s := startStore()
	var rows [][]any
	for i := range others {
		rows = append(rows, []any{fmt.Sprintf("t%05d", i), []string{fmt.Sprintf("key%017d", i)}, 1, 640, 640})
	}
	keys := []string{"key-1", "key-2", "key-3", "key-4", "key-5"}
	s.writeConfig(configuration{version: 7, keys: keys, others: rows})
	out.printf("the configuration has %d bytes; the limit for a value is 1048576", len(s.objects["config/main"].Spec))
	record := new(runs)
	for i := range 8 {
		startInstance(s, i, 60, 20*time.Millisecond, record)
	}
	var hosts []*host
	for i := range count {
		h := startHostIn(dir, s.address, i, i%len(zones))
		hosts = append(hosts, h)
	}
	for _, h := range hosts {
		if !h.awaitReady(20 * time.Second) {
			check(fmt.Errorf("%s is not ready", h.name))
		}
	}
	time.Sleep(8 * time.Second)
	log := new(requestLog)
	broken := 0
	for round := range 4 {
		dead := keys[len(keys)-1]
		keys = keys[:len(keys)-1]
		var wait sync.WaitGroup
		acked := s.writeConfig(configuration{version: 9 + 2*round, keys: keys, others: rows})
		for _, h := range hosts {
			wait.Go(func() {
				c := &client{address: h.front}
				defer c.close()
				for i := 0; time.Since(acked) < 5*time.Second; i++ {
					c.send(request{id: fmt.Sprintf("%s-%d-%d", h.name, round, i), key: dead}, "GET", "/look/1", nil, 2*time.Second, log)
					time.Sleep(150 * time.Millisecond)
				}
			})
		}
		wait.Wait()
		ran := make(map[string]bool)
		for _, r := range record.all() {
			ran[r.id] = true
		}
		late, last := 0, time.Duration(0)
		for _, r := range log.all() {
			after := r.sentAt.Sub(acked)
			if r.key != dead || !ran[r.id] {
				continue
			}
			last = max(last, after)
			if after > configApply {
				late++
			}
		}
		out.printf("change %d: the last request with the key taken away that ran was sent %v after the acknowledgement; %d later than %v", round, last, late, configApply)
		broken += late
		time.Sleep(4 * time.Second) // longer than contact
	}
	for _, h := range hosts {
		for _, e := range h.endings() {
			out.printf("end of the process of %s: %s", h.name, e)
		}
	}
	out.addAll(log, record, start)
	return broken == 0
}
