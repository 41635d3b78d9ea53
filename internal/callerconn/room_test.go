package callerconn

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a new connection taking the place of one that makes progress while others wait.
var _ = Describe("room for a new connection", func() {
	var (
		conns *Listener
		now   time.Time
	)
	track := func(state http.ConnState, age time.Duration) *Conn {
		serverSide, callerSide := net.Pipe()
		DeferCleanup(callerSide.Close)
		conn := &Conn{Conn: serverSide}
		conns.Track(conn, state)
		conn.waitingSince, conn.activeSince = now.Add(-age), now.Add(-age)
		return conn
	}
	expired := func(c *Conn) bool { return c.expired.Load() }
	BeforeEach(func() {
		conns = &Listener{states: make(map[*Conn]http.ConnState)}
		now = time.Now()
	})

	It("is that of the connection that never carried a request and waits longest", func() {
		used := track(http.StateActive, 0)
		conns.Track(used, http.StateIdle)
		used.waitingSince = now.Add(-time.Hour)
		longest, shorter := track(http.StateNew, 3*time.Second), track(http.StateNew, time.Second)
		halfHead := track(http.StateNew, 10*time.Second)
		halfHead.requestStartedAt.Store(now.Add(-2 * time.Second).UnixNano())
		serving := track(http.StateActive, time.Hour)

		for _, next := range []*Conn{longest, halfHead, shorter, used} {
			Expect(conns.MakeRoom(now)).To(BeTrue())
			Expect(expired(next)).To(BeTrue())
		}
		Expect(expired(serving)).To(BeFalse())
		Expect(conns.MakeRoom(now)).To(BeTrue(), "they are being closed")
		for _, closed := range []*Conn{longest, halfHead, shorter, used} {
			conns.Track(closed, http.StateClosed)
		}
		Expect(expired(serving)).To(BeFalse())
		Expect(conns.MakeRoom(now)).To(BeFalse(), "only a request that is being handled is left")
	})

	It("is made for several at once while many wait", func() {
		for range 3 * roomFraction {
			track(http.StateNew, 2*time.Second)
		}
		Expect(conns.MakeRoom(now)).To(BeTrue())
		count := 0
		for conn := range conns.states {
			if expired(conn) {
				count++
			}
		}
		Expect(count).To(Equal(3))
	})

	It("is that of the caller that takes nothing of its response", func() {
		stuck, taking := track(http.StateActive, 0), track(http.StateActive, 0)
		for _, conn := range []*Conn{stuck, taking} {
			conn.writeStartedAt.Store(now.Add(-quietTime).UnixNano())
		}
		Expect(conns.MakeRoom(now)).To(BeFalse(), "nothing is known yet")
		taking.written.Add(1)
		now = now.Add(quietTime)
		Expect(conns.MakeRoom(now)).To(BeTrue())
		Expect(stuck.disconnected.Load()).To(BeTrue())
		Expect(taking.disconnected.Load()).To(BeFalse())
	})

	It("is that of the longest request where requests are short", func() {
		young, old := track(http.StateActive, time.Second), track(http.StateActive, time.Minute)
		Expect(conns.DisconnectLongest()).To(BeTrue())
		Expect(old.disconnected.Load()).To(BeTrue())
		Expect(young.disconnected.Load()).To(BeFalse())
	})

	It("stays made although the server sets a deadline for the next request", func() {
		conn := track(http.StateNew, time.Second)
		Expect(conns.MakeRoom(now)).To(BeTrue())
		Expect(conn.SetReadDeadline(now.Add(time.Hour))).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("timeout")))
	})
})
