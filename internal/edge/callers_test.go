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
