package bodymemory

import (
	"context"
	"math"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// fakeConn is a caller's connection whose progress the test sets.
type fakeConn struct {
	written, read         int64
	disconnected, stopped bool
}

func (c *fakeConn) BytesWritten() int64 { return c.written }
func (c *fakeConn) BytesRead() int64    { return c.read }
func (c *fakeConn) Disconnect()         { c.disconnected = true }
func (c *fakeConn) StopReading()        { c.stopped = true }
func (c *fakeConn) Enlarge()            {}

// newTestMemory returns a Memory with a clock that the test advances.
func newTestMemory(limit int64) (m *Memory, now *time.Time, disconnections *[]Disconnection) {
	now, disconnections = new(time.Time), new([]Disconnection)
	*now = time.Unix(1000, 0)
	m = New(limit)
	m.now = func() time.Time { return *now }
	m.OnDisconnect(func(d Disconnection) { *disconnections = append(*disconnections, d) })
	return m, now, disconnections
}

func mustReserve(g *WithT, m *Memory, kind Kind, n int64) *Reservation {
	r, err := m.Reserve(kind, n)
	g.Expect(err).NotTo(HaveOccurred())
	return r
}

// Large reservations that use the whole limit would refuse requests with small responses.
func TestLargeReservationsLeaveMemoryToSmallOnes(t *testing.T) {
	g := NewWithT(t)
	m, now, disconnections := newTestMemory(8 << 20)
	mustReserve(g, m, Response, 7<<20).StartReading(&fakeConn{})
	_, err := m.Reserve(Response, largeBytes+1)
	g.Expect(err).To(Equal(&NoMemoryError{Kind: Response, Bytes: largeBytes + 1, Limit: 8 << 20}))
	small := mustReserve(g, m, Response, largeBytes)
	g.Expect(small.Grow(1)).To(BeAssignableToTypeOf(&NoMemoryError{}))
	g.Expect(small.Size()).To(BeEquivalentTo(largeBytes))
	for range 15 {
		mustReserve(g, m, RequestBody, largeBytes)
	}
	_, err = m.Reserve(RequestBody, 1)
	g.Expect(err).To(HaveOccurred())
	small.Release()
	*now = now.Add(minReaderAge)
	mustReserve(g, m, Response, largeBytes)
	g.Expect(*disconnections).To(BeEmpty(), "what fits needs no memory of others")
}

// Bytes of an earlier response on the connection counted as progress would protect a caller
// that reads nothing of the present one.
func TestSlowestReaderIsDisconnectedForAnother(t *testing.T) {
	g := NewWithT(t)
	m, now, disconnections := newTestMemory(8_000)
	slow, fast := &fakeConn{written: 1000, read: 900}, &fakeConn{}
	slowHeld, fastHeld := mustReserve(g, m, Response, 4000), mustReserve(g, m, Response, 4000)
	slowHeld.SetOwner(Owner{Request: "r1"})
	slowHeld.StartReading(slow)
	fastHeld.StartReading(fast)
	slow.read, fast.read = 1010, 500
	*now = now.Add(minReaderAge - 1)
	_, err := m.Reserve(Response, 1)
	g.Expect(err).To(HaveOccurred())
	*now = now.Add(1)
	mustReserve(g, m, Response, 4000)
	g.Expect(slow.disconnected).To(BeTrue())
	g.Expect(fast.disconnected).To(BeFalse())
	g.Expect(*disconnections).To(Equal([]Disconnection{{Reason: Slowest, Owner: Owner{Request: "r1"}, Held: 4000, BytesRead: 10, Age: minReaderAge}}))
	slowHeld.Release()
	g.Expect(slowHeld.Grow(5)).To(Succeed())
	g.Expect(m.Used()).To(BeEquivalentTo(8000), "what was released once is not released again")
}

// A caller must not be disconnected while memory is plentiful, nor for the time before it
// was observed.
func TestStalledReaderIsDisconnectedWhileMemoryIsScarce(t *testing.T) {
	g := NewWithT(t)
	m, now, disconnections := newTestMemory(8_000)
	conns := []*fakeConn{{}, {}, {}}
	for _, conn := range conns[:2] {
		mustReserve(g, m, Response, 2000).StartReading(conn)
	}
	step := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); *now = now.Add(sampleInterval) {
			m.DisconnectStalled()
		}
	}
	step(time.Minute)
	g.Expect(*disconnections).To(BeEmpty(), "half of the memory is free")
	third := mustReserve(g, m, Response, 1)
	third.StartReading(conns[2])
	step(stallTimeout)
	conns[1].read++
	step(sampleInterval)
	g.Expect(*disconnections).To(HaveLen(1))
	g.Expect(conns[0].disconnected).To(BeTrue())
	g.Expect((*disconnections)[0].Reason).To(Equal(Stalled))
	g.Expect((*disconnections)[0].Quiet).To(Equal(stallTimeout))
	step(time.Minute)
	g.Expect(*disconnections).To(HaveLen(1), "memory is plentiful again")
}

