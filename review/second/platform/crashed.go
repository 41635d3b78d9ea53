package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// The figures of the case.
const (
	// crashing of the endpoints crash at the same time and are down for downFor.
	crashing, endpointsPerZone = 3, 11
	downFor                    = 4500 * time.Millisecond
	// calmAfter is how long after the crash the time begins that is judged, judgedFor its length.
	calmAfter, judgedFor = 15 * time.Second, 15 * time.Second
)

// crashedCase adds a route whose requests are all alike, lets three of 22 endpoints crash once,
// and compares how the requests of the route are served with those of the first route when all is
// calm again. It returns 1 if the rule CONFIG was broken.
func crashedCase(program, folder string, trouble bool, out *os.File) (int, error) {
	s, seen := newStore(), newRuns()
	f, err := newFleet(program, folder, []zone{{"sierra-quito", "sierra"}, {"costa-manta", "costa"}}, 2, cartasBounds, s)
	if err != nil {
		return 2, err
	}
	defer f.killAll()
	var endpoints []*endpoint
	add := func(z string) error {
		e, err := newEndpoint(fmt.Sprintf("i-%x", rand.Uint32()), "expedientes", z, 9, seen)
		if err != nil {
			return err
		}
		e.work = func(*run) time.Duration { return time.Duration(200+rand.IntN(200)) * time.Millisecond }
		e.register(s, "ready")
		endpoints = append(endpoints, e)
		return nil
	}
	for _, z := range f.zones {
		for range endpointsPerZone {
			if err := add(z.name); err != nil {
				return 2, err
			}
		}
	}
	const host, key = "letters.example", "key-1"
	first := route{Host: host, Prefix: "/read/", Kind: "idempotent", Service: "expedientes", TimeoutS: 2.5, GoalS: 0.4, MaxAttempts: 2, Priority: 2}
	added := first
	added.Prefix = "/index/"
	tenants := []tenant{{"kaje80", []string{key}, 2000, 2000}}
	s.put("op/config", configuration(1, []route{first}, []string{"expedientes"}, tenants))
	if err := f.startAll(); err != nil {
		return 2, err
	}
	time.Sleep(time.Second)
	s.put("op/config", configuration(3, []route{first, added}, []string{"expedientes"}, tenants))
	time.Sleep(contact + time.Second) // the route is in force and all machines are in touch
	begin := time.Now()
	var mu sync.Mutex
	var rec record
	var stopped atomic.Bool
	var callers sync.WaitGroup
	var next atomic.Int64
	for i := range 180 { // 120 of the added route, 60 of the first one
		callers.Go(func() {
			for !stopped.Load() {
				n := next.Add(1)
				a := &attempt{id: fmt.Sprintf("%016x", n), method: "GET", target: "/index/today", idempotent: true, deadline: 2500 * time.Millisecond}
				if i%3 == 0 {
					a.target = fmt.Sprint("/read/", n)
				}
				if c, err := dial(f.machines[i/3%len(f.machines)]); err == nil {
					if c.send(a, a.encode(host, key)) == nil {
						c.receive(a, a.sentAt.Add(a.deadline+time.Second))
					}
					c.close()
					rec.add(a)
				}
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	crashedAt := time.Now()
	if trouble {
		for _, n := range []int{0, 1, endpointsPerZone} {
			e := endpoints[n]
			fmt.Fprintf(out, "%7.3f s  endpoint %s crashes\n", time.Since(begin).Seconds(), e.id)
			e.crash()
			time.AfterFunc(downFor, func() {
				s.remove("servers/" + e.id)
				mu.Lock()
				defer mu.Unlock()
				_ = add(e.zone)
			})
		}
	}
	time.Sleep(calmAfter + judgedFor)
	stopped.Store(true)
	callers.Wait()
	return judgeRoutes(&rec, begin, crashedAt, out), nil
}

// judgeRoutes compares how the requests of both routes are served in the time that is judged.
func judgeRoutes(rec *record, begin, crashedAt time.Time, out *os.File) int {
	type count struct{ asked, served int }
	judged := map[string]*count{"/index/": {}, "/read/": {}}
	bySecond := map[int]map[string]int{}
	for _, a := range rec.all {
		prefix := "/read/"
		if a.target == "/index/today" {
			prefix = "/index/"
		}
		window := int(a.sentAt.Sub(begin).Seconds()) / 3 * 3
		if bySecond[window] == nil {
			bySecond[window] = map[string]int{}
		}
		bySecond[window][fmt.Sprint(prefix, " ", a.status)]++
		if a.sentAt.Before(crashedAt.Add(calmAfter)) {
			continue
		}
		judged[prefix].asked++
		if a.status == 200 {
			judged[prefix].served++
		}
	}
	for window := 0; bySecond[window] != nil; window += 3 {
		fmt.Fprintf(out, "from %2d s: requests by route and status %v\n", window, bySecond[window])
	}
	added, first := judged["/index/"], judged["/read/"]
	fmt.Fprintf(out, "from %.0f s after the crash on: %d of %d requests on the added route were served, %d of %d on the first one\n",
		calmAfter.Seconds(), added.served, added.asked, first.served, first.asked)
	if added.asked < 20 || first.served == 0 {
		return 2
	}
	if 4*added.served*first.asked < first.served*added.asked {
		return 1
	}
	return 0
}
