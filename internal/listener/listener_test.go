package listener

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against limits that callers inside the pages' limits meet: 2,000 of them at one instance.
// Package intake tests that all terms together fit into the memory.
func TestPlanHasRoomForCallersAndForOwnConnections(t *testing.T) {
	const megabyte = 1_000_000
	for _, machine := range []struct{ memoryMB, descriptors int64 }{{184, 4100}, {284, 4100}, {536, 8192}, {424, 10250}, {451, 10933}} {
		g := NewWithT(t)
		plan := NewPlan(machine.memoryMB*megabyte, int(machine.descriptors))
		g.Expect(plan.Limits(PartCallers).MaxConns).To(BeNumerically(">=", 2000))
		g.Expect(plan.Limits(PartCallers).QueueLength).To(BeNumerically(">=", 2000), "all may come at once")
		total := 0
		for _, part := range []Part{PartCallers, PartLookups, PartLink, PartReadiness, PartOperator} {
			total += plan.Limits(part).MaxConns
			g.Expect(plan.Limits(part).SendBytes).To(BeNumerically(">=", minBufferBytes))
		}
		g.Expect(int(machine.descriptors)-fileDescriptors-total).To(BeNumerically(">=", 1000), "endpoints, store and peers")
	}
}

// Guards against listeners of small processes that accept nothing.
func TestSmallPlansLeaveEachListenerSomeConnections(t *testing.T) {
	g := NewWithT(t)
	for _, descriptors := range []int{0, 200, 300, 100_000} {
		limits := NewPlan(10_000_000, descriptors).Limits(PartOperator)
		g.Expect(limits.MaxConns).To(BeNumerically(">=", minConns))
		g.Expect(limits.SendBytes).To(And(BeNumerically(">=", minBufferBytes), BeNumerically("<=", maxBufferBytes)))
	}
}

// dial opens a connection to a listener and returns both of its ends.
func dial(g *WithT, l net.Listener) (caller, accepted net.Conn) {
	caller, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err = l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	return caller, accepted
}

// Guards against a crowd whose connections stay while new callers are refused, and against a new
// connection that takes the place of one which makes progress.
func TestFullListenerAcceptsInPlaceOfAQuietConnection(t *testing.T) {
	g := NewWithT(t)
	opened, err := ListenWithin("127.0.0.1:0", Limits{ReceiveBytes: 8 << 10, SendBytes: 8 << 10, QueueLength: 4})
	g.Expect(err).NotTo(HaveOccurred())
	l := Limit(opened, Options{Name: "test", Limits: Limits{MaxConns: 2}})
	defer l.Close()
	var quiet net.Conn
	l.OnFull(func() bool {
		if quiet == nil {
			return false
		}
		go quiet.Close()
		quiet = nil
		return true
	})
	_, quiet = dial(g, l)
	_, busy := dial(g, l)
	_, third := dial(g, l)
	g.Expect(third.Close()).To(Succeed())
	g.Expect(third.Close()).To(HaveOccurred(), "a second close frees nothing more")
	_, third = dial(g, l)
	g.Expect(l.Describe()).To(And(HaveField("Open", 2), HaveField("Most", 2), HaveField("ClosedForOthers", int64(1))))

	refused, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _, _ = l.Accept() }()
	_, err = refused.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred(), "no connection is quiet")
	g.Expect(l.Describe().Refused).To(BeEquivalentTo(1))
	g.Expect(busy.Close()).To(Succeed())
	g.Expect(third.Close()).To(Succeed())
}

// refusingMemory grants a number of connections.
type refusingMemory struct{ left int }

func (m *refusingMemory) Reserve(int64) error {
	if m.left == 0 {
		return &UnsupportedError{}
	}
	m.left--
	return nil
}

func (m *refusingMemory) Release(int64) { m.left++ }

// Guards against connections whose memory nobody counts.
func TestConnectionsTakeMemory(t *testing.T) {
	g := NewWithT(t)
	opened, err := Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	memory := &refusingMemory{left: 1}
	l := Limit(opened, Options{Name: "test", Memory: memory})
	defer l.Close()
	_, first := dial(g, l)
	g.Expect(memory.left).To(BeZero())
	g.Expect(l.tryAdmit()).To(BeFalse())
	g.Expect(first.Close()).To(Succeed())
	g.Expect(memory.left).To(Equal(1))
}
