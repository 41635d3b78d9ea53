package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections to the store for one machine. While it is cut, no byte passes in
// either direction: open connections are silent, and so are those that are opened meanwhile.
type proxy struct {
	target, address string
	mu              sync.Mutex
	cut             bool
	// healed is closed at the end of the cut.
	healed chan struct{}
	conns  map[net.Conn]bool
}

func newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRun(err)
	p := &proxy{target: target, address: l.Addr().String(), healed: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(p.healed)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

// setCut begins or ends the cut. Connections of the time of the cut are reset at its end.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut == p.cut {
		return
	}
	p.cut = cut
	if cut {
		p.healed = make(chan struct{})
		return
	}
	close(p.healed)
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *proxy) serve(conn net.Conn) {
	p.mu.Lock()
	p.conns[conn] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
		_ = conn.Close()
	}()
	onward, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer onward.Close()
	done := make(chan struct{}, 2)
	pass := func(from, to net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if p.isCut() {
				if err != nil {
					return
				}
				continue // lost
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pass(conn, onward)
	go pass(onward, conn)
	<-done
}
