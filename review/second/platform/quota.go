package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// quotaTrial sends far more than a tenant's rate while machines are killed, stopped or stand
// still, and prints the largest number of runs in a window of quota-window-s. It is no case: no
// trial exceeded the bound.
func quotaTrial(program, folder, mode string, seconds int, out *os.File) error {
	const limit, burst = 60.0, 60.0
	s, seen := newStore(), newRuns()
	f, err := newFleet(program, folder, []zone{{"sierra-quito", "sierra"}, {"costa-manta", "costa"}}, 2, cartasBounds, s)
	if err != nil {
		return err
	}
	defer f.killAll()
	for _, z := range f.zones {
		for n := range 4 {
			e, err := newEndpoint(fmt.Sprintf("i-%s-%d", z.name, n), "expedientes", z.name, 9, seen)
			if err != nil {
				return err
			}
			e.work = func(*run) time.Duration { return 5 * time.Millisecond }
			e.register(s, "ready")
		}
	}
	s.put("op/config", configuration(1, []route{{Host: "letters.example", Prefix: "/read/", Kind: "idempotent", Service: "expedientes", TimeoutS: 2.5, GoalS: 0.4, MaxAttempts: 2}},
		[]string{"expedientes"}, []tenant{{"kaje80", []string{"key-1"}, limit, burst}}))
	if err := f.startAll(); err != nil {
		return err
	}
	var stopped atomic.Bool
	var callers sync.WaitGroup
	var next atomic.Int64
	for i := range 40 {
		callers.Go(func() {
			for !stopped.Load() {
				c, err := dial(f.machines[(i+rand.IntN(2)*2)%len(f.machines)])
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				for !stopped.Load() && !c.closing {
					a := &attempt{id: fmt.Sprintf("%016x", next.Add(1)), method: "GET", target: "/read/x", idempotent: true, deadline: 2500 * time.Millisecond}
					if c.send(a, a.encode("letters.example", "key-1", false), 1, 0) != nil {
						break
					}
					c.receive(a, time.Now().Add(3*time.Second))
					if a.status == 0 {
						break
					}
					time.Sleep(80 * time.Millisecond)
				}
				c.close()
			}
		})
	}
	end := time.Now().Add(time.Duration(seconds) * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		m := f.machines[rand.IntN(len(f.machines))]
		switch mode {
		case "kill":
			m.signal(syscall.SIGKILL)
			<-m.exited
			time.Sleep(300 * time.Millisecond)
			if err := f.start(m); err != nil {
				return err
			}
			time.Sleep(time.Duration(700+rand.IntN(900)) * time.Millisecond)
		case "freeze":
			m.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(300+rand.IntN(900)) * time.Millisecond)
			m.signal(syscall.SIGCONT)
			time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
		case "all":
			f.killAll()
			time.Sleep(300 * time.Millisecond)
			if err := f.startAll(); err != nil {
				return err
			}
			time.Sleep(1500 * time.Millisecond)
		default:
			time.Sleep(time.Second)
		}
	}
	stopped.Store(true)
	callers.Wait()
	var times []time.Time
	once := map[string]bool{}
	for _, x := range seen.all {
		if x.executed && !once[x.id] {
			once[x.id] = true
			times = append(times, x.arrivedAt)
		}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= 5*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	fmt.Fprintf(out, "%s: %d requests ran, at most %d in 5 s; the bound is %.0f\n", mode, len(times), most, (limit*5+burst)*1.1+20)
	return nil
}
