// Package instancelist reads the platform's list of instances. The list may be
// outdated. It provides the instances' identities and announces that instances
// leave, but it alone is never taken as proof that an instance runs or has died.
package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"lovagescale/internal/dialer"
)

// PathInstances is the path of the list on the platform.
const PathInstances = "/v1/instances"

// maxAnswerBytes bounds the body of an answer.
const maxAnswerBytes = 16 << 20

// State is an instance's state in the list.
type State string

// The states of an instance. Gone never occurs in the list, which leaves out the
// instances that are gone.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Instance is an entry instance as the list describes it.
type Instance struct {
	ID   string `json:"id" toml:"id"`
	Zone string `json:"availability_zone" toml:"availability_zone"`
	// Address is where the instance serves callers, Link where it serves the
	// system's own processes.
	Address string `json:"address" toml:"address"`
	Link    string `json:"link" toml:"link"`
	State   State  `json:"state" toml:"state"`
}

// UnavailableError reports that the list cannot be read.
type UnavailableError struct{ Cause error }

// Error implements the error interface.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("instance list is unavailable: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// StatusError reports an answer with a status other than 200.
type StatusError struct{ Status int }

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("instance list answered with status %d", e.Status)
}

// Client reads the list.
type Client struct {
	url        string
	timeout    time.Duration
	httpClient *http.Client
}

// NewClient returns a client for the platform at address ("IP:port"). timeout bounds
// each call.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{
		url:        "http://" + address + PathInstances,
		timeout:    timeout,
		httpClient: &http.Client{Transport: dialer.NewTransport(1)},
	}
}

// Instances returns the list, or an *UnavailableError.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	answer, err := c.httpClient.Do(request)
	if err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, &UnavailableError{Cause: &StatusError{Status: answer.StatusCode}}
	}
	var instances []Instance
	if err := json.NewDecoder(http.MaxBytesReader(nil, answer.Body, maxAnswerBytes)).Decode(&instances); err != nil {
		return nil, &UnavailableError{Cause: err}
	}
	return instances, nil
}
