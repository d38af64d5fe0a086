package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restored"] = restored }

// restored: a key is withdrawn; then the store is away for a moment and comes back from a copy that
// is some seconds old, while the first host of the fleet is killed and started again.
func restored(s *setup) (verdict, error) {
	const revoke = 5 * time.Second
	var mu sync.Mutex
	ran := make(map[string]Run)
	f, _, err := s.basic([]string{"msa-a/mombasa", "nbi-a/nairobi", "nbi-a/nairobi", "nbi-a/nairobi"}, 3, func(*Server) {}, func(r Run) {
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
	first := f.Hosts[0]
	withdrawal := configuration("r5", 2000, 0, "key-kept")
	copied := f.Store.Copy()
	s.record.Add("copy of the store taken")
	time.Sleep(300 * time.Millisecond)
	f.Store.Put("config", "main", withdrawal)
	acknowledged := time.Now()
	s.record.Add("store acknowledged r5, which takes key-old away")
	if s.trouble {
		go trouble(f, first, &copied, acknowledged, withdrawal)
	}
	late := 0
	for n := 0; time.Since(acknowledged) < 9*time.Second; n++ {
		for _, h := range f.Hosts {
			id := fmt.Sprintf("q%d-%s", n, h.Name)
			sent := time.Since(acknowledged)
			r := Ask(h.Front, "GET", "/look/1", id, "key-old", time.Second, nil)
			mu.Lock()
			run, did := ran[id]
			mu.Unlock()
			s.record.Add("%s sent with key-old %.3f s after the acknowledgement: status %d, ran %t %s", id, sent.Seconds(), r.Status, did, run.Server)
			if did && sent > revoke {
				late++
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.record.Add("%d requests with key-old ran that were sent more than %s after the acknowledgement", late, revoke)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// trouble lets the store be away for 0.9 s and come back from the copy, which is 5.5 s old then. The
// first host is killed in that time and started again 0.8 s later. One second after the store's
// return the operator has written r5 again.
func trouble(f *Fleet, first *Host, copied *storeCopy, acknowledged time.Time, withdrawal any) {
	at := func(after time.Duration) { time.Sleep(time.Until(acknowledged.Add(after))) }
	at(4300 * time.Millisecond)
	f.Store.Leave()
	f.Record.Add("store away")
	at(4450 * time.Millisecond)
	f.Signal(first, syscall.SIGKILL)
	at(5200 * time.Millisecond)
	f.Store.Return(copied)
	f.Record.Add("store back from the copy")
	at(5250 * time.Millisecond)
	if err := f.Start(first); err != nil {
		f.Record.Add("%s: not started: %v", first.Name, err)
	}
	at(6200 * time.Millisecond)
	f.Store.Put("config", "main", withdrawal)
	f.Record.Add("operator has written r5 again")
}
