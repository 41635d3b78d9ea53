package store

import (
	"bytes"
	"context"
	"encoding/json"
	"github.com/pkg/errors"

	"io"
	"lovagescale/internal/dialer"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Paths and headers of the HTTP binding.
const (
	PathKey        = "/v1/kv/"
	PathList       = "/v1/list/"
	PathLeases     = "/v1/leases"
	PathLeaseRenew = "/v1/leases/renew"
	// HeaderCaller names the header with the role that makes a call, so that the
	// store can count calls by role.
	HeaderCaller = "Store-Caller"
)

// maxAnswerBytes bounds the body of an answer. An entry in it needs room for a value
// of one megabyte in base64 and its framing.
const maxAnswerBytes = 64 << 20

// maxIdleConnections bounds the idle connections to the store.
const maxIdleConnections = 8

// watchMargin is how long the client waits for the answer to a watch beyond the
// watch's own wait.
const watchMargin = 2 * time.Second

// LeaseRequest is the body of a lease call. A call that grants a lease sets TTLMillis,
// a call that renews one sets Lease.
type LeaseRequest struct {
	TTLMillis int64   `json:"ttl_ms,omitempty"`
	Lease     LeaseID `json:"lease,omitempty"`
}

// LeaseReply is the body of the answer to a lease call. It names the lease that was
// granted or renewed.
type LeaseReply struct {
	Lease LeaseID `json:"lease"`
}

// ConflictReply is the body of a 409 answer and states the key's revision.
type ConflictReply struct {
	Found uint64 `json:"found"`
}

// HTTPClient implements Client over the HTTP binding.
type HTTPClient struct {
	baseURL    string
	callerRole string
	timeout    time.Duration
	httpClient *http.Client
}

// NewHTTPClient returns a client for the store at address ("IP:port"). callerRole is
// the role sent in HeaderCaller; timeout bounds each call except watches.
func NewHTTPClient(address, callerRole string, timeout time.Duration) *HTTPClient {
	return &HTTPClient{
		baseURL:    "http://" + address,
		callerRole: callerRole,
		timeout:    timeout,
		httpClient: &http.Client{Transport: dialer.NewTransport(maxIdleConnections)},
	}
}

// Get implements Client.
func (c *HTTPClient) Get(ctx context.Context, key string) (Entry, error) {
	return c.getEntry(ctx, key, url.Values{}, c.timeout)
}

// Watch implements Client.
func (c *HTTPClient) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	entry, err := c.getEntry(ctx, key, query, wait+watchMargin)
	if err != nil {
		return Entry{}, err
	}
	if entry.Revision <= after {
		return Entry{}, &NotChangedError{Key: key, After: after}
	}
	return entry, nil
}

func (c *HTTPClient) getEntry(ctx context.Context, key string, query url.Values, timeout time.Duration) (Entry, error) {
	var entry Entry
	path := PathKey + key
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	status, body, err := c.send(ctx, http.MethodGet, path, nil, timeout)
	if err != nil {
		return Entry{}, &UnavailableError{Operation: "get " + key, Cause: err}
	}
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(body, &entry); err != nil {
			return Entry{}, &UnavailableError{Operation: "get " + key, Cause: err}
		}
		return entry, nil
	case http.StatusNotFound:
		return Entry{}, &NotFoundError{Key: key}
	case http.StatusNotModified:
		return Entry{}, &NotChangedError{Key: key}
	default:
		return Entry{}, &UnavailableError{Operation: "get " + key, Cause: &StatusError{Status: status, Body: string(body)}}
	}
}

// List implements Client.
func (c *HTTPClient) List(ctx context.Context, prefix string) ([]Entry, error) {
	status, body, err := c.send(ctx, http.MethodGet, PathList+prefix, nil, c.timeout)
	if err != nil {
		return nil, &UnavailableError{Operation: "list " + prefix, Cause: err}
	}
	if status != http.StatusOK {
		return nil, &UnavailableError{Operation: "list " + prefix, Cause: &StatusError{Status: status, Body: string(body)}}
	}
	var entries []Entry
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, &UnavailableError{Operation: "list " + prefix, Cause: err}
	}
	return entries, nil
}

