package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"lovagescale/internal/bodymemory"
)

// sendPart sends a part of a request and returns its connection.
func (s *servingInstance) sendPart(g *WithT, text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, text)
	g.Expect(err).NotTo(HaveOccurred())
	return conn
}

// readLast returns the status of an answer that must be complete and end its connection.
func readLast(g *WithT, conn net.Conn) int {
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = reader.ReadByte()
	g.Expect(err).To(MatchError(io.EOF), "the connection ends, and not by a reset")
	return response.StatusCode
}

// A body that stopped short of its end kept its memory and its connection for as long as its caller
// liked, without an answer.
func TestBodyThatDoesNotArriveInTimeIsRefused(t *testing.T) {
	g := NewWithT(t)
	s := serveSmallestInstance(t)
	conn := s.sendPart(g, "POST /drip/1 HTTP/1.1\r\nHost: example.com\r\nContent-Length: 100000\r\n\r\nbody")
	g.Eventually(s.heldBytes, "10s").Should(BeNumerically(">", 0))
	g.Expect(readLast(g, conn)).To(Equal(http.StatusRequestTimeout), "which promises that it has not run")
	g.Eventually(s.heldBytes, "10s").Should(BeZero())
}

// Callers that state large bodies and send little of them kept the memory from all others.
func TestUnfinishedBodyGivesWay(t *testing.T) {
	g := NewWithT(t)
	s := serveSmallestInstance(t)
	filler, err := s.edge.memory.Reserve(bodymemory.ReadAhead, s.edge.memory.Limit()*7/8-5<<19)
	g.Expect(err).NotTo(HaveOccurred())
	defer filler.Release()
	const body = 1_800_000
	unfinished := s.sendPart(g, "POST /see/1 HTTP/1.1\r\nHost: example.com\r\nContent-Length: 1800000\r\n\r\n"+string(make([]byte, body-1)))
	g.Eventually(s.heldBytes, "10s").Should(BeNumerically(">", filler.Size()+body-1))
	response, err := http.Post("http://"+s.address+"/see/1", "", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	conn := s.sendPart(g, "POST /see/1 HTTP/1.1\r\nHost: example.com\r\nConnection: close\r\nContent-Length: 900000\r\n\r\n"+string(make([]byte, 900_000)))
	g.Expect(readLast(g, conn)).To(Equal(http.StatusOK))
	g.Expect(readLast(g, unfinished)).To(Equal(http.StatusServiceUnavailable), "it held most")
	g.Expect(s.disconnected(bodymemory.GaveWay)).To(BeEquivalentTo(1))
}
