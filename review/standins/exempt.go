package main

import (
	"fmt"
	"os"
	"time"
)

// exempt: while a machine is partitioned from the store, the operator replaces a route that
// needs no key by one with the same prefix that needs one, and gives a tenant's key to another
// tenant. A client of that one then uses the key on the new route, and on an older one that
// always needed a key.
func exempt(trouble bool, out *record) bool {
	const key, revoke, cutTime = "i9n73hh2b9wu3fexd9dn", 5 * time.Second, 5500 * time.Millisecond
	dir, err := os.MkdirTemp("", "review")
	check(err)
	defer os.RemoveAll(dir)
	s := startStore()
	s.writeConfig(configuration{version: 7, keys: []string{key}, open: "open-lookups", exempt: true})
	record := new(runs)
	for i := range 4 {
		startInstance(s, i, 6, 20*time.Millisecond, record)
	}
	path := startLink(s.address)
	h := startHost(dir, path.address, 1)
	if !h.awaitReady(10 * time.Second) {
		check(fmt.Errorf("the host is not ready"))
	}
	time.Sleep(4 * time.Second) // longer than contact
	start := time.Now()
	if trouble {
		path.startCut()
	}
	time.Sleep(50 * time.Millisecond)
	acked := s.writeConfig(configuration{version: 9, keys: []string{}, second: []string{key}, open: "tenant-lookups"})
	log := new(requestLog)
	c := &client{address: h.front}
	for i := 0; time.Since(start) < cutTime; i++ {
		c.send(request{id: fmt.Sprintf("new-route-%d", i), key: key}, "GET", "/open/2f", nil, 2*time.Second, log)
		c.send(request{id: fmt.Sprintf("old-route-%d", i), key: key}, "GET", "/look/2f", nil, 2*time.Second, log)
		time.Sleep(20 * time.Millisecond)
	}
	if trouble {
		path.heal()
	}
	tenants := make(map[string]string)
	for _, r := range record.all() {
		tenants[r.id] = r.tenant
	}
	broken := 0
	for _, r := range log.all() {
		after := r.sentAt.Sub(acked)
		tenant, ran := tenants[r.id]
		if ran && after > revoke && tenant == "kaje80" {
			broken++
		}
	}
	out.printf("%d requests, sent later than %v after the acknowledgement, ran for kaje80, which holds the key no more", broken, revoke)
	out.addAll(log, record, start)
	return broken == 0
}
