package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// document returns a document that holds n requests as text, each padded to size bytes. Their
// identifiers begin with name. No client sends them.
func document(name string, n, size int) []string {
	var records []string
	for k := range n {
		text := fmt.Sprintf("GET /read/%s-%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s-%d\r\nDeadline-Ms: 1200\r\nAuthorization: Token key-azul\r\nNote: ", name, k, host, name, k)
		records = append(records, text+strings.Repeat(".", max(size-len(text)-4, 1))+"\r\n\r\n")
	}
	return records
}

// linger is how long a client reads on after it has sent its request and got its answer.
const linger = 200 * time.Millisecond

// upload sends a document as the body of one request on a connection of its own, whole,
// whether an answer comes meanwhile or not, as the stated length promises. It records all
// that comes back.
func upload(i *instance, attempt, key, body string, deadline time.Duration, rec *record) {
	conn, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		rec.add("client: %s: %v", attempt, err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	done, answered := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			body, err := io.ReadAll(response.Body)
			if n == 0 {
				close(answered)
			}
			if err == nil && n < 20 {
				rec.add("client: %s: answer %d on its connection: %d, Attempt-Id %q, Response-Stamp %q, %.60q", attempt, n+1,
					response.StatusCode, response.Header.Get("Attempt-Id"), response.Header.Get("Response-Stamp"), body)
			}
		}
	}()
	rec.add("client: sends %s to %s, a body of %d bytes", attempt, i.name, len(body))
	_, err = fmt.Fprintf(conn, "POST /order/archive HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
		host, attempt, deadline.Milliseconds(), key, len(body))
	if err == nil {
		_, err = io.WriteString(conn, body)
	}
	rec.add("client: %s: the body is sent (%v)", attempt, err)
	select { // the client reads on for a moment, as one that keeps its connection
	case <-answered:
		_ = conn.SetReadDeadline(time.Now().Add(linger))
	case <-done:
	}
	<-done
}

// judgeSmuggled reports whether an endpoint has run a request whose id no client sent.
func judgeSmuggled(group *service, rec *record) bool {
	group.mu.Lock()
	defer group.mu.Unlock()
	smuggled, sent := 0, 0
	for _, r := range group.runs {
		if !r.executed {
			continue
		}
		if strings.HasPrefix(r.attempt, "order-") || strings.HasPrefix(r.attempt, "read-") {
			sent++
			rec.addAt(r.at, "endpoint %s runs %s %s, id %s, tenant %s, body of %d bytes", r.endpoint, r.method, r.target, r.attempt, r.tenant, len(r.body))
			continue
		}
		smuggled++
		if smuggled <= 100 {
			rec.addAt(r.at, "endpoint %s runs %s %s, id %s, tenant %s, which no client has sent", r.endpoint, r.method, r.target, r.attempt, r.tenant)
		}
	}
	rec.add("endpoints ran %d requests that clients sent, and %d that no client sent", sent, smuggled)
	return smuggled > 0
}

// archive is the deployment of both cases.
func archive(root, folder string, rec *record, work time.Duration) (*store, *service, []*instance, func(keys ...string)) {
	s := newStore()
	address := s.serve()
	group := &service{store: s, rec: rec}
	version := 0
	write := func(keys ...string) {
		version++
		at := s.put("op/config", configuration{version: version,
			routes:   []route{{"read", "/read/", "catalogue", "idempotent", 3}, {"order", "/order/", "publication", "non_idempotent", 3}},
			services: []string{"catalogue", "publication"}, keys: map[string][]string{"azul": keys}}.value())
		rec.addAt(at, "the store confirms version %08x with the keys %v", version, keys)
	}
	write("key-azul", "key-desk")
	for n := range 6 {
		e := &endpoint{service: group, name: fmt.Sprint("e", n+1), group: []string{"catalogue", "publication"}[n%2], zone: []string{"zone-a", "zone-b"}[n/2%2], slots: 9,
			work: func(*http.Request) time.Duration { return work }}
		e.start()
	}
	instances := newInstances(folder, map[string]string{"zone-a": "region-a", "zone-b": "region-a"}, []string{"zone-a", "zone-b"},
		func(int) string { return address }, bounds)
	startAll(root, folder, instances, rec)
	time.Sleep(4 * time.Second)
	return s, group, instances, write
}

