// Package unit defines the quantities that settings and configuration texts
// carry: durations, rates of requests and rates of bytes. Each type reads the
// notation of the texts and writes it back unchanged in meaning.
package unit

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// bitsPerByte converts link bandwidths, which texts give in bits.
const bitsPerByte = 8

// SyntaxError reports a quantity that cannot be read.
type SyntaxError struct {
	// Quantity names the kind of quantity expected, such as "duration".
	Quantity string
	// Text is the value found.
	Text string
	// Example shows a value that would be accepted.
	Example string
}

// Error implements the error interface.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%q is not a %s (example: %q)", e.Text, e.Quantity, e.Example)
}

// Duration is a time.Duration written as in Go, for example "250ms".
type Duration time.Duration

// UnmarshalText reads a non-negative duration. It returns a *SyntaxError.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return &SyntaxError{Quantity: "duration", Text: string(text), Example: "250ms"}
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// ByteRate is a link bandwidth in bytes per second, written in bits, for
// example "280Mbit/s".
type ByteRate float64

var byteRateSuffixes = []struct {
	suffix string
	bits   float64
}{
	{"Gbit/s", 1e9},
	{"Mbit/s", 1e6},
	{"kbit/s", 1e3},
	{"bit/s", 1},
}

// UnmarshalText reads a positive bandwidth. It returns a *SyntaxError.
func (r *ByteRate) UnmarshalText(text []byte) error {
	for _, s := range byteRateSuffixes {
		number, found := strings.CutSuffix(string(text), s.suffix)
		if !found {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || value <= 0 {
			break
		}
		*r = ByteRate(value * s.bits / bitsPerByte)
		return nil
	}
	return &SyntaxError{Quantity: "bandwidth", Text: string(text), Example: "280Mbit/s"}
}

// MarshalText writes the bandwidth with the largest unit that keeps it whole.
func (r ByteRate) MarshalText() ([]byte, error) {
	bits := float64(r) * bitsPerByte
	for _, s := range byteRateSuffixes {
		if bits >= s.bits {
			return []byte(strconv.FormatFloat(bits/s.bits, 'g', -1, 64) + s.suffix), nil
		}
	}
	return []byte(strconv.FormatFloat(bits, 'g', -1, 64) + "bit/s"), nil
}

// Rate is a number of requests per second, written for example "200/s".
type Rate float64

// UnmarshalText reads a positive rate per second or minute. It returns a
// *SyntaxError.
func (r *Rate) UnmarshalText(text []byte) error {
	seconds := 1.0
	number, found := strings.CutSuffix(string(text), "/s")
	if !found {
		number, found = strings.CutSuffix(string(text), "/min")
		seconds = 60
	}
	value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if !found || err != nil || value <= 0 {
		return &SyntaxError{Quantity: "rate", Text: string(text), Example: "200/s"}
	}
	*r = Rate(value / seconds)
	return nil
}

// MarshalText writes the rate per second.
func (r Rate) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(r), 'g', -1, 64) + "/s"), nil
}
