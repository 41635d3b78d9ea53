package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// Target is a path of an HTTP listener.
type Target struct {
	Host, Path string
	// Fields are further header fields, each ended by CRLF.
	Fields string
	// LargePath is a path whose answer is large, or that of Path.
	LargePath string
}

// Sizes of the crowds. They are small: the limits of the tested process are lowered to match.
const (
	// crowdMembers is the number of connections that send or hold bytes.
	crowdMembers = 200
	// connectionMembers is the number of connections that only hold descriptors.
	connectionMembers = 500
	// bodyBytes is the size of a body of legal size, smallBodyBytes that of one in small pieces.
	bodyBytes      = 1 << 20
	smallBodyBytes = 128 << 10
	pieceBytes     = 512
	chunkBytes     = 1 << 10
	// statedBytes is the stated size of a body over the limit, sentBytes what is sent of it.
	statedBytes = 1 << 30
	sentBytes   = 4 << 20
	// headBytes is the size of a head of many short fields, within the limit of 16 KiB.
	headBytes = 16_000
	// headsAhead and requestsAhead are numbers of requests that are sent on one connection.
	headsAhead    = 8
	requestsAhead = 2000
	largeAhead    = 20
)

// HTTPKinds returns the kinds of callers of an HTTP listener that do not behave.
func HTTPKinds(t Target) []Kind {
	return []Kind{
		{Name: "bodies-whole", Members: crowdMembers, Send: t.sendBody(bodyBytes, bodyBytes)},
		{Name: "bodies-pieces", Members: crowdMembers, Send: t.sendBody(smallBodyBytes, pieceBytes)},
		{Name: "bodies-chunked", Members: crowdMembers, Send: t.sendChunks},
		{Name: "bodies-over", Members: crowdMembers, Send: t.sendTooMuch},
		{Name: "bodies-drip", Members: crowdMembers, Send: t.sendText(t.head("POST", fmt.Sprintf("Content-Length: %d\r\n", bodyBytes))), Drip: "x"},
		{Name: "fields", Members: crowdMembers, Send: t.sendFields},
		{Name: "requests-ahead", Members: crowdMembers, Send: t.sendText(strings.Repeat(t.head("GET", ""), requestsAhead))},
		{Name: "answers-unread", Members: crowdMembers, Send: t.large().sendText(strings.Repeat(t.large().head("GET", ""), largeAhead))},
		{Name: "heads-half", Members: connectionMembers, Send: t.sendText(strings.TrimSuffix(t.head("GET", "X-A: b"), "\r\n"))},
		{Name: "heads-drip", Members: connectionMembers, Send: t.sendText("GET " + t.Path), Drip: "a"},
		{Name: "idle", Members: connectionMembers, Send: t.sendText("")},
	}
}

// head returns the head of a request with further fields.
func (t Target) head(method, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s%s\r\n", method, t.Path, t.Host, t.Fields, fields)
}

// large returns the target with the large answer.
func (t Target) large() Target {
	if t.LargePath != "" {
		t.Path = t.LargePath
	}
	return t
}

func (t Target) sendText(text string) func(net.Conn) error {
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, text)
		return err
	}
}

// sendBody sends a body in pieces, but for its last byte.
func (t Target) sendBody(size, piece int) func(net.Conn) error {
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, t.head("POST", fmt.Sprintf("Content-Length: %d\r\n", size))); err != nil {
			return err
		}
		body := make([]byte, piece)
		for left := size - 1; left > 0; {
			n, err := conn.Write(body[:min(left, piece)])
			if err != nil {
				return err
			}
			left -= n
		}
		return nil
	}
}

// sendChunks sends a body in chunks without the last one.
func (t Target) sendChunks(conn net.Conn) error {
	if _, err := io.WriteString(conn, t.head("POST", "Transfer-Encoding: chunked\r\n")); err != nil {
		return err
	}
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	for range bodyBytes / chunkBytes {
		if _, err := io.WriteString(conn, chunk); err != nil {
			return err
		}
	}
	return nil
}

// sendTooMuch sends a part of a body that is larger than any limit.
func (t Target) sendTooMuch(conn net.Conn) error {
	if _, err := io.WriteString(conn, t.head("POST", fmt.Sprintf("Content-Length: %d\r\n", statedBytes))); err != nil {
		return err
	}
	_, err := conn.Write(make([]byte, sentBytes))
	return err
}

// sendFields sends heads of many short fields, the last of them without its end.
func (t Target) sendFields(conn net.Conn) error {
	var fields strings.Builder
	for n := 0; fields.Len() < headBytes-len(t.head("GET", "")); n++ {
		fmt.Fprintf(&fields, "%x:\r\n", 0x1000+n)
	}
	head := t.head("GET", fields.String())
	_, err := io.WriteString(conn, strings.Repeat(head, headsAhead)+strings.TrimSuffix(head, "\r\n"))
	return err
}
