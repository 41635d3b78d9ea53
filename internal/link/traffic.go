package link

import "sync"

// Traffic counts the calls of one message type and the bytes of their envelopes' bodies.
type Traffic struct {
	Calls, SentBytes, ReceivedBytes int64
}

// add adds the counts of another Traffic.
func (t *Traffic) add(other Traffic) {
	t.Calls += other.Calls
	t.SentBytes += other.SentBytes
	t.ReceivedBytes += other.ReceivedBytes
}

// trafficTable counts the traffic of a client by message type. It is safe for concurrent
// use.
type trafficTable struct {
	mu     sync.Mutex
	byType map[string]Traffic
}

// record adds counts to a message type.
func (t *trafficTable) record(messageType string, counts Traffic) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byType == nil {
		t.byType = make(map[string]Traffic)
	}
	total := t.byType[messageType]
	total.add(counts)
	t.byType[messageType] = total
}

// TrafficKey is a message type and the group of the peers to which it was sent.
type TrafficKey struct{ Type, Group string }

// Traffic returns the traffic of all clients by message type and by the group of the peer,
// which group returns for its link address.
func (p *Peers) Traffic(group func(peer string) string) map[TrafficKey]Traffic {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := make(map[TrafficKey]Traffic)
	for peer, client := range p.clients {
		client.addTraffic(group(peer), total)
	}
	return total
}

// addTraffic adds the client's traffic to the totals of a group.
func (c *Client) addTraffic(group string, totals map[TrafficKey]Traffic) {
	c.traffic.mu.Lock()
	defer c.traffic.mu.Unlock()
	for messageType, traffic := range c.traffic.byType {
		key := TrafficKey{Type: messageType, Group: group}
		total := totals[key]
		total.add(traffic)
		totals[key] = total
	}
}
