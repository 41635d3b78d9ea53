// Package ownership decides which entry of an availability zone uses which
// upstream endpoint.
package ownership
