// Package unit defines the quantities in settings and configuration texts:
// durations, request rates and link bandwidths. Each type parses the notation of
// the texts and formats its value in the same notation.
package unit

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// bitsPerByte converts link bandwidths, which texts give in bits per second.
const bitsPerByte = 8

// SyntaxError reports a quantity that cannot be parsed.
type SyntaxError struct {
	// Quantity is the expected kind of quantity, such as "duration".
	Quantity string
	// Text is the value that was found.
	Text string
	// Example is a valid value.
	Example string
}

// Error implements the error interface.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%q is not a %s (example: %q)", e.Text, e.Quantity, e.Example)
}

// Duration is a time.Duration in Go's notation, for example "250ms".
type Duration time.Duration

// UnmarshalText parses a non-negative duration. It returns a *SyntaxError.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return &SyntaxError{Quantity: "duration", Text: string(text), Example: "250ms"}
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText formats the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// ByteRate is a link bandwidth in bytes per second. Its notation is in bits per
// second, for example "280Mbit/s".
type ByteRate float64

// bandwidthUnits is ordered from the largest unit to the smallest. "bit/s" must come
// last, because it is a suffix of the others.
var bandwidthUnits = []struct {
	suffix        string
	bitsPerSecond float64
}{
	{"Gbit/s", 1e9},
	{"Mbit/s", 1e6},
	{"kbit/s", 1e3},
	{"bit/s", 1},
}

// UnmarshalText parses a positive bandwidth. It returns a *SyntaxError.
func (r *ByteRate) UnmarshalText(text []byte) error {
	for _, unit := range bandwidthUnits {
		number, hasUnit := strings.CutSuffix(string(text), unit.suffix)
		if !hasUnit {
			continue
		}
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		if err != nil || value <= 0 {
			break
		}
		*r = ByteRate(value * unit.bitsPerSecond / bitsPerByte)
		return nil
	}
	return &SyntaxError{Quantity: "bandwidth", Text: string(text), Example: "280Mbit/s"}
}

// MarshalText formats the bandwidth in the largest unit that does not exceed it.
func (r ByteRate) MarshalText() ([]byte, error) {
	bits := float64(r) * bitsPerByte
	for _, unit := range bandwidthUnits {
		if bits >= unit.bitsPerSecond {
			return []byte(strconv.FormatFloat(bits/unit.bitsPerSecond, 'g', -1, 64) + unit.suffix), nil
		}
	}
	return []byte(strconv.FormatFloat(bits, 'g', -1, 64) + "bit/s"), nil
}

// Rate is a number of requests per second, for example "200/s".
type Rate float64

// UnmarshalText parses a positive rate per second ("200/s") or per minute
// ("200/min"). It returns a *SyntaxError.
func (r *Rate) UnmarshalText(text []byte) error {
	unitSeconds := 1.0
	number, hasUnit := strings.CutSuffix(string(text), "/s")
	if !hasUnit {
		number, hasUnit = strings.CutSuffix(string(text), "/min")
		unitSeconds = 60
	}
	value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if !hasUnit || err != nil || value <= 0 {
		return &SyntaxError{Quantity: "rate", Text: string(text), Example: "200/s"}
	}
	*r = Rate(value / unitSeconds)
	return nil
}

// MarshalText formats the rate per second.
func (r Rate) MarshalText() ([]byte, error) {
	return []byte(strconv.FormatFloat(float64(r), 'g', -1, 64) + "/s"), nil
}