// keptConnection takes away the key of clients that send their bodies slowly and then go on
// with another request on the same connection. It reports whether one of these got the answer
// to another request.
func keptConnection(root, folder string, rec *record, trouble bool) bool {
	const rounds = 10
	_, group, instances, write := archive(root, folder, rec, 50*time.Millisecond)
	if trouble {
		write("key-azul")
		time.Sleep(3 * time.Second)
	}
	foreign := 0
	for n := range rounds {
		if uploadAndRead(instances[n%2], n, rec) {
			foreign++
		}
	}
	judgeSmuggled(group, rec)
	rec.add("%d of %d requests on kept connections got the answer to another request", foreign, rounds)
	return foreign > 0
}

// uploadAndRead sends an order whose body takes 1.3 s, reads its answer, and sends a read on
// the same connection if that stays open. It reports whether the answer to the read belongs to
// another request.
func uploadAndRead(i *instance, n int, rec *record) bool {
	conn, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		rec.add("client: no connection to %s: %v", i.name, err)
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	records := document(fmt.Sprintf("archived-%d", n), 14, 200)
	order, read := fmt.Sprintf("order-%d", n), fmt.Sprintf("read-%d", n)
	rec.add("client: sends %s to %s with a body of %d bytes", order, i.name, len(strings.Join(records, "")))
	_, err = fmt.Fprintf(conn, "POST /order/archive HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1500\r\nAuthorization: Token key-desk\r\nContent-Length: %d\r\n\r\n",
		host, order, len(strings.Join(records, "")))
	for k, r := range records {
		if err == nil && k > 0 {
			time.Sleep(100 * time.Millisecond)
		}
		if err == nil {
			_, err = io.WriteString(conn, r)
		}
	}
	if err != nil {
		rec.add("client: %s: %v", order, err)
		return false
	}
	response, id := readAnswer(reader, order, rec)
	if response == nil || response.Close {
		return false
	}
	if id != order {
		return true
	}
	_, err = fmt.Fprintf(conn, "GET /read/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 1200\r\nAuthorization: Token key-azul\r\n\r\n", n, host, read)
	rec.add("client: sends %s on the same connection (%v)", read, err)
	response, id = readAnswer(reader, read, rec)
	return response != nil && id != read
}

// readAnswer reads the next answer on a connection and returns it with the id that it echoes.
func readAnswer(reader *bufio.Reader, request string, rec *record) (*http.Response, string) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		rec.add("client: %s gets no answer: %v", request, err)
		return nil, ""
	}
	body, _ := io.ReadAll(response.Body)
	id := response.Header.Get("Attempt-Id")
	rec.add("client: %s gets %d, Attempt-Id %q, Response-Stamp %q, %.60q", request, response.StatusCode, id, response.Header.Get("Response-Stamp"), body)
	return response, id
}

// crowd lets five clients instead of three upload large documents at once.
func crowd(root, folder string, rec *record, trouble bool) bool {
	_, group, instances, _ := archive(root, folder, rec, 600*time.Millisecond)
	body := strings.Join(document("archived", 40960, 512), "") // 20 MiB
	end := time.Now().Add(12 * time.Second)
	var clients sync.WaitGroup
	client := func(n int, from, until time.Time) {
		clients.Go(func() {
			time.Sleep(time.Until(from))
			for k := 0; time.Now().Before(until); k++ {
				upload(instances[0], fmt.Sprintf("order-%d-%d", n, k), "key-desk", body, 3*time.Second, rec)
			}
		})
	}
	for n := range 3 {
		client(n, time.Now().Add(time.Duration(n)*100*time.Millisecond), end)
	}
	if trouble {
		for n := range 2 {
			client(3+n, time.Now().Add(4*time.Second), time.Now().Add(7*time.Second))
		}
	}
	clients.Wait()
	return judgeSmuggled(group, rec)
}
