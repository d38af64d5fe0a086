package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["weights"] = weights }

// weights: the operator writes a configuration that splits a route by the weights 90.0 and 10.0 and
// takes a key away. Without the trouble the weights are written as 90 and 10.
func weights(s *setup) (verdict, error) {
	const revoke = 5 * time.Second
	var mu sync.Mutex
	ran := make(map[string]Run)
	f, _, err := s.basic([]string{"nbi-a/nairobi", "nbi-a/nairobi", "msa-a/mombasa"}, 3, func(*Server) {}, func(r Run) {
		mu.Lock()
		ran[r.ID] = r
		mu.Unlock()
	}, configuration("r3", 2000, 0, "key-old", "key-kept"))
	if err != nil {
		return failed, err
	}
	for _, h := range f.Hosts {
		if r := Ask(h.Front, "GET", "/look/1", "before-"+h.Name, "key-old", time.Second, nil); r.Status != 200 {
			return failed, fmt.Errorf("%s answered %d before the withdrawal", h.Name, r.Status)
		}
	}
	next := configuration("r5", 2000, 0, "key-kept")
	rows := next["routes"].(map[string]any)["rows"].([][]any)
	split := json.RawMessage(`[{"service":"ledger","weight":90},{"service":"archive","weight":10}]`)
	if s.trouble {
		split = json.RawMessage(`[{"service":"ledger","weight":90.0},{"service":"archive","weight":10.0}]`)
	}
	rows[0][7], rows[0][10] = nil, split
	next["services"].(map[string]any)["rows"] = [][]any{{"ledger", "/health", 330, "h1", false}, {"archive", "/health", 330, "h1", false}}
	f.Store.Put("config", "main", next)
	acknowledged := time.Now()
	s.record.Add("store acknowledged r5, which splits /look/ by %s and takes key-old away", split)
	late, ready := 0, 0
	for n := 0; time.Since(acknowledged) < 20*time.Second; n++ {
		for _, h := range f.Hosts {
			id := fmt.Sprintf("q%d-%s", n, h.Name)
			sent := time.Since(acknowledged)
			r := Ask(h.Front, "POST", "/pay/1", id, "key-old", time.Second, nil)
			mu.Lock()
			run, did := ran[id]
			mu.Unlock()
			s.record.Add("%s sent with key-old %.3f s after the acknowledgement: status %d, ran %t %s", id, sent.Seconds(), r.Status, did, run.Server)
			if did && sent > revoke {
				late++
				if h.IsReady() {
					ready++
				}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.record.Add("%d requests with key-old ran that were sent more than %s after the acknowledgement, %d of them at hosts that said they were ready", late, revoke, ready)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
