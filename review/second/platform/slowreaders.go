package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of the case.
const (
	// slowReaders callers each keep two requests under way on their connection.
	slowReaders = 6
	// bundleBytes is the size of an answer.
	bundleBytes = 300_000
	// readEvery and readBytes are how fast a caller reads: 240 kB a second.
	readEvery, readBytes = 50 * time.Millisecond, 12_000
	bundleWork           = 600 * time.Millisecond
	bundleDeadline       = 5 * time.Second
	stopAfter            = 300 * time.Millisecond
)

// slowConn is the reading side of a caller that takes its answers at a steady, low rate.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(readEvery)
	return c.Conn.Read(p[:min(len(p), readBytes)])
}

// dialSlow connects with a small window, as on the links of the pages.
func dialSlow(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		_ = c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
		return err
	}}
	return d.Dial("tcp", address)
}

// slowReadersCase stops a machine while callers of it have pipelined downloads under way, which
// they read slowly. It returns 1 if the rule LOST was broken.
func slowReadersCase(program, folder string, trouble bool, out *os.File) (int, error) {
	s, seen := newStore(), newRuns()
	f, err := newFleet(program, folder, []zone{{"nadia-ka", "nadia"}, {"kolkata-ka", "kolkata"}}, 2, npjsBounds, s)
	if err != nil {
		return 2, err
	}
	defer f.killAll()
	for _, z := range f.zones {
		for n := range 4 {
			e, err := newEndpoint(fmt.Sprintf("i-%s-%d", z.name, n), "bhandar", z.name, 6, seen)
			if err != nil {
				return 2, err
			}
			e.work = func(*run) time.Duration { return bundleWork }
			e.size = func(*run) int { return bundleBytes }
			e.register(s, "ready")
		}
	}
	const host, key = "lectures.example", "key-1"
	s.put("op/config", configuration(1, []route{{Host: host, Prefix: "/bundle/", Kind: "download", Service: "bhandar", TimeoutS: 5, GoalS: 0.8, MaxAttempts: 2}},
		[]string{"bhandar"}, []tenant{{"college", []string{key}, 2000, 2000}}))
	if err := f.startAll(); err != nil {
		return 2, err
	}
	time.Sleep(5 * time.Second) // longer than contact-s, so that all machines are in touch
	m := f.machines[0]
	begin := time.Now()
	log := func(format string, args ...any) {
		fmt.Fprintf(out, "%7.3f s  %s\n", time.Since(begin).Seconds(), fmt.Sprintf(format, args...))
	}
	var rec record
	var callers sync.WaitGroup
	sent := make(chan struct{}, slowReaders)
	for i := range slowReaders {
		callers.Go(func() {
			c, err := dialSlow(m.front)
			if err != nil {
				log("caller %d does not connect: %v", i, err)
				sent <- struct{}{}
				return
			}
			defer c.Close()
			reader := bufio.NewReaderSize(slowConn{c}, readBytes)
			request := func(n int) *attempt {
				return &attempt{id: fmt.Sprintf("%08x%08x", i+1, n), method: "GET", target: fmt.Sprintf("/bundle/%d-%d", i, n), idempotent: true,
					deadline: bundleDeadline, machine: m.name}
			}
			first, second, third := request(1), request(2), request(3)
			send := func(text string, all ...*attempt) error {
				_, err := io.WriteString(c, text)
				for _, a := range all {
					a.sentAt, a.lastByteAt = time.Now(), time.Now()
				}
				return err
			}
			err = send(first.encode(host, key)+second.encode(host, key), first, second)
			log("caller %d sends requests %s and %s", i, first.id, second.id)
			sent <- struct{}{}
			if err != nil {
				log("caller %d: %v", i, err)
				return
			}
			for n, a := range []*attempt{first, second, third} {
				if n == 1 { // the first answer is in, so that there is room for one more request
					if err := send(third.encode(host, key), third); err != nil {
						log("caller %d cannot send request %s: %v", i, third.id, err)
					} else {
						log("caller %d sends request %s", i, third.id)
					}
				}
				_ = c.SetReadDeadline(a.sentAt.Add(a.deadline + time.Second))
				closing := readSlowly(reader, a)
				rec.add(a)
				log("caller %d request %s: status %d, %d bytes of the body, closing %v, %s", i, a.id, a.status, len(a.answer), closing, a.err)
				if a.err != "" || closing {
					return
				}
			}
		})
	}
	for range slowReaders {
		<-sent
	}
	time.Sleep(stopAfter)
	if trouble {
		log("SIGTERM to %s", m.name)
		go m.stop(6 * time.Second)
	}
	callers.Wait()
	return judgeLost(&rec, seen, begin, out), nil
}

// readSlowly reads an answer and reports whether it says that the connection ends.
func readSlowly(reader *bufio.Reader, a *attempt) bool {
	defer func() { a.endedAt = time.Now() }()
	r, err := http.ReadResponse(reader, &http.Request{Method: a.method})
	if err != nil {
		a.fail(err)
		return false
	}
	var body strings.Builder
	_, err = io.Copy(&body, r.Body)
	a.answer = body.String()
	if err != nil {
		a.fail(err)
		return r.Close
	}
	a.status, a.stamp = r.StatusCode, r.Header.Get("Response-Stamp")
	return r.Close
}

// judgeLost checks the rule LOST for planned work: a request that was passed on to an endpoint,
// which answered it whole, and whose connection ended without the whole answer before its
// deadline, though the caller did not close it.
func judgeLost(rec *record, seen *runs, begin time.Time, out *os.File) int {
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for _, x := range seen.all {
		fmt.Fprintf(out, "endpoint %s: request %s arrived %.3f s, began %.3f s, ended %.3f s, status %d, dropped by its caller %v\n", x.endpoint, x.id,
			x.arrivedAt.Sub(begin).Seconds(), x.beganAt.Sub(begin).Seconds(), x.endedAt.Sub(begin).Seconds(), x.status, x.dropped)
	}
	lost, whole := 0, 0
	for _, a := range rec.all {
		if a.err == "" {
			whole++
			continue
		}
		answered := false
		for _, x := range seen.byID[a.id] {
			answered = answered || (x.executed && x.status == 200 && !x.brokeOff && !x.dropped)
		}
		if answered && !a.gaveUp && a.endedAt.Sub(a.sentAt) < a.deadline {
			lost++
			fmt.Fprintf(out, "LOST: request %s was passed on and its endpoint answered it whole; its connection ended after %.3f s with %d bytes of the body: %s\n",
				a.id, a.endedAt.Sub(a.sentAt).Seconds(), len(a.answer), a.err)
		}
	}
	fmt.Fprintf(out, "%d whole answers, %d lost\n", whole, lost)
	if lost > 0 {
		return 1
	}
	if whole < slowReaders {
		return 2
	}
	return 0
}
