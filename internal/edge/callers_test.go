package edge

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("callers' connections at a planned stop", func() {
	var (
		conns *callerConns
		conn  *callerConn
		now   time.Time
	)
	BeforeEach(func() {
		ours, theirs := net.Pipe()
		DeferCleanup(theirs.Close)
		conns = newCallerConns(nil)
		conn = &callerConn{Conn: ours}
		now = time.UnixMilli(1_000_000)
		conn.heardAt.Store(now.UnixNano())
	})
	closed := func() bool {
		return conn.SetDeadline(time.Time{}) != nil
	}

	It("closes one that is idle, not one that brought bytes a moment ago", func() {
		conns.track(conn, http.StateIdle)
		Expect(conns.closeQuiet(now.Add(quietTime/2))).To(Equal(1), "its request may wait for a goroutine")
		Expect(closed()).To(BeFalse())
		Expect(conns.closeQuiet(now.Add(quietTime))).To(BeZero())
		Expect(closed()).To(BeTrue())
	})

	It("closes one that never brought a byte", func() {
		conns.track(conn, http.StateNew)
		Expect(conns.closeQuiet(now.Add(quietTime))).To(BeZero())
		Expect(closed()).To(BeTrue())
	})

	It("waits for one with a request under way", func() {
		conns.track(conn, http.StateIdle)
		conns.track(conn, http.StateActive)
		Expect(conns.closeQuiet(now.Add(time.Minute))).To(Equal(1))
		Expect(closed()).To(BeFalse())
		conns.track(conn, http.StateClosed)
		Expect(conns.closeQuiet(now.Add(time.Minute))).To(BeZero())
	})

	It("notes when bytes come", func() {
		ours, theirs := net.Pipe()
		DeferCleanup(theirs.Close)
		brought := &callerConn{Conn: ours}
		go func() { _, _ = theirs.Write([]byte("GET")) }()
		n, err := brought.Read(make([]byte, 8))
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(3))
		Expect(brought.heardAt.Load()).NotTo(BeZero())
	})
})
