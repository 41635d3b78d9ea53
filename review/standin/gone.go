package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// gone lets clients leave that have sent a request in chunks and another one behind it.
func gone(root, folder string, rec *record, trouble bool) bool {
	const (
		clients = 30
		stay    = 300 * time.Millisecond
		left    = 500 * time.Millisecond
	)
	_, group, instances, _ := archive(root, folder, rec, 1500*time.Millisecond)
	var mu sync.Mutex
	leftAt := map[string]time.Time{}
	var all sync.WaitGroup
	for n := range clients {
		time.Sleep(200 * time.Millisecond)
		all.Go(func() {
			at, ok := sendAndLeave(instances[n%2], n, trouble, stay, rec)
			if ok {
				mu.Lock()
				leftAt[fmt.Sprintf("put-%d", n)], leftAt[fmt.Sprintf("get-%d", n)] = at, at
				mu.Unlock()
			}
		})
	}
	all.Wait()
	time.Sleep(3 * time.Second)
	group.mu.Lock()
	defer group.mu.Unlock()
	lasting, still, late := 0, 0, 0
	for _, r := range group.runs {
		at, found := leftAt[r.attempt]
		if !r.executed || !found {
			continue
		}
		rec.addAt(r.at, "endpoint %s runs %s until %.3f s, dropped: %v", r.endpoint, r.attempt, r.endedAt.Sub(rec.start).Seconds(), r.dropped)
		if r.at.After(at.Add(left)) {
			late++
			continue
		}
		lasting++
		if r.endedAt.After(at.Add(left)) {
			still++
		}
	}
	rec.add("%d requests reached endpoints over half a second after their clients had left", late)
	rec.add("endpoints were still at work half a second after the client had left on %d of %d idempotent requests", still, lasting)
	return trouble && (late > 5 || 4*still > lasting)
}

// sendAndLeave sends an idempotent request with a body in two chunks, and another idempotent
// request behind it. It then leaves, or reads both answers. It returns when it has left.
func sendAndLeave(i *instance, n int, leave bool, stay time.Duration, rec *record) (time.Time, bool) {
	conn, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		rec.add("client: no connection to %s: %v", i.name, err)
		return time.Time{}, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	rec.add("client: sends put-%d and get-%d to %s", n, n, i.name)
	_, err = fmt.Fprintf(conn, "PUT /read/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: put-%d\r\nDeadline-Ms: 3000\r\nAuthorization: Token key-desk\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n", n, host, n)
	time.Sleep(20 * time.Millisecond)
	if err == nil {
		_, err = io.WriteString(conn, "4\r\nlast\r\n0\r\n\r\n")
	}
	time.Sleep(20 * time.Millisecond)
	if err == nil {
		_, err = fmt.Fprintf(conn, "GET /read/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: get-%d\r\nDeadline-Ms: 3000\r\nAuthorization: Token key-desk\r\n\r\n", n, host, n)
	}
	if err != nil {
		rec.add("client: %v", err)
		return time.Time{}, false
	}
	if leave {
		time.Sleep(stay)
		_ = conn.Close()
		at := time.Now()
		rec.add("client: closes the connection of put-%d and get-%d", n, n)
		return at, true
	}
	reader := bufio.NewReader(conn)
	for range 2 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			rec.add("client %d: %v", n, err)
			return time.Time{}, false
		}
		body, _ := io.ReadAll(response.Body)
		rec.add("client: gets %d, Attempt-Id %q, %.40q", response.StatusCode, response.Header.Get("Attempt-Id"), body)
	}
	return time.Time{}, false
}
