package operator

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"lovagescale/internal/callerconn"
	"lovagescale/internal/listener"
	"lovagescale/internal/pipeline"
	"lovagescale/internal/refusal"
	"lovagescale/internal/unreadbody"
)

// Timeouts of a server whose requests are short and have no bodies.
const (
	// readHeaderTimeout bounds how long a server waits for a request's headers, so that
	// a slow client cannot hold its connection open.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the reading of a request with its body.
	readTimeout = 10 * time.Second
	// writeTimeout bounds the handling of a request and the writing of its answer.
	writeTimeout = time.Minute
	// idleTimeout is longer than callers keep idle connections.
	idleTimeout = 2 * time.Minute
)

const (
	// defaultMaxHeadBytes is the limit of heads if Limits sets none.
	defaultMaxHeadBytes = 64 << 10
	// maxReadHeadBytes is the size of a head with separators above which the HTTP library
	// rejects the request.
	maxReadHeadBytes = 256 << 10
	// maxAheadBytes bounds what is read of a connection behind the request that is handled.
	maxAheadBytes = 4 << 10
	// maxBodyBytes is the size of a body that a handler gets.
	maxBodyBytes = 16 << 10
)

// Limits bound what the clients of a server can make it hold. The zero value has no limits but
// those of heads and times.
type Limits struct {
	Listener listener.Options
	// Heads limits the heads of requests. Nil stands for limits without memory.
	Heads *pipeline.HeadLimits
	// ReadAhead is the memory for what is read behind a request. Nil stands for no limit.
	ReadAhead pipeline.Memory
}

// Serve serves handler on listener until ctx ends. It then accepts no more connections and waits at
// most drainTimeout for running requests to end. Requests must be short: if the listener is full,
// the one that has lasted longest loses its connection when no connection waits for a request.
func Serve(ctx context.Context, opened net.Listener, handler http.Handler, limits Limits, drainTimeout time.Duration) error {
	limited := listener.Limit(opened, limits.Listener)
	heads := limits.Heads
	if heads == nil {
		heads = &pipeline.HeadLimits{MaxBytes: func() int { return defaultMaxHeadBytes }, Refusal: headRefusal}
	}
	ahead := pipeline.NewListener(limited, pipeline.Options{MaxBytes: maxAheadBytes, Memory: limits.ReadAhead, Heads: heads,
		Registry: limits.Listener.Registry, Prefix: limits.Listener.Prefix + cmp.Or(limits.Listener.Name, "operators") + ".", Log: limits.Listener.Log})
	conns := callerconn.NewListener(ahead)
	limited.OnFull(func() bool {
		return conns.MakeRoom(time.Now()) || conns.DisconnectLongest() || conns.Tracked() < limited.Open()
	})
	server := &http.Server{
		Handler:     pipeline.Handler(withoutBody(handler), func(*http.Request) bool { return false }),
		ConnContext: callerconn.ConnContext, ConnState: conns.Track, MaxHeaderBytes: maxReadHeadBytes,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(conns) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTimeout)
	defer cancel()
	return server.Shutdown(drainCtx)
}

// withoutBody returns a handler that answers requests without reading their bodies, except that
// next gets small ones of PUT.
func withoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && r.ContentLength >= 0 && r.ContentLength <= maxBodyBytes {
			next.ServeHTTP(w, r)
			return
		}
		unreadbody.Answer(w, r, func() { next.ServeHTTP(w, r) })
	})
}

// headRefusal returns the refusal of a request whose head is not read to its end.
func headRefusal(tooLarge bool) []byte {
	refused := refusal.New(http.StatusServiceUnavailable, refusal.NoCapacity, refusal.NotRun, "no memory for the headers").WithRetryAfter(time.Second)
	if tooLarge {
		refused = refusal.New(http.StatusRequestHeaderFieldsTooLarge, refusal.HeadersTooLarge, refusal.NotRun, "headers are above the limit")
	}
	return pipeline.RawResponse(refused.Write)
}
