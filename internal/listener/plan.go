package listener

// Limits are those of one listener.
type Limits struct {
	// MaxConns is the number of connections that may be open.
	MaxConns int
	// ReceiveBytes and SendBytes are the sizes of the kernel's buffers of a connection. The kernel
	// doubles them.
	ReceiveBytes, SendBytes int
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
	// minBufferBytes and maxBufferBytes bound Limits.SendBytes.
	minBufferBytes = 4 << 10
	maxBufferBytes = 64 << 10
	// kernelPercent is the part of the memory of a process for the kernel's buffers of all
	// connections, also of those that wait to be accepted.
	kernelPercent = 32
)

// queueLengths are the connections that may wait to be accepted: as many callers as an instance
// serves may come at once, and all other processes after all have started.
var queueLengths = map[Part]int{PartCallers: 2048, PartLookups: 512, PartLink: 256, PartReadiness: 64, PartOperator: 64}

// receiveBytes returns the size of a receive buffer beside a send buffer: requests are smaller than
// answers.
func receiveBytes(sendBytes int) int { return sendBytes * 3 / 4 }

// Plan divides the descriptors and the memory of a process among its listeners.
type Plan struct{ sockets, sendBytes int }

// NewPlan returns the plan for a process with the given memory in bytes and number of descriptors.
func NewPlan(memoryBytes int64, descriptors int) Plan {
	queued := 0
	for _, length := range queueLengths {
		queued += length
	}
	kernelBytes := int(memoryBytes * kernelPercent / 100)
	p := Plan{sockets: max(descriptors-fileDescriptors, 0), sendBytes: minBufferBytes}
	smallest := Limits{ReceiveBytes: receiveBytes(minBufferBytes), SendBytes: minBufferBytes}
	most := max(kernelBytes-queued*smallest.queuedBytes(), 0) / smallest.connBytes()
	if most < p.conns() {
		p.sockets = most * wholeParts / int(partsOfAll)
	}
	whole := Limits{MaxConns: p.conns(), ReceiveBytes: receiveBytes(maxBufferBytes), SendBytes: maxBufferBytes, QueueLength: queued}
	p.sendBytes = max(int(int64(maxBufferBytes)*int64(kernelBytes)/whole.KernelBytes()), minBufferBytes)
	p.sendBytes = min(p.sendBytes, maxBufferBytes)
	return p
}

// conns returns the number of connections of all listeners of a process that has all of them.
func (p Plan) conns() int { return p.sockets * int(partsOfAll) / wholeParts }

// Limits returns the limits of a listener that has a part of the descriptors.
func (p Plan) Limits(part Part) Limits {
	return Limits{MaxConns: max(p.sockets*int(part)/wholeParts, minConns), QueueLength: queueLengths[part],
		ReceiveBytes: receiveBytes(p.sendBytes), SendBytes: p.sendBytes}
}

// doubled is the factor by which the kernel enlarges buffers for its own bookkeeping.
const doubled = 2

// connBytes returns the most that the kernel can hold for a connection, queuedBytes that for one that
// waits to be accepted.
func (l Limits) connBytes() int   { return doubled * (l.ReceiveBytes + l.SendBytes) }
func (l Limits) queuedBytes() int { return doubled * l.ReceiveBytes }

// KernelBytes returns the most that the kernel can hold for the connections of a listener.
func (l Limits) KernelBytes() int64 {
	return int64(l.MaxConns)*int64(l.connBytes()) + int64(l.QueueLength)*int64(l.queuedBytes())
}
