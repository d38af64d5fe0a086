package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["large"] = large }

// large: another writer writes 40 large entries of kind servers, in which all fields are missing. Four
// seconds later two of the ten instances report that they drain.
func large(s *setup) (verdict, error) {
	const drain = 2 * time.Second
	var mu sync.Mutex
	ran := make(map[string]Run)
	f, servers, err := s.basic([]string{"nbi-a/nairobi", "nbi-a/nairobi", "msa-a/mombasa"}, 10, func(v *Server) { v.Work = 40 * time.Millisecond }, func(r Run) {
		mu.Lock()
		ran[r.ID] = r
		mu.Unlock()
	}, configuration("r3", 2000, 0, "k"))
	if err != nil {
		return failed, err
	}
	if s.trouble {
		other := json.RawMessage(`{"note":"` + strings.Repeat("x", 1000000) + `"}`)
		for i := range 40 {
			f.Store.Put("servers", fmt.Sprintf("other-%02d", i), other)
		}
		s.record.Add("another writer wrote 40 entries of 1,000,000 bytes, in which all fields are missing")
	}
	time.Sleep(4 * time.Second)
	leaving := make(map[string]bool)
	for _, srv := range servers[:2] {
		s.stopBeat(srv.ID)
		leaving[srv.ID] = true
	}
	for _, srv := range servers[:2] {
		f.Store.Put("servers", srv.ID, srv.Entry("draining", 1000))
		s.record.Add("store acknowledged that %s drains", srv.ID)
	}
	acknowledged := time.Now()
	var clients sync.WaitGroup
	late := 0
	for c := range 12 {
		clients.Go(func() {
			h := f.Hosts[c%len(f.Hosts)]
			method, path := "GET", "/look/1"
			if c%2 == 0 {
				method, path = "POST", "/pay/1"
			}
			for n := 0; time.Since(acknowledged) < 10*time.Second; n++ {
				id := fmt.Sprintf("q%d-%d", c, n)
				sent := time.Since(acknowledged)
				r := Ask(h.Front, method, path, id, "k", time.Second, nil)
				mu.Lock()
				run, did := ran[id]
				if did && leaving[run.Server] && run.At.Sub(acknowledged) > drain {
					late++
				}
				mu.Unlock()
				s.record.Add("%s %s sent %.3f s after the acknowledgement to %s: status %d, ran %t %s", id, path, sent.Seconds(), h.Name, r.Status, did, run.Server)
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	s.record.Add("%d requests reached an instance more than %s after the acknowledgement that it drains", late, drain)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
