package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// stale takes keys away while the first machine of a region is cut off from the store, and
// sends requests with these keys to the other machines.
func stale(root, folder string, rec *record, trouble bool) bool {
	const (
		contact = 3 * time.Second
		apply   = 2 * time.Second
		cutFor  = 4 * time.Second
		rounds  = 12
	)
	s := newStore()
	address := s.serve()
	group := &service{store: s, rec: rec}
	version := 1
	write := func(keys ...string) time.Time {
		version++
		return s.put("op/config", configuration{version: version,
			routes:   []route{{"read", "/read/", "catalogue", "idempotent", 1.2}},
			services: []string{"catalogue"}, keys: map[string][]string{"azul": append([]string{"key-azul"}, keys...)}}.value())
	}
	write()
	for n := range 4 {
		e := &endpoint{service: group, name: fmt.Sprint("e", n+1), group: "catalogue", zone: []string{"zone-a", "zone-b"}[n%2], slots: 9,
			work: func(*http.Request) time.Duration { return 5 * time.Millisecond }}
		e.start()
	}
	placed := []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-b"}
	var proxies []*proxy
	for range placed {
		proxies = append(proxies, newProxy(address))
	}
	instances := newInstances(folder, map[string]string{"zone-a": "region-a", "zone-b": "region-a"}, placed,
		func(n int) string { return proxies[n].address }, bounds)
	startAll(root, folder, instances, rec)
	time.Sleep(contact + time.Second)

	c := newClient()
	late, worst := 0, time.Duration(0)
	for round := range rounds {
		key := fmt.Sprintf("key-%d", round)
		write(key)
		time.Sleep(contact)
		write(key, "key-of-another-desk") // the operator adds a key ...
		time.Sleep(10 * time.Millisecond)
		if trouble {
			proxies[0].setCut(true)
			rec.add("%s is cut off from the store", instances[0].name)
		}
		revokedAt := write("key-of-another-desk") // ... and takes one away
		rec.addAt(revokedAt, "the store confirms version %08x, which takes %s away", version, key)
		var wg sync.WaitGroup
		var mu sync.Mutex
		for n, i := range instances[1:] {
			wg.Go(func() {
				for try := 0; time.Since(revokedAt) < cutFor; try++ {
					res := c.send(i, fmt.Sprintf("r%d-%d-%d", round, n, try), "GET", "/read/1", key, "1", "", 1200*time.Millisecond)
					if age := res.sentAt.Sub(revokedAt); res.status == http.StatusOK && age > apply {
						mu.Lock()
						late++
						worst = max(worst, age)
						mu.Unlock()
						rec.add("request r%d-%d-%d with %s, sent to %s %.3f s after that, has run: 200", round, n, try, key, i.name, age.Seconds())
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
		wg.Wait()
		proxies[0].setCut(false)
		rec.add("%s reaches the store again", instances[0].name)
	}
	rec.add("%d requests with a dropped key ran that were sent over apply-s after the confirmation, the last one %.3f s after it", late, worst.Seconds())
	return late > 0
}
