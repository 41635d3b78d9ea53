package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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
	// err is why there is no answer. gaveUp is set if the caller itself closed.
	err    string
	gaveUp bool
}

// connection is a caller's connection.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	m      *machine
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

// encode returns the bytes of the request.
func (a *attempt) encode(host, key string) string {
	if a.body == "" {
		return a.head(host, key, "")
	}
	return a.head(host, key, fmt.Sprintf("Content-Length: %d\r\n", len(a.body))) + a.body
}

// send writes the bytes of a request.
func (c *connection) send(a *attempt, text string) error {
	a.machine, a.sentAt = c.m.name, time.Now()
	_, err := io.WriteString(c.conn, text)
	a.lastByteAt = time.Now()
	return err
}

// receive reads the answer of an attempt until the given time.
func (c *connection) receive(a *attempt, until time.Time) {
	defer func() { a.endedAt = time.Now() }()
	_ = c.conn.SetReadDeadline(until)
	if _, err := c.reader.Peek(1); err != nil {
		a.fail(err)
		return
	}
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
