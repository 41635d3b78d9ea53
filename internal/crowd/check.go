package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"lovagescale/internal/link"
)

// Bounds are the limits that a process is started with.
type Bounds struct {
	MemoryBytes int64
	// Sockets are the descriptors without those that are kept for files.
	Sockets int
}

// TestMemoryMB and TestDescriptors are the lowered limits of the tested processes, of which
// fileDescriptors are kept for files.
const (
	TestMemoryMB    = 120
	TestDescriptors = 600
	fileDescriptors = 200
)

// TestBounds returns the bounds that follow from the lowered limits.
func TestBounds() Bounds {
	return Bounds{MemoryBytes: TestMemoryMB * 1_000_000, Sockets: TestDescriptors - fileDescriptors}
}

// Ordinary is an ordinary request. It returns an error if it is not served.
type Ordinary func() error

// Subject is a running process with its listeners.
type Subject struct {
	Process *Process
	// Listeners are the addresses of all its listeners, by name.
	Listeners map[string]string
	// Ordinary are ordinary requests to the listeners, by name.
	Ordinary map[string]Ordinary
	Bounds   Bounds
}

// patience is how long an ordinary caller tries again. It is no bound on the process.
const patience = 30 * time.Second

// Check lets a crowd gather at a listener of the process and checks that the process lives, that
// its memory and sockets stay within the bounds, and that ordinary requests to all of its listeners
// are served while the crowd stays and afterwards.
func (s *Subject) Check(t *testing.T, kind Kind, listener string) {
	t.Helper()
	s.serveAll(t, "before the crowd")
	meter := StartMeter(s.Process.PID(), s.addresses())
	crowd := Gather(kind, s.Listeners[listener])
	meter.Sample()
	s.serveAll(t, "while the crowd stays")
	meter.Sample() // the connections that came before the ordinary request are accepted now
	crowd.Close()
	s.serveAll(t, "after the crowd")
	s.checkUsage(t, meter)
}

// addresses returns the addresses of all listeners.
func (s *Subject) addresses() []string { return slices.Collect(maps.Values(s.Listeners)) }

// serveAll sends an ordinary request to each listener, again and again until it is served.
func (s *Subject) serveAll(t *testing.T, when string) {
	t.Helper()
	for name, ordinary := range s.Ordinary {
		err := ordinary()
		for end := time.Now().Add(patience); err != nil && time.Now().Before(end) && s.Process.Err() == nil; err = ordinary() {
			time.Sleep(100 * time.Millisecond)
		}
		if err != nil {
			t.Errorf("%s, an ordinary request at %s: %v", when, name, err)
		}
	}
}

// ordinaryTimeout bounds one try of an ordinary request.
const ordinaryTimeout = 5 * time.Second

// HTTPOrdinary returns a request that must be answered with status 200. A body makes it a POST.
func HTTPOrdinary(address, host, path, fields, body string) Ordinary {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
		fields += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n%s\r\n%s", method, path, host, fields, body)
	return func() error {
		conn, err := net.DialTimeout("tcp", address, ordinaryTimeout)
		if err != nil {
			return err
		}
		defer conn.Close()
		if err := conn.SetDeadline(time.Now().Add(ordinaryTimeout)); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, request); err != nil {
			return err
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		answer, err := io.ReadAll(response.Body)
		if err == nil && response.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d: %s", response.StatusCode, answer)
		}
		return err
	}
}

// LinkOrdinary returns a request on a link that must get a reply.
func LinkOrdinary(address string) Ordinary {
	return func() error {
		ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
		defer cancel()
		client := link.NewClient(address)
		defer client.Close()
		err := client.Call(ctx, "crowd.ordinary", struct{}{}, &struct{}{})
		var remote *link.RemoteError
		if errors.As(err, &remote) {
			return nil // the reply names the unknown type
		}
		return err
	}
}

// SkipIfKnownRed skips a test that KNOWN-RED.txt lists, unless LOVAGE_KNOWN_RED is set.
func SkipIfKnownRed(t *testing.T) {
	t.Helper()
	folder, err := os.Getwd()
	for ; err == nil; folder = filepath.Dir(folder) {
		content, readErr := os.ReadFile(filepath.Join(folder, "KNOWN-RED.txt"))
		if readErr != nil && folder != filepath.Dir(folder) {
			continue
		}
		if readErr == nil && os.Getenv("LOVAGE_KNOWN_RED") == "" {
			for line := range strings.Lines(string(content)) {
				if name, _, _ := strings.Cut(strings.TrimSpace(line), ":"); name == t.Name() {
					t.Skip("listed in KNOWN-RED.txt")
				}
			}
		}
		return
	}
	t.Fatal(err)
}

// CheckOne checks that a request is served and that the process stays within its bounds meanwhile.
func (s *Subject) CheckOne(t *testing.T, request Ordinary) {
	t.Helper()
	s.serveAll(t, "before the request")
	meter := StartMeter(s.Process.PID(), s.addresses())
	if err := request(); err != nil {
		t.Error(err)
	}
	s.serveAll(t, "after the request")
	s.checkUsage(t, meter)
}

// checkUsage checks that the process lives and that it has stayed within its bounds.
func (s *Subject) checkUsage(t *testing.T, meter *Meter) {
	t.Helper()
	memory, sockets, err := meter.Stop()
	if err := s.Process.Err(); err != nil {
		t.Error(err)
	}
	if err != nil {
		t.Error(err)
	}
	t.Logf("most memory: %v; most sockets: %d", memory, sockets.Sockets)
	if memory.MemoryBytes() > s.Bounds.MemoryBytes {
		t.Errorf("the process held %v, above the limit of %.1f MB", memory, float64(s.Bounds.MemoryBytes)/1e6)
	}
	if sockets.Sockets > s.Bounds.Sockets {
		t.Errorf("the process had %d sockets, above the limit of %d", sockets.Sockets, s.Bounds.Sockets)
	}
}

// ChunkedOrdinary returns a POST with a body in chunks that must be answered with status 200.
func ChunkedOrdinary(address, host, path, fields string, size int) Ordinary {
	return func() error {
		body := io.LimitReader(filler{}, int64(size))
		request, err := http.NewRequest(http.MethodPost, "http://"+address+path, body)
		if err != nil {
			return err
		}
		request.Host = host
		for line := range strings.SplitSeq(strings.TrimSuffix(fields, "\r\n"), "\r\n") {
			name, value, _ := strings.Cut(line, ": ")
			request.Header.Set(name, value)
		}
		response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}).Do(request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", response.StatusCode)
		}
		return nil
	}
}

// filler is a source of bytes without an end.
type filler struct{}

// Read implements io.Reader.
func (filler) Read(p []byte) (int, error) { return len(p), nil }
