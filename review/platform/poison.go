package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// poison sends a request that crashes each endpoint that begins to run it, again and again.
// It returns the number of retries that reached endpoints although the rule forbids them.
func poison(root, folder string, rec *record, trouble bool) bool {
	const (
		contact = 3 * time.Second
		down    = 3 * time.Second
		length  = 45 * time.Second
		// The request comes again each second at first, and then more often.
		firstPeriod, period = time.Second, 300 * time.Millisecond
	)
	s := newStore()
	address := s.serve()
	group := &service{store: s, rec: rec}
	const poisonTarget = "/order/17"
	s.put("op/config", configuration{version: 1,
		routes:   []route{{"read", "/read/", "publication", "idempotent", 1.2}, {"order", "/order/", "publication", "non_idempotent", 1.5}},
		services: []string{"publication"}, keys: map[string][]string{"azul": {"key-azul"}}}.value())
	for n := range 3 {
		e := &endpoint{service: group, name: fmt.Sprint("e", n+1), group: "publication", zone: []string{"zone-a", "zone-b"}[n%2], slots: 3, down: down,
			work:    func(*http.Request) time.Duration { return 50 * time.Millisecond },
			crashes: func(r *http.Request) bool { return trouble && strings.HasPrefix(r.RequestURI, poisonTarget) }}
		e.start()
	}
	instances := newInstances(folder, map[string]string{"zone-a": "region-a", "zone-b": "region-a"}, []string{"zone-a", "zone-b"},
		func(int) string { return address }, bounds)
	startAll(root, folder, instances, rec)
	time.Sleep(contact + time.Second)

	c := newClient()
	begin := time.Now()
	served, sent := 0, 0
	done := make(chan struct{})
	go func() { // the other callers
		defer close(done)
		for n := 0; time.Since(begin) < length; n++ {
			res := c.send(instances[n%2], fmt.Sprintf("read-%d", n), "GET", fmt.Sprintf("/read/%d", n%20), "key-azul", fmt.Sprint(n%20), "", 1200*time.Millisecond)
			sent++
			if res.status == http.StatusOK {
				served++
			}
			time.Sleep(500 * time.Millisecond)
		}
	}()
	var attempts sync.Map // when each attempt was sent
	for n := 0; time.Since(begin) < length; n++ {
		go order(c, instances, rec, &attempts, n, poisonTarget)
		if n < 3 {
			time.Sleep(firstPeriod)
		} else {
			time.Sleep(period)
		}
	}
	<-done
	time.Sleep(2 * time.Second)
	return judgePoison(group, rec, &attempts, contact, served, sent)
}

// order sends the request, and once more at the other machine if it is promised that the
// request has not run and the client can wait as long as it is asked to.
func order(c *client, instances []*instance, rec *record, attempts *sync.Map, n int, target string) {
	deadline := time.Now().Add(1500 * time.Millisecond)
	for try := range 2 {
		attempt := fmt.Sprintf("order-%d-%d", n, try)
		at := time.Now()
		attempts.Store(attempt, at)
		i := instances[(n+try)%len(instances)]
		res := c.send(i, attempt, "POST", target, "key-azul", "17", "one order", time.Until(deadline))
		rec.add("client: %s, sent to %s at %.3f s, gets %d %s", attempt, i.name, at.Sub(rec.start).Seconds(), res.status, oneLine(res))
		if res.status != http.StatusServiceUnavailable && res.status != http.StatusTooManyRequests {
			return
		}
		if res.retryAfter > time.Until(deadline)/3 {
			return
		}
		time.Sleep(res.retryAfter)
	}
}

// judgePoison counts the retries that reached endpoints and were sent later than contact-s
// after the request had crashed its third endpoint.
func judgePoison(group *service, rec *record, attempts *sync.Map, contact time.Duration, served, sent int) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	var third time.Time
	crashed := map[string]bool{}
	late := map[string]bool{}
	for _, r := range group.runs {
		if !r.crashed {
			continue
		}
		if len(crashed) < 3 {
			crashed[r.endpoint] = true
			if len(crashed) == 3 {
				third = r.at
				rec.addAt(r.at, "the request has crashed its third endpoint")
			}
			continue
		}
		sentAt, _ := attempts.Load(r.attempt)
		if sentAt.(time.Time).After(third.Add(contact)) {
			late[r.attempt] = true
			rec.addAt(r.at, "retry %s reaches endpoint %s, %.1f s after that", r.attempt, r.endpoint, r.at.Sub(third).Seconds())
		}
	}
	rec.add("%d of %d other requests were served", served, sent)
	rec.add("%d retries that were sent over contact-s after the third crash reached endpoints; three are allowed", len(late))
	return len(late) > 3
}

func oneLine(res result) string {
	if res.err != nil {
		return res.err.Error()
	}
	return strings.ReplaceAll(res.body, "\n", " ")
}
