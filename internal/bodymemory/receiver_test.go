package bodymemory

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// receive starts the receiving of a body that holds n bytes.
func receive(g *WithT, m *Memory, n int64) (*Reservation, *fakeConn) {
	conn := &fakeConn{}
	r := mustReserve(g, m, RequestBody, n)
	r.startReceiving(conn.StopReading)
	return r, conn
}

// Guards against bodies that stop short of their end and keep the memory from all others: who makes
// no progress gives way first, then who holds most, and never one that holds less than is asked for.
func TestBodiesThatAreReceivedGiveWay(t *testing.T) {
	g := NewWithT(t)
	m, now, disconnections := newTestMemory(8_000)
	_, quiet := receive(g, m, 1000)
	*now = now.Add(quietTime)
	larger, largerConn := receive(g, m, 4000)
	small, smallConn := receive(g, m, 500)
	mustReserve(g, m, RequestBody, 2500) // complete

	mustReserve(g, m, Response, 800)
	g.Expect(quiet.stopped).To(BeTrue())
	g.Expect(largerConn.stopped || smallConn.stopped).To(BeFalse())
	mustReserve(g, m, Response, 1000)
	g.Expect(largerConn.stopped).To(BeTrue())
	g.Expect(larger.received()).To(BeFalse())
	_, err := m.Reserve(Response, 8_000)
	g.Expect(err).To(HaveOccurred(), "all that could give way hold less than what is asked for")
	g.Expect(smallConn.stopped).To(BeFalse())
	g.Expect(small.received()).To(BeTrue())
	g.Expect(*disconnections).To(HaveLen(2))
	g.Expect((*disconnections)[0]).To(And(HaveField("Reason", GaveWay), HaveField("Held", int64(1000)), HaveField("Quiet", time.Second)))
	g.Expect(m.StopQuietest()).To(BeFalse())
	*now = now.Add(quietTime)
	g.Expect(m.StopQuietest()).To(BeTrue())
	g.Expect(smallConn.stopped).To(BeTrue())
}

// Guards against reading ahead and larger buffers that others must give way to.
func TestNobodyGivesWayToWhatCanBeDoneWithout(t *testing.T) {
	g := NewWithT(t)
	m, now, _ := newTestMemory(8_000)
	_, conn := receive(g, m, 7_500)
	*now = now.Add(time.Minute)
	g.Expect(m.NewAccount(ReadAhead, m.Limit()).Reserve(1000)).To(BeAssignableToTypeOf(&NoMemoryError{}))
	g.Expect(m.NewAccount(Heads, 500).Reserve(501)).To(BeAssignableToTypeOf(&NoMemoryError{}), "above the limit of the account")
	g.Expect(conn.stopped).To(BeFalse())
	auxiliary := m.NewGrantedAccount(Connections)
	g.Expect(auxiliary.Reserve(1000)).To(Succeed(), "others bound it")
	g.Expect(conn.stopped).To(BeFalse())
	auxiliary.Release(1000)
	g.Expect(m.NewAccount(Connections, m.Limit()).Reserve(1000)).To(Succeed())
	g.Expect(conn.stopped).To(BeTrue())
}

// observedReader notes the largest reservation for each number of bytes that it has given.
type observedReader struct {
	body        io.Reader
	reservation *Reservation
	given, most int64
}

func (r *observedReader) Read(p []byte) (int, error) {
	if held := r.reservation.Size(); r.given > minChunkBytes {
		r.most = max(r.most, held/r.given)
	}
	n, err := r.body.Read(p[:min(len(p), 1000)])
	r.given += int64(n)
	return n, err
}

// Guards against callers that state a large body, or send a little of one, and make the instance hold
// much more than they send.
func TestMemoryGrowsWithTheBodyThatArrives(t *testing.T) {
	const limit = 4 << 20
	for _, size := range []int64{1, 5_000, 70_000, 300_000, limit} {
		for _, stated := range []bool{true, false} {
			g := NewWithT(t)
			m := New(2 * limit)
			r := mustReserve(g, m, RequestBody, 0)
			body := bytes.Repeat([]byte("b"), int(size))
			reader := &observedReader{body: bytes.NewReader(body), reservation: r}
			length := int64(-1)
			if stated {
				length = size
			}
			read, err := r.ReceiveBody(reader, length, limit, nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(read).To(Equal(body))
			g.Expect(r.Size()).To(And(BeNumerically(">=", size), BeNumerically("<=", size+minChunkBytes)))
			g.Expect(reader.most).To(BeNumerically("<=", growthFactor+1), "size %d, stated %v", size, stated)
		}
	}
}

// Guards against a body that gave way and is taken for complete, or for cut short by its caller.
func TestBodyThatGaveWayFindsNoMemory(t *testing.T) {
	g := NewWithT(t)
	m, now, _ := newTestMemory(8_000)
	r := mustReserve(g, m, RequestBody, 0)
	other := mustReserve(g, m, RequestBody, 0)
	reader := readerFunc(func(p []byte) (int, error) {
		*now = now.Add(quietTime)
		g.Expect(other.SetSize(6_000)).To(Succeed())
		return 0, errors.New("stopped")
	})
	stopped := false
	_, err := r.ReceiveBody(reader, 5_000, 0, func() { stopped = true })
	g.Expect(err).To(BeAssignableToTypeOf(&NoMemoryError{}))
	g.Expect(stopped).To(BeTrue())
	_, err = mustReserve(g, m, RequestBody, 0).ReceiveBody(bytes.NewReader([]byte("ab")), 3, 0, nil)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
