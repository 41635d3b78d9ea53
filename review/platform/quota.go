package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times and rates of the case quota.
const (
	quotaRate   = 100 // rate-per-s and burst of each tenant
	quotaWindow = 5 * time.Second
	// usualRate is what a tenant usually sends in a second: its limit is 1.6 times that.
	usualRate = quotaRate / 1.6
	// hotFactor is how many times that the hot tenant sends for hotFor.
	hotFactor = 7.7
	hotFor    = 9 * time.Second
	calmFor   = 4 * time.Second
	hotRounds = 3
	// In each hot time one machine stands still for freezeFor.
	freezeAfter = 1600 * time.Millisecond
	freezeFor   = 600 * time.Millisecond
)

// tenantLoad sends requests of a tenant.
type tenantLoad struct {
	instances []*instance
	sent      sync.Map // when each request was sent
	all       sync.WaitGroup
}

// run sends the given number of requests a second, evenly to all machines, until a time. No
// client waits for the requests of another one.
func (l *tenantLoad) run(tenant, name string, perSecond float64, until time.Time) {
	const clientsPerMachine = 4
	clients := clientsPerMachine * len(l.instances)
	pause := time.Duration(float64(clients) / perSecond * float64(time.Second))
	for k := range clients {
		l.all.Go(func() {
			c := newClient()
			time.Sleep(pause * time.Duration(k) / time.Duration(clients))
			for n := 0; time.Now().Before(until); n++ {
				next := time.Now().Add(pause)
				id := fmt.Sprintf("%s-%s-%d-%d", tenant, name, k, n)
				l.sent.Store(id, time.Now())
				c.send(l.instances[k%len(l.instances)], id, "GET", fmt.Sprintf("/read/%d", n%30), "key-"+tenant, fmt.Sprint(n%30), "", 1200*time.Millisecond)
				time.Sleep(time.Until(next))
			}
		})
	}
}

// quota freezes one machine for a moment while a tenant sends more than its limit.
func quota(root, folder string, rec *record, trouble bool) bool {
	s := newStore()
	address := s.serve()
	group := &service{store: s, rec: rec}
	tenants := []string{"tenant0", "tenant1", "tenant2", "tenant3"}
	keys := map[string][]string{}
	for _, t := range tenants {
		keys[t] = []string{"key-" + t}
	}
	tenantRate = quotaRate
	s.put("op/config", configuration{version: 1, routes: []route{{"read", "/read/", "catalogue", "idempotent", 1.2}}, services: []string{"catalogue"}, keys: keys}.value())
	for k := range 6 {
		e := &endpoint{service: group, name: fmt.Sprint("e", k+1), group: "catalogue", zone: "zone-a", slots: 9,
			work: func(*http.Request) time.Duration { return 5 * time.Millisecond }}
		e.start()
	}
	instances := newInstances(folder, map[string]string{"zone-a": "region-a"}, []string{"zone-a", "zone-a"}, func(int) string { return address }, bounds)
	startAll(root, folder, instances, rec)
	time.Sleep(4 * time.Second)

	load := &tenantLoad{instances: instances}
	end := time.Now().Add(hotRounds * (hotFor + calmFor))
	hot, frozen := tenants[1], instances[1]
	for _, t := range tenants {
		load.run(t, "usual", usualRate, end)
	}
	for round := range hotRounds {
		until := time.Now().Add(hotFor)
		rec.add("%s sends %.1f times its usual", hot, hotFactor)
		load.run(hot, fmt.Sprint("hot", round), (hotFactor-1)*usualRate, until)
		if trouble {
			time.Sleep(freezeAfter)
			frozen.signal(syscall.SIGSTOP)
			rec.add("%s is frozen", frozen.name)
			time.Sleep(freezeFor)
			frozen.signal(syscall.SIGCONT)
			rec.add("%s goes on", frozen.name)
		}
		time.Sleep(time.Until(until) + calmFor)
	}
	load.all.Wait()
	return judgeQuota(group, rec, load, tenants)
}

// judgeQuota reports whether more requests of a tenant than the rule allows were both sent and
// arrived within a window.
func judgeQuota(group *service, rec *record, load *tenantLoad, tenants []string) bool {
	const over, slack = 0.1, 20
	allowed := (1+over)*(quotaRate*quotaWindow.Seconds()+quotaRate) + slack
	group.mu.Lock()
	defer group.mu.Unlock()
	broken := false
	for _, t := range tenants {
		type arrival struct{ sent, at time.Time }
		var arrivals []arrival
		for _, r := range group.runs {
			if r.executed && strings.HasPrefix(r.attempt, t+"-") {
				sent, _ := load.sent.Load(r.attempt)
				arrivals = append(arrivals, arrival{sent.(time.Time), r.at})
			}
		}
		slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
		most, mostAt, first := 0, time.Time{}, 0
		for last := range arrivals {
			for arrivals[last].at.Sub(arrivals[first].at) >= quotaWindow {
				first++
			}
			n := 0
			for _, a := range arrivals[first : last+1] {
				if !a.sent.Before(arrivals[first].at) {
					n++
				}
			}
			if n > most {
				most, mostAt = n, arrivals[first].at
			}
		}
		rec.add("%s: %d requests ran, %d of them sent and arrived within quota-window-s from %.3f s on; %.0f are allowed",
			t, len(arrivals), most, mostAt.Sub(rec.start).Seconds(), allowed)
		broken = broken || float64(most) > allowed
	}
	return broken
}
