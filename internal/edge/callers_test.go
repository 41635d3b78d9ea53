package edge

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/catalog"
)

var _ = Describe("callers' connections", func() {
	var (
		conns *callerConns
		conn  *callerConn
		now   time.Time
	)
	BeforeEach(func() {
		ours, theirs := net.Pipe()
		DeferCleanup(theirs.Close)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		conns = newCallerConns(listener)
		DeferCleanup(conns.Close)
		conn = &callerConn{Conn: ours}
		now = time.UnixMilli(1_000_000)
		conn.heardAt.Store(now.UnixNano())
	})
	// ended reports whether a reader that waits is told that nothing comes any more.
	ended := func() bool {
		result := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 1))
			result <- err
		}()
		select {
		case err := <-result:
			return errors.Is(err, os.ErrDeadlineExceeded)
		case <-time.After(50 * time.Millisecond):
			return false
		}
	}

	It("ends one that is idle, not one that brought bytes a moment ago", func() {
		conns.track(conn, http.StateIdle)
		Expect(conns.closeQuiet(now.Add(quietTime/2))).To(Equal(1), "its request may wait for a goroutine")
		Expect(conn.expired).To(BeFalse())
		conns.closeQuiet(now.Add(quietTime))
		Expect(ended()).To(BeTrue())
		conns.track(conn, http.StateClosed)
		Expect(conns.closeQuiet(now.Add(quietTime))).To(BeZero())
	})

	It("ends one that never brought a byte", func() {
		conns.track(conn, http.StateNew)
		conns.closeQuiet(now.Add(quietTime))
		Expect(ended()).To(BeTrue())
	})

	It("lets one go on whose request had been read when it was ended", func() {
		conns.track(conn, http.StateIdle)
		conns.closeQuiet(now.Add(quietTime))
		conns.track(conn, http.StateActive)
		Expect(ended()).To(BeFalse())
	})

	It("waits for one with a request under way", func() {
		conns.track(conn, http.StateIdle)
		conns.track(conn, http.StateActive)
		Expect(conns.closeQuiet(now.Add(time.Minute))).To(Equal(1))
		Expect(conn.expired).To(BeFalse())
	})

	Context("with limits", func() {
		limits := quietLimits{header: 3 * time.Second, idle: 15 * time.Second}
		var waits time.Time
		BeforeEach(func() {
			conns.track(conn, http.StateIdle)
			waits = conn.waitsSince
		})

		It("ends one that brings no request for longer than the idle limit", func() {
			Expect(conns.closeSlow(waits.Add(limits.idle), waits, limits)).To(BeZero())
			Expect(conns.closeSlow(waits.Add(limits.idle+time.Millisecond), waits, limits)).To(Equal(1))
			Expect(ended()).To(BeTrue())
			Expect(conns.closeSlow(waits.Add(time.Minute), waits, limits)).To(BeZero(), "it was ended")
		})

		It("ends one that takes longer than the limit for its headers, byte by byte", func() {
			first := waits.Add(5 * time.Second)
			conn.firstAt.Store(first.UnixNano())
			conn.heardAt.Store(first.Add(limits.header).UnixNano())
			Expect(conns.closeSlow(first.Add(limits.header), waits, limits)).To(BeZero())
			Expect(conns.closeSlow(first.Add(limits.header+time.Millisecond), waits, limits)).To(Equal(1))
		})

		It("does not count the time of a pause, in which nothing was read", func() {
			awake := waits.Add(time.Minute)
			Expect(conns.closeSlow(awake.Add(limits.idle), awake, limits)).To(BeZero())
			Expect(conns.closeSlow(awake.Add(limits.idle+time.Millisecond), awake, limits)).To(Equal(1))
		})

		It("leaves one alone with a request under way, and counts anew after it", func() {
			conns.track(conn, http.StateActive)
			Expect(conns.closeSlow(waits.Add(time.Hour), waits, limits)).To(BeZero())
			conn.firstAt.Store(waits.UnixNano())
			conns.track(conn, http.StateIdle)
			Expect(conns.closeSlow(conn.waitsSince.Add(limits.idle), waits, limits)).To(BeZero())
		})

		It("takes the operator's limits, and its own without them", func() {
			Expect(quietLimitsOf(nil)).To(Equal(quietLimits{defaultHeaderTimeout, defaultIdleTime}))
			c := catalog.New(1, nil, nil, nil, catalog.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Minute})
			Expect(quietLimitsOf(c)).To(Equal(quietLimits{time.Second, time.Minute}))
		})
	})

	It("closes the port once, for the stop and for the server after it", func() {
		Expect(conns.Close()).To(Succeed())
		Expect(conns.Close()).To(Succeed())
	})

	It("lets the server end its answers before an unread body is dropped", func() {
		caller, err := net.Dial("tcp", conns.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		accepted, err := conns.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(accepted.Close)
		half, can := accepted.(interface{ CloseWrite() error })
		Expect(can).To(BeTrue())
		Expect(half.CloseWrite()).To(Succeed())
		_, err = caller.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
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