// CompareAndSet implements Client.
func (c *HTTPClient) CompareAndSet(ctx context.Context, write Write) (uint64, error) {
	query := url.Values{}
	query.Set("expect", strconv.FormatUint(write.Expect, 10))
	if write.Lease != "" {
		query.Set("lease", string(write.Lease))
	}
	path := PathKey + write.Key + "?" + query.Encode()
	status, body, err := c.send(ctx, http.MethodPut, path, write.Value, c.timeout)
	if err != nil {
		return 0, writeError("set "+write.Key, err)
	}
	switch status {
	case http.StatusOK:
		var entry Entry
		if err := json.Unmarshal(body, &entry); err != nil {
			return 0, &OutcomeUnknownError{Operation: "set " + write.Key, Cause: err}
		}
		return entry.Revision, nil
	case http.StatusConflict:
		var conflict ConflictReply
		_ = json.Unmarshal(body, &conflict) // the revision only informs the reader
		return 0, &ConflictError{Key: write.Key, Expect: write.Expect, Found: conflict.Found}
	case http.StatusGone:
		return 0, &LeaseLapsedError{Lease: write.Lease}
	default:
		return 0, writeStatusError("set "+write.Key, status, body)
	}
}

// Delete implements Client.
func (c *HTTPClient) Delete(ctx context.Context, key string, expect uint64) error {
	path := PathKey + key + "?expect=" + strconv.FormatUint(expect, 10)
	status, body, err := c.send(ctx, http.MethodDelete, path, nil, c.timeout)
	if err != nil {
		return writeError("delete "+key, err)
	}
	switch status {
	case http.StatusOK, http.StatusNotFound:
		return nil
	case http.StatusConflict:
		var conflict ConflictReply
		_ = json.Unmarshal(body, &conflict) // the revision only informs the reader
		return &ConflictError{Key: key, Expect: expect, Found: conflict.Found}
	default:
		return writeStatusError("delete "+key, status, body)
	}
}

// Grant implements Client.
func (c *HTTPClient) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	reply, err := c.postLease(ctx, PathLeases, LeaseRequest{TTLMillis: ttl.Milliseconds()})
	return reply.Lease, err
}

// Renew implements Client.
func (c *HTTPClient) Renew(ctx context.Context, lease LeaseID) error {
	_, err := c.postLease(ctx, PathLeaseRenew, LeaseRequest{Lease: lease})
	return err
}

func (c *HTTPClient) postLease(ctx context.Context, path string, request LeaseRequest) (LeaseReply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return LeaseReply{}, &UnavailableError{Operation: path, Cause: err}
	}
	status, responseBody, err := c.send(ctx, http.MethodPost, path, body, c.timeout)
	if err != nil {
		return LeaseReply{}, writeError(path, err)
	}
	switch status {
	case http.StatusOK:
		var reply LeaseReply
		if err := json.Unmarshal(responseBody, &reply); err != nil {
			return LeaseReply{}, &OutcomeUnknownError{Operation: path, Cause: err}
		}
		return reply, nil
	case http.StatusGone:
		return LeaseReply{}, &LeaseLapsedError{Lease: request.Lease}
	default:
		return LeaseReply{}, writeStatusError(path, status, responseBody)
	}
}

// writeStatusError returns the error for a write with an unexpected status. A 5xx
// status other than 503 may come from an intermediate server that stopped waiting
// while the store still carries out the write, so its outcome is unknown. With any
// other status the store refused the write.
func writeStatusError(operation string, status int, body []byte) error {
	cause := &StatusError{Status: status, Body: string(body)}
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		return &OutcomeUnknownError{Operation: operation, Cause: cause}
	}
	return &UnavailableError{Operation: operation, Cause: cause}
}

// writeError returns the error for a write that failed without an answer. If the
// connection could not be opened, the write was not sent; otherwise it may have
// been carried out.
func writeError(operation string, cause error) error {
	var opErr *net.OpError
	if errors.As(cause, &opErr) && opErr.Op == "dial" {
		return &UnavailableError{Operation: operation, Cause: cause}
	}
	return &OutcomeUnknownError{Operation: operation, Cause: cause}
}

// send makes one HTTP call and returns the status and body of its answer.
func (c *HTTPClient) send(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set(HeaderCaller, c.callerRole)
	answer, err := c.httpClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, err
	}
	return answer.StatusCode, responseBody, nil
}
