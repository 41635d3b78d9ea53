package callerconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"lovagescale/internal/catalog"
)

func TestCallerConn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callerconn")
}

var _ = Describe("callers' connections", func() {
	var (
		conns *Listener
		conn  *Conn
		now   time.Time
	)
	BeforeEach(func() {
		serverSide, callerSide := net.Pipe()
		DeferCleanup(callerSide.Close)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		conns = NewListener(listener)
		DeferCleanup(conns.Close)
		conn = &Conn{Conn: serverSide}
		now = time.UnixMilli(1_000_000)
		conn.lastReadAt.Store(now.UnixNano())
	})
	// readsStopped reports whether a blocked read returns because reads were stopped.
	readsStopped := func() bool {
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

	It("stops reads from an idle connection, but not from one that was read a moment ago", func() {
		conns.Track(conn, http.StateIdle)
		Expect(conns.ExpireIdle(now.Add(minIdleTime/2))).To(Equal(1), "the goroutine of its request may not have run yet")
		Expect(conn.expired.Load()).To(BeFalse())
		conns.ExpireIdle(now.Add(minIdleTime))
		Expect(readsStopped()).To(BeTrue())
		conns.Track(conn, http.StateClosed)
		Expect(conns.ExpireIdle(now.Add(minIdleTime))).To(BeZero())
	})

	It("stops reads from a connection that never sent a byte", func() {
		conns.Track(conn, http.StateNew)
		conns.ExpireIdle(now.Add(minIdleTime))
		Expect(readsStopped()).To(BeTrue())
	})

	It("lets a connection continue whose request was read before reads were stopped", func() {
		conns.Track(conn, http.StateIdle)
		conns.ExpireIdle(now.Add(minIdleTime))
		conns.Track(conn, http.StateActive)
		Expect(readsStopped()).To(BeFalse())
	})

	It("waits for a connection with a request in flight", func() {
		conns.Track(conn, http.StateIdle)
		conns.Track(conn, http.StateActive)
		Expect(conns.ExpireIdle(now.Add(time.Minute))).To(Equal(1))
		Expect(conn.expired.Load()).To(BeFalse())
	})

	Context("with timeouts", func() {
		timeouts := Timeouts{header: 3 * time.Second, idle: 15 * time.Second}
		var waitingSince time.Time
		BeforeEach(func() {
			conns.Track(conn, http.StateIdle)
			waitingSince = conn.waitingSince
		})

		It("stops reads from a connection without a request for longer than the idle timeout", func() {
			Expect(conns.ExpireTimedOut(waitingSince.Add(timeouts.idle), waitingSince, timeouts)).To(BeZero())
			Expect(conns.ExpireTimedOut(waitingSince.Add(timeouts.idle+time.Millisecond), waitingSince, timeouts)).To(Equal(1))
			Expect(readsStopped()).To(BeTrue())
			Expect(conns.ExpireTimedOut(waitingSince.Add(time.Minute), waitingSince, timeouts)).To(BeZero(), "its reads were stopped already")
		})

		It("stops reads from a connection that sends its headers byte by byte for longer than the header timeout", func() {
			startedAt := waitingSince.Add(5 * time.Second)
			conn.requestStartedAt.Store(startedAt.UnixNano())
			conn.lastReadAt.Store(startedAt.Add(timeouts.header).UnixNano())
			Expect(conns.ExpireTimedOut(startedAt.Add(timeouts.header), waitingSince, timeouts)).To(BeZero())
			Expect(conns.ExpireTimedOut(startedAt.Add(timeouts.header+time.Millisecond), waitingSince, timeouts)).To(Equal(1))
		})

		It("does not count the time in which the process was paused and read nothing", func() {
			resumedAt := waitingSince.Add(time.Minute)
			Expect(conns.ExpireTimedOut(resumedAt.Add(timeouts.idle), resumedAt, timeouts)).To(BeZero())
			Expect(conns.ExpireTimedOut(resumedAt.Add(timeouts.idle+time.Millisecond), resumedAt, timeouts)).To(Equal(1))
		})

		It("ignores a connection with a request in flight and measures from its end", func() {
			conns.Track(conn, http.StateActive)
			Expect(conns.ExpireTimedOut(waitingSince.Add(time.Hour), waitingSince, timeouts)).To(BeZero())
			conn.requestStartedAt.Store(waitingSince.UnixNano())
			conns.Track(conn, http.StateIdle)
			Expect(conns.ExpireTimedOut(conn.waitingSince.Add(timeouts.idle), waitingSince, timeouts)).To(BeZero())
		})

		It("uses the operator's timeouts, or the default ones", func() {
			Expect(TimeoutsOf(nil)).To(Equal(Timeouts{defaultHeaderTimeout, defaultIdleTimeout}))
			c := catalog.New(1, nil, nil, nil, catalog.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Minute})
			Expect(TimeoutsOf(c)).To(Equal(Timeouts{time.Second, time.Minute}))
		})
	})

	It("closes the listener once, although a planned stop and the server both close it", func() {
		Expect(conns.Close()).To(Succeed())
		Expect(conns.Close()).To(Succeed())
	})

	It("lets the server close the sending side before it drops an unread body", func() {
		caller, err := net.Dial("tcp", conns.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		accepted, err := conns.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(accepted.Close)
		conn, ok := accepted.(interface{ CloseWrite() error })
		Expect(ok).To(BeTrue())
		Expect(conn.CloseWrite()).To(Succeed())
		_, err = caller.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	It("records the time of a read", func() {
		serverSide, callerSide := net.Pipe()
		DeferCleanup(callerSide.Close)
		received := &Conn{Conn: serverSide}
		go func() { _, _ = callerSide.Write([]byte("GET")) }()
		n, err := received.Read(make([]byte, 8))
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(Equal(3))
		Expect(received.lastReadAt.Load()).NotTo(BeZero())
	})
})
