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
	// HeaderCaller names the role that makes a call, so that the store can
	// account for calls by role.
	HeaderCaller = "Store-Caller"
)

// maxAnswerBytes bounds an answer: a megabyte of value in base64 and framing.
const maxAnswerBytes = 64 << 20

// maxIdleConnections bounds the idle connections to the store.
const maxIdleConnections = 8

// watchMargin is added to a watch's wait before the client gives up on it.
const watchMargin = 2 * time.Second

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMillis int64   `json:"ttl_ms,omitempty"`
	Lease     LeaseID `json:"lease,omitempty"`
}

// LeaseReply names the lease granted or renewed.
type LeaseReply struct {
	Lease LeaseID `json:"lease"`
}

// ConflictReply is the body of a 409 answer.
type ConflictReply struct {
	Found uint64 `json:"found"`
}

// HTTPClient speaks the HTTP binding.
type HTTPClient struct {
	base    string
	caller  string
	timeout time.Duration
	http    *http.Client
}

// NewHTTPClient returns a client of the store at address ("IP:port"). Caller
// names the role; timeout bounds each call but watches.
func NewHTTPClient(address, caller string, timeout time.Duration) *HTTPClient {
	return &HTTPClient{
		base:    "http://" + address,
		caller:  caller,
		timeout: timeout,
		http:    &http.Client{Transport: dialer.NewTransport(maxIdleConnections)},
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
	status, body, err := c.call(ctx, http.MethodGet, path, nil, timeout)
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
	status, body, err := c.call(ctx, http.MethodGet, PathList+prefix, nil, c.timeout)
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
	status, body, err := c.call(ctx, http.MethodPut, path, write.Value, c.timeout)
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
		_ = json.Unmarshal(body, &conflict) // the found revision is informative only
		return 0, &ConflictError{Key: write.Key, Expect: write.Expect, Found: conflict.Found}
	case http.StatusGone:
		return 0, &LeaseLapsedError{Lease: write.Lease}
	default:
		return 0, statusError("set "+write.Key, status, body)
	}
}

// Delete implements Client.
func (c *HTTPClient) Delete(ctx context.Context, key string, expect uint64) error {
	path := PathKey + key + "?expect=" + strconv.FormatUint(expect, 10)
	status, body, err := c.call(ctx, http.MethodDelete, path, nil, c.timeout)
	if err != nil {
		return writeError("delete "+key, err)
	}
	switch status {
	case http.StatusOK, http.StatusNotFound:
		return nil
	case http.StatusConflict:
		var conflict ConflictReply
		_ = json.Unmarshal(body, &conflict) // the found revision is informative only
		return &ConflictError{Key: key, Expect: expect, Found: conflict.Found}
	default:
		return statusError("delete "+key, status, body)
	}
}

// Grant implements Client.
func (c *HTTPClient) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	reply, err := c.lease(ctx, PathLeases, LeaseRequest{TTLMillis: ttl.Milliseconds()})
	return reply.Lease, err
}

// Renew implements Client.
func (c *HTTPClient) Renew(ctx context.Context, lease LeaseID) error {
	_, err := c.lease(ctx, PathLeaseRenew, LeaseRequest{Lease: lease})
	return err
}

func (c *HTTPClient) lease(ctx context.Context, path string, request LeaseRequest) (LeaseReply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return LeaseReply{}, &UnavailableError{Operation: path, Cause: err}
	}
	status, answer, err := c.call(ctx, http.MethodPost, path, body, c.timeout)
	if err != nil {
		return LeaseReply{}, writeError(path, err)
	}
	switch status {
	case http.StatusOK:
		var reply LeaseReply
		if err := json.Unmarshal(answer, &reply); err != nil {
			return LeaseReply{}, &OutcomeUnknownError{Operation: path, Cause: err}
		}
		return reply, nil
	case http.StatusGone:
		return LeaseReply{}, &LeaseLapsedError{Lease: request.Lease}
	default:
		return LeaseReply{}, statusError(path, status, answer)
	}
}

// statusError tells a write that the store refused from one that a server on
// the way gave up on, which may still be carried out.
func statusError(operation string, status int, body []byte) error {
	cause := &StatusError{Status: status, Body: string(body)}
	if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
		return &OutcomeUnknownError{Operation: operation, Cause: cause}
	}
	return &UnavailableError{Operation: operation, Cause: cause}
}

// writeError tells a write that cannot have been sent from one that may have
// been carried out.
func writeError(operation string, cause error) error {
	var dial *net.OpError
	if errors.As(cause, &dial) && dial.Op == "dial" {
		return &UnavailableError{Operation: operation, Cause: cause}
	}
	return &OutcomeUnknownError{Operation: operation, Cause: cause}
}

func (c *HTTPClient) call(ctx context.Context, method, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set(HeaderCaller, c.caller)
	answer, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer answer.Body.Close()
	content, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, err
	}
	return answer.StatusCode, content, nil
}
