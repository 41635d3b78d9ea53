package crowd

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is what a process holds at one moment.
type Usage struct {
	// ResidentBytes is the resident memory of the process.
	ResidentBytes int64
	// UnreadBytes are the bytes that the kernel has received for the listeners and that the
	// process has not read. UnsentBytes are those that it has written and that the callers
	// have not taken.
	UnreadBytes, UnsentBytes int64
	// Sockets is the number of open sockets of the process.
	Sockets int
}

// MemoryBytes returns the memory of the process with what the kernel holds for it.
func (u Usage) MemoryBytes() int64 { return u.ResidentBytes + u.UnreadBytes + u.UnsentBytes }

// String returns the usage for the message of a failed test.
func (u Usage) String() string {
	return fmt.Sprintf("%.1f MB (resident %.1f, unread %.1f, unsent %.1f), %d sockets", float64(u.MemoryBytes())/1e6,
		float64(u.ResidentBytes)/1e6, float64(u.UnreadBytes)/1e6, float64(u.UnsentBytes)/1e6, u.Sockets)
}

// Measure returns the usage of a process that listens on the given addresses.
func Measure(pid int, listeners []string) (Usage, error) {
	var u Usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	_, after, _ := strings.Cut(string(status), "VmRSS:")
	var kilobytes int64
	if _, err := fmt.Sscan(after, &kilobytes); err != nil {
		return u, fmt.Errorf("process %d has no resident memory: %w", pid, err)
	}
	u.ResidentBytes = kilobytes << 10
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return u, err
	}
	for _, descriptor := range descriptors {
		if target, err := os.Readlink(descriptor); err == nil && strings.HasPrefix(target, "socket:") {
			u.Sockets++
		}
	}
	u.UnreadBytes, u.UnsentBytes, err = queuedBytes(listeners)
	return u, err
}

// listenState is the state of listening sockets in the kernel's table, whose queues count
// connections.
const listenState = "0A"

// queuedBytes returns the bytes in the kernel's queues of the connections to the listeners.
func queuedBytes(listeners []string) (unread, unsent int64, err error) {
	local, err := kernelNames(listeners)
	if err != nil {
		return 0, 0, err
	}
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, 0, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[3] == listenState || !slices.Contains(local, fields[1]) {
			continue
		}
		sending, receiving, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(receiving, 16, 64)
		if err != nil {
			return 0, 0, err
		}
		unread += n
		if n, err = strconv.ParseInt(sending, 16, 64); err != nil {
			return 0, 0, err
		}
		unsent += n
	}
	return unread, unsent, lines.Err()
}

// kernelNames returns IPv4 addresses in the notation of the kernel's table.
func kernelNames(addresses []string) ([]string, error) {
	names := make([]string, 0, len(addresses))
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		octets := parsed.Addr().As4()
		slices.Reverse(octets[:]) // the table has the address in the byte order of the machine
		names = append(names, fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(octets[:])), parsed.Port()))
	}
	return names, nil
}

// sampleInterval is the interval of a Meter's measurements.
const sampleInterval = 10 * time.Millisecond

// Meter measures a process again and again.
type Meter struct {
	pid       int
	listeners []string
	stop      chan struct{}
	ended     sync.WaitGroup

	mu sync.Mutex
	// memory and sockets are the measurements with the most of each.
	memory, sockets Usage
	err             error
}

// StartMeter measures a process that listens on the given addresses until Stop is called.
func StartMeter(pid int, listeners []string) *Meter {
	m := &Meter{pid: pid, listeners: listeners, stop: make(chan struct{})}
	m.ended.Go(func() {
		for {
			m.Sample()
			select {
			case <-m.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return m
}

// Sample measures once.
func (m *Meter) Sample() {
	usage, err := Measure(m.pid, m.listeners)
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.err = err
		return
	}
	if usage.MemoryBytes() > m.memory.MemoryBytes() {
		m.memory = usage
	}
	if usage.Sockets > m.sockets.Sockets {
		m.sockets = usage
	}
}

// Stop ends the measurements and returns those with the most memory and the most sockets.
func (m *Meter) Stop() (memory, sockets Usage, err error) {
	close(m.stop)
	m.ended.Wait()
	return m.memory, m.sockets, m.err
}
