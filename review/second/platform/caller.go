package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// attempt is one attempt of a caller.
type attempt struct {
	id, method, target, body, tenant, machine string
	// object is the affinity key, or "".
	object                      string
	idempotent                  bool
	deadline                    time.Duration
	sentAt, lastByteAt, endedAt time.Time
	// status is 0 if the connection ended without a whole answer.
	status int
	answer string
	stamp  string
	// partial is set if the answer began.
	partial bool
	// err is why there is no answer. gaveUp is set if the caller itself closed.
	err    string
	gaveUp bool
	// position is the number of requests that were sent before on the connection.
	position int
	kept     bool
}

// connection is a caller's connection.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	m      *machine
	used   int
	// closing is set once an answer said that the connection ends.
	closing bool
}

func dial(m *machine) (*connection, error) {
	c, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{conn: c, reader: bufio.NewReader(c), m: m}, nil
}

func (c *connection) close() { _ = c.conn.Close() }

func (a *attempt) head(host, key, framing string) string {
	if a.object != "" {
		framing = "Cookie: Affinity-Key=" + a.object + "\r\n" + framing
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n%s\r\n",
		a.method, a.target, host, a.id, a.deadline.Milliseconds(), key, framing)
}

// encode returns the bytes of the request, its body in chunks if asked.
func (a *attempt) encode(host, key string, chunked bool) string {
	switch {
	case a.body == "" && a.method == "GET":
		return a.head(host, key, "")
	case !chunked:
		return a.head(host, key, fmt.Sprintf("Content-Length: %d\r\n", len(a.body))) + a.body
	}
	text := a.head(host, key, "Transfer-Encoding: chunked\r\n")
	for part := range pieces(a.body, 3) {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return text + "0\r\n\r\n"
}

// send writes the bytes in the given number of parts with a pause between them.
func (c *connection) send(a *attempt, text string, parts int, pause time.Duration) error {
	a.machine, a.sentAt, a.position, a.kept = c.m.name, time.Now(), c.used, c.used > 0
	c.used++
	for part := range pieces(text, parts) {
		if _, err := io.WriteString(c.conn, part); err != nil {
			return err
		}
		a.lastByteAt = time.Now()
		if parts > 1 {
			time.Sleep(pause)
		}
	}
	return nil
}

// receive reads the answer of an attempt until the given time.
func (c *connection) receive(a *attempt, until time.Time) {
	defer func() { a.endedAt = time.Now() }()
	_ = c.conn.SetReadDeadline(until)
	if _, err := c.reader.Peek(1); err != nil {
		a.fail(err)
		return
	}
	a.partial = true
	r, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		a.fail(err)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		a.fail(err)
		return
	}
	c.closing = c.closing || r.Close
	a.status, a.answer, a.stamp = r.StatusCode, string(body), r.Header.Get("Response-Stamp")
}

func (a *attempt) fail(err error) {
	a.err = err.Error()
	a.gaveUp = errors.Is(err, os.ErrDeadlineExceeded)
}

// record keeps all attempts.
type record struct {
	mu  sync.Mutex
	all []*attempt
}

func (r *record) add(a *attempt) {
	r.mu.Lock()
	r.all = append(r.all, a)
	r.mu.Unlock()
}

func firstWord(text string) string { word, _, _ := strings.Cut(text, " "); return word }
