package listener

// Limits are those of one listener.
type Limits struct {
	// MaxConns is the number of connections that may be open.
	MaxConns int
	// BufferBytes is the size of the kernel's receive and send buffers of a connection.
	BufferBytes int
	// QueueLength is the number of connections that may wait to be accepted.
	QueueLength int
}

// Part is a listener's part of the descriptors of a process, in thousandths.
type Part int

// The parts of the listeners of all processes. The rest is for the connections that the process
// opens: to endpoints, to the store and to its peers.
const (
	PartCallers   Part = 540
	PartLookups   Part = 100
	PartLink      Part = 70
	PartReadiness Part = 15
	PartOperator  Part = 10
	partsOfAll         = PartCallers + PartLookups + PartLink + PartReadiness + PartOperator
	wholeParts         = 1000
)

const (
	// fileDescriptors are the descriptors of a process that are kept for files.
	fileDescriptors = 200
	// minConns is the number of connections that every listener may have.
	minConns = 8
	// minBufferBytes and maxBufferBytes bound Limits.BufferBytes.
	minBufferBytes = 4 << 10
	maxBufferBytes = 64 << 10
	// buffersPerConn is what a connection may hold in the kernel, in units of
	// Limits.BufferBytes: two buffers, each of which the kernel doubles.
	buffersPerConn = 4
	// bufferMemoryPercent is the part of the memory of a process for the kernel's buffers of
	// all connections.
	bufferMemoryPercent = 26
	// maxQueueLength and auxiliaryQueueLength bound the connections that wait to be accepted.
	maxQueueLength       = 512
	auxiliaryQueueLength = 64
)

// Plan divides the descriptors and the memory of a process among its listeners.
type Plan struct {
	sockets, bufferBytes int
}

// NewPlan returns the plan for a process with the given memory in bytes and number of descriptors.
func NewPlan(memoryBytes int64, descriptors int) Plan {
	sockets := max(descriptors-fileDescriptors, 0)
	bufferMemory := memoryBytes * bufferMemoryPercent / 100
	conns := sockets * int(partsOfAll) / wholeParts
	if most := int(bufferMemory / (buffersPerConn * minBufferBytes)); conns > most {
		conns = most
		sockets = conns * wholeParts / int(partsOfAll)
	}
	each := int(bufferMemory) / max(conns, 1) / buffersPerConn
	return Plan{sockets: sockets, bufferBytes: min(max(each, minBufferBytes), maxBufferBytes)}
}

// Limits returns the limits of a listener that has a part of the descriptors.
func (p Plan) Limits(part Part) Limits {
	l := Limits{MaxConns: max(p.sockets*int(part)/wholeParts, minConns), BufferBytes: p.bufferBytes, QueueLength: auxiliaryQueueLength}
	if part == PartCallers {
		l.QueueLength = maxQueueLength
	}
	return l
}

// KernelBytes returns the most that the kernel can hold for the connections of a listener, also
// for those that wait to be accepted, which are only received from.
func (l Limits) KernelBytes() int64 {
	return int64(l.BufferBytes) * (int64(l.MaxConns)*buffersPerConn + int64(l.QueueLength)*buffersPerConn/2)
}
