package quota

import "fmt"

// RecordMalformedError reports a record of the store that cannot be decoded or
// encoded.
type RecordMalformedError struct {
	Key   string
	Cause error
}

// Error implements the error interface.
func (e *RecordMalformedError) Error() string {
	return fmt.Sprintf("quota record %q is malformed: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *RecordMalformedError) Unwrap() error { return e.Cause }
