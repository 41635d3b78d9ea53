package link

import "sync"

// Peers holds one client for each peer address.
type Peers struct {
	mu      sync.Mutex
	clients map[string]*Client
}

// NewPeers returns a Peers without clients.
func NewPeers() *Peers { return &Peers{clients: make(map[string]*Client)} }

// Client returns the client for the peer's link address and creates it on first use.
func (p *Peers) Client(peer string) *Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	client, found := p.clients[peer]
	if !found {
		client = NewClient(peer)
		p.clients[peer] = client
	}
	return client
}
