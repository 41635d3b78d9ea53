package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// stress: strange but proper callers and endpoints beside planned work.
func stress(program, folder string, seconds int, hard bool) error {
	s := newStore()
	seen := newRuns()
	zones := []zone{{"a-1", "a"}, {"b-1", "b"}}
	f, err := newFleet(program, folder, zones, 2, []string{"grace-s=6", "retry-ratio=0.2", "retry-burst=56", "quota-window-s=5", "drain-s=2.5", "apply-s=2.5", "evacuate-s=5", "ttl_max_s=5", "max-shift=0.15", "contact-s=4"}, s)
	if err != nil {
		return err
	}
	defer f.killAll()
	var endpoints []*endpoint
	for _, z := range zones {
		for n := range 4 {
			e, err := newEndpoint(fmt.Sprintf("i-%s-%d", z.name, n), "files", z.name, 9, seen)
			if err != nil {
				return err
			}
			e.work = func(x *run) time.Duration {
				d := time.Duration(rand.IntN(120)) * time.Millisecond
				if rand.IntN(6) == 0 {
					d = time.Duration(rand.IntN(3500)) * time.Millisecond
				}
				return d
			}
			e.mood = func(x *run) string {
				h := uint32(0)
				for _, c := range x.id {
					h = h*31 + uint32(c)
				}
				moods := []string{"", "", "", "", "", "", "unframed", "chunked", "close", "extra", "slowly"}
				if hard {
					moods = append(moods, "lost", "cut", "fail", "shed")
				}
				return moods[h%uint32(len(moods))]
			}
			endpoints = append(endpoints, e)
			e.register(s, "ready")
		}
	}
	const host, key = "desk.example", "key-1"
	version := 1
	write := func() {
		s.put("op/config", configuration(version, []route{
			{Host: host, Prefix: "/read/", Kind: "idempotent", Service: "files", TimeoutS: 2.5, GoalS: 0.4, MaxAttempts: 2, Sticky: true},
			{Host: host, Prefix: "/act/", Kind: "non_idempotent", Service: "files", TimeoutS: 3, GoalS: 0.5, MaxAttempts: 2},
		}, []string{"files"}, []tenant{{"t1", []string{"key-1"}, 100000, 100000}}))
		version += 3
	}
	write()
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(time.Second)
	var rec record
	var stopped atomic.Bool
	var callers sync.WaitGroup
	var counter atomic.Int64
	newAttempt := func() *attempt {
		n := counter.Add(1)
		a := &attempt{id: fmt.Sprintf("%016x", n), deadline: 2500 * time.Millisecond, idempotent: rand.IntN(2) == 0}
		if a.idempotent {
			a.method, a.target = "GET", fmt.Sprintf("/read/%d?x=%d", rand.IntN(50), n)
		} else {
			a.method, a.target, a.body = "POST", fmt.Sprintf("/act/%d", n), fmt.Sprint("body ", n, padding(rand.IntN(9000)))
			a.deadline = 3 * time.Second
		}
		return a
	}
	for i := range 60 {
		callers.Go(func() {
			var c *connection
			for !stopped.Load() {
				if c == nil || c.closing {
					if c != nil {
						c.close()
					}
					m := f.machines[rand.IntN(len(f.machines))]
					var err error
					if c, err = dial(m); err != nil {
						c = nil
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				switch {
				case i%4 == 0 && rand.IntN(2) == 0: // pipelined idempotent requests
					var chain []*attempt
					text := ""
					for range 2 + rand.IntN(3) {
						a := newAttempt()
						a.idempotent, a.method, a.body, a.target, a.deadline = true, "GET", "", "/read/"+a.id, 2500*time.Millisecond
						a.sentAt, a.machine, a.position, a.kept = time.Now(), c.m.name, len(chain)+c.used, c.used > 0
						text += a.encode(host, key, false)
						chain = append(chain, a)
					}
					if c.send(&attempt{}, text, 1+rand.IntN(3), time.Duration(rand.IntN(40))*time.Millisecond) != nil {
						c.close()
						c = nil
						continue
					}
					last := time.Now()
					for n, a := range chain {
						a.lastByteAt = last
						if n > 0 && c.closing {
							a.err, a.endedAt = "behind a closing answer", time.Now()
							rec.add(a)
							continue
						}
						c.receive(a, last.Add(3500*time.Millisecond))
						rec.add(a)
						if a.status == 0 {
							for _, b := range chain[n+1:] {
								b.err, b.endedAt = "behind a lost answer", time.Now()
								rec.add(b)
							}
							c.close()
							c = nil
							break
						}
					}
				default:
					a := newAttempt()
					parts := 1
					if rand.IntN(6) == 0 {
						parts = 2 + rand.IntN(3)
					}
					wait := a.deadline + time.Second
					if rand.IntN(4) == 0 {
						wait = time.Duration(rand.IntN(300)) * time.Millisecond
					}
					if err := c.send(a, a.encode(host, key, rand.IntN(3) == 0), parts, time.Duration(rand.IntN(60))*time.Millisecond); err != nil {
						a.err, a.endedAt = err.Error(), time.Now()
						rec.add(a)
						c.close()
						c = nil
						continue
					}
					c.receive(a, a.sentAt.Add(wait))
					rec.add(a)
					if a.status == 0 || rand.IntN(8) == 0 {
						c.close()
						c = nil
					}
				}
				time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
			}
		})
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for turn := 0; time.Now().Before(end); turn++ {
		m := f.machines[turn%len(f.machines)]
		if hard && turn%2 == 1 {
			if err := f.disturb(s, m); err != nil {
				return err
			}
			continue
		}
		switch turn % 3 {
		case 0, 1:
			m.stop(6 * time.Second)
			if err := f.start(m); err != nil {
				return err
			}
			m.awaitReady(10 * time.Second)
		case 2:
			for range 5 {
				m.signal(syscall.SIGHUP)
				write()
				e := endpoints[rand.IntN(len(endpoints))]
				e.register(s, "draining")
				time.Sleep(400 * time.Millisecond)
				e.register(s, "ready")
			}
		}
	}
	stopped.Store(true)
	callers.Wait()
	time.Sleep(500 * time.Millisecond)
	judge(f, &rec, seen)
	return nil
}

// disturb kills a machine, lets it stand still, or turns it away from the store.
func (f *fleet) disturb(s *store, m *machine) error {
	switch rand.IntN(3) {
	case 0:
		m.signal(syscall.SIGKILL)
		<-m.exited
		if err := f.start(m); err != nil {
			return err
		}
		m.awaitReady(10 * time.Second)
	case 1:
		m.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
		m.signal(syscall.SIGCONT)
	case 2:
		s.setSilent(m.store, true)
		time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
		s.setSilent(m.store, false)
	}
	return nil
}

// judge prints what broke a rule.
func judge(f *fleet, rec *record, seen *runs) {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	sent := map[string]*attempt{}
	for _, a := range rec.all {
		sent[a.id] = a
	}
	counts := map[string]int{}
	note := func(rule string, format string, args ...any) {
		counts[rule]++
		if counts[rule] <= 8 {
			fmt.Printf("%s: %s\n", rule, fmt.Sprintf(format, args...))
		}
	}
	for id, list := range seen.byID {
		a := sent[id]
		if a == nil {
			continue // its caller had not recorded it at the end
		}
		executed := 0
		for _, x := range list {
			if x.executed {
				executed++
			}
			if x.method != a.method || x.target != a.target || x.body != a.body || x.tenant != "t1" {
				note("UNASKED", "%s %s %s body %d/%d tenant %s", id, x.method, x.target, len(x.body), len(a.body), x.tenant)
			}
		}
		if !a.idempotent && executed > 1 {
			note("TWICE", "%s ran %d times", id, executed)
		}
		if !a.idempotent && executed > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			note("REFUSED", "%s got %d and ran", id, a.status)
		}
	}
	statuses := map[string]int{}
	for _, a := range rec.all {
		label := fmt.Sprint(a.status)
		if a.status == 0 {
			label = "none: " + firstWord(a.err)
		}
		statuses[label]++
		list := seen.byID[a.id]
		if a.status >= 200 && a.status < 300 {
			ok := false
			for _, x := range list {
				ok = ok || x.sent == a.answer && x.status == a.status && a.stamp == x.endpoint+"."+x.id
			}
			if !ok {
				note("MIXED", "%s got %q stamp %q", a.id, a.answer[:min(len(a.answer), 60)], a.stamp)
			}
		}
		if a.gaveUp && a.idempotent {
			counts["gave up"]++
			for _, x := range list {
				if x.executed && !x.endedAt.IsZero() && x.endedAt.Sub(a.endedAt) > 500*time.Millisecond {
					note("GONE", "%s at %s position %d ended %v after", a.id, x.endpoint, a.position, x.endedAt.Sub(a.endedAt))
				}
				if x.arrivedAt.Sub(a.endedAt) > 500*time.Millisecond {
					note("GONE arrival", "%s at %s arrived %v after", a.id, x.endpoint, x.arrivedAt.Sub(a.endedAt))
				}
			}
		}
		if a.status != 0 && a.endedAt.Sub(a.sentAt) > a.deadline+500*time.Millisecond && a.position == 0 {
			note("late answer", "%s %d after %v, sent in %v", a.id, a.status, a.endedAt.Sub(a.sentAt), a.lastByteAt.Sub(a.sentAt))
		}
		if a.status != 0 || a.gaveUp || a.lastByteAt.IsZero() {
			continue
		}
		whole := false
		for _, x := range list {
			whole = whole || !x.brokeOff
		}
		if whole {
			note("LOST", "%s %s at %s position %d: %s, partial %v, after %v; %s", a.id, a.method, a.machine, a.position, a.err, a.partial, a.endedAt.Sub(a.lastByteAt), f.planned(a))
		} else if late := a.endedAt.Sub(a.lastByteAt); late > 200*time.Millisecond && len(list) == 0 && a.err != "behind a closing answer" {
			note("LOST unread", "%s %s at %s position %d: %s after %v; %s", a.id, a.method, a.machine, a.position, a.err, late, f.planned(a))
		}
	}
	fmt.Println("attempts", len(rec.all), "statuses", statuses, "findings", counts)
}

// planned describes the planned work at the machine near an attempt.
func (f *fleet) planned(a *attempt) string {
	for _, m := range f.machines {
		if m.name != a.machine {
			continue
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, at := range m.stops {
			if d := a.endedAt.Sub(at); d > -time.Second && d < 8*time.Second {
				return fmt.Sprintf("sent %v after SIGTERM, ended %v after it", a.sentAt.Sub(at), d)
			}
		}
	}
	return "no SIGTERM near"
}
