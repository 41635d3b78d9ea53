package crowd

import (
	"encoding/binary"
	"net"
	"strings"
	"time"

	"lovagescale/internal/wire"
)

// frameHeaderBytes is the size of what precedes the envelope of a frame.
const frameHeaderBytes = 5

// LinkKinds returns the kinds of strangers at the link between processes that do not behave.
// many is a message of legal size with very many short elements.
func LinkKinds(many wire.Envelope) []Kind {
	return []Kind{
		{Name: "frames-whole", Members: crowdMembers, Send: func(conn net.Conn) error {
			return sendFrame(conn, wire.DefaultMaxFrameBytes, sentBytes)
		}},
		{Name: "frames-over", Members: crowdMembers, Send: func(conn net.Conn) error {
			return sendFrame(conn, statedBytes, sentBytes)
		}},
		{Name: "elements", Members: crowdMembers, Send: func(conn net.Conn) error { return sendMessage(conn, many) }},
		{Name: "requests-ahead", Members: crowdMembers, Send: sendRequestsAhead},
		{Name: "frames-half", Members: connectionMembers, Send: func(conn net.Conn) error { return sendFrame(conn, bodyBytes, 1) }},
		{Name: "frames-drip", Members: connectionMembers, Send: func(conn net.Conn) error { return sendFrame(conn, bodyBytes, 1) }, Drip: "x"},
		{Name: "idle", Members: connectionMembers, Send: func(net.Conn) error { return nil }},
	}
}

// sendFrame sends a part of a frame.
func sendFrame(conn net.Conn, stated, sent int) error {
	frame := make([]byte, frameHeaderBytes+sent)
	binary.BigEndian.PutUint32(frame, uint32(stated))
	frame[frameHeaderBytes-1] = wire.Version
	_, err := conn.Write(frame)
	return err
}

// sendRequestsAhead sends many requests with long types, which the error replies repeat.
func sendRequestsAhead(conn net.Conn) error {
	for id := range uint64(requestsAhead) {
		envelope, err := wire.Encode(strings.Repeat("x", chunkBytes), id+1, struct{}{})
		if err != nil {
			return err
		}
		if err := sendMessage(conn, envelope); err != nil {
			return err
		}
	}
	return nil
}

func sendMessage(conn net.Conn, envelope wire.Envelope) error {
	return wire.NewConn(conn).Send(envelope, time.Now().Add(dialTimeout))
}
