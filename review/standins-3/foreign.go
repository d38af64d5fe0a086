package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["foreign"] = foreign }

// foreign: another writer writes an entry of kind servers in which fields are missing:
// configVersion, cold and seq. It stands under the id of an instance of another service, until
// that instance's next beat.
func foreign(s *setup) (verdict, error) {
	var mu sync.Mutex
	ran := make(map[string]Run)
	onRun := func(r Run) {
		s.record.Add("%s %s %s runs at %s", r.ID, r.Method, r.Path, r.Server)
		mu.Lock()
		ran[r.ID] = r
		mu.Unlock()
	}
	cfg := configuration("r3", 2000, 0, "k")
	rows := cfg["routes"].(map[string]any)["rows"].([][]any)
	cfg["routes"].(map[string]any)["rows"] = append(rows, []any{"r-cert", routeHost, "/cert/", "idempotent", "2000ms", "1000ms", 2, "archive", 2, false, nil})
	cfg["services"].(map[string]any)["rows"] = [][]any{{"ledger", "/health", 330, "h1", false}, {"archive", "/health", 330, "h1", false}}
	var archive *Server
	f, servers, err := s.basic([]string{"nbi-a/nairobi", "nbi-a/nairobi", "msa-a/mombasa"}, 4, func(v *Server) {
		v.Work = 150 * time.Millisecond
		if v.ID == "i-3" {
			v.Service, archive = "archive", v
		}
	}, onRun, cfg)
	if err != nil {
		return failed, err
	}
	s.record.Add("%d instances; %s is the one of the service archive", len(servers), archive.ID)
	var sent atomic.Int64
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 24 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				h := f.Hosts[c%len(f.Hosts)]
				id, method, path := fmt.Sprintf("q%d-%d", c, n), "GET", "/look/1"
				if c%2 == 0 {
					method, path = "POST", "/pay/1"
				}
				r := Ask(h.Front, method, path, id, "k", time.Second, nil)
				sent.Add(1)
				s.record.Add("%s %s %s sent to %s: status %d", id, method, path, h.Name, r.Status)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for range 3 {
		time.Sleep(2 * time.Second)
		if !s.trouble {
			continue
		}
		f.Store.Put("servers", archive.ID, map[string]any{"service": "ledger", "address": archive.Address, "zone": archive.Zone, "slots": 6, "state": "ready", "born": archive.Born})
		s.record.Add("another writer wrote the entry %s: service ledger, address, zone, slots, state and born; configVersion, cold and seq are missing", archive.ID)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	wrong := 0
	mu.Lock()
	for id, r := range ran {
		if r.Server == archive.ID {
			s.record.Add("%s %s was run by %s of the service archive; all configurations let it go to ledger only", id, r.Path, r.Server)
			wrong++
		}
	}
	mu.Unlock()
	s.record.Add("%d requests sent, %d run by another service than the route's", sent.Load(), wrong)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}