// holder is a ResponseWriter that keeps the response.
type holder struct {
	httptest.ResponseRecorder
	body []byte
	held *Reservation
}

func (h *holder) HoldResponse(body []byte, held *Reservation) { h.body, h.held = body, held }

// The memory of a response that waits for its turn must be counted once and until its
// caller has taken it.
func TestHeldResponseStaysReserved(t *testing.T) {
	g := NewWithT(t)
	m, _, _ := newTestMemory(8_000)
	body := []byte("body")
	early := &holder{}
	Deliver(context.Background(), early, body, mustReserve(g, m, Response, 4))
	g.Expect(&early.body[0]).To(BeIdenticalTo(&body[0]), "the body is not copied")
	g.Expect(m.Used()).To(BeEquivalentTo(4))
	w := httptest.NewRecorder()
	Deliver(context.Background(), w, early.body, early.held)
	g.Expect(w.Body.String()).To(Equal("body"))
	g.Expect(m.Used()).To(BeZero())
}

// netConn is a connection that is a Conn, wrapper one around it.
type (
	netConn struct {
		net.Conn
		fakeConn
	}
	wrapper struct{ net.Conn }
)

func (w wrapper) NetConn() net.Conn { return w.Conn }

// A connection that another wrapper hides would never be disconnected.
func TestConnIsFoundBehindWrappers(t *testing.T) {
	g := NewWithT(t)
	conn := &netConn{}
	for _, c := range []net.Conn{conn, wrapper{wrapper{conn}}} {
		g.Expect(ConnContext(context.Background(), c).Value(connKey{})).To(BeIdenticalTo(conn))
	}
	g.Expect(ConnContext(context.Background(), wrapper{&net.TCPConn{}}).Value(connKey{})).To(BeNil())
}

// The sum of all reservations must equal what is in use, and exceed the limit only by
// ForceSize.
func TestReservationsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m, now, _ := newTestMemory(300 << 10)
		var all []*Reservation
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			*now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			n := rapid.Int64Range(0, 100<<10).Draw(t, "n")
			switch action := rapid.IntRange(0, 4).Draw(t, "action"); {
			case action == 0 || len(all) == 0:
				if r, err := m.Reserve(Kind(n%int64(kindCount)), n); err == nil {
					all = append(all, r)
				}
			case action == 1:
				_ = all[n%int64(len(all))].SetSize(n)
			case action == 2:
				all[n%int64(len(all))].StartReading(&fakeConn{})
			case action == 3:
				all[n%int64(len(all))].Release()
			default:
				m.DisconnectStalled()
			}
			sum, byKind := int64(0), int64(0)
			for _, r := range all {
				sum += r.Size()
			}
			for kind := range kindCount {
				byKind += m.UsedBy(kind)
			}
			g.Expect([]int64{m.Used(), byKind}).To(Equal([]int64{sum, sum}))
			g.Expect(sum).To(BeNumerically("<=", m.Limit()))
		}
	})
}

// The sum of what is used and of a length near 2^63 was negative, so that the length was
// reserved and no later reservation was limited.
func TestLengthNearTheLargestNumberIsRefused(t *testing.T) {
	g := NewWithT(t)
	m, _, _ := newTestMemory(8 << 20)
	held := mustReserve(g, m, RequestBody, 100)
	g.Expect(held.SetSize(math.MaxInt64)).To(BeAssignableToTypeOf(&NoMemoryError{}))
	g.Expect(m.Used()).To(BeEquivalentTo(100))
	_, err := m.Reserve(RequestBody, math.MaxInt64)
	g.Expect(err).To(BeAssignableToTypeOf(&NoMemoryError{}))
}

// A caller that still reads an earlier response of its connection was taken for one that reads
// nothing, since only bytes of the present response counted.
func TestReadingAnEarlierResponseIsProgress(t *testing.T) {
	g := NewWithT(t)
	m, now, disconnections := newTestMemory(1000)
	conn := &fakeConn{written: 1_000_000}
	mustReserve(g, m, Response, 900).StartReading(conn)
	for range 40 {
		*now = now.Add(sampleInterval)
		conn.read += 10_000
		m.DisconnectStalled()
	}
	g.Expect(*disconnections).To(BeEmpty())
}
