package settings

import (
	"cmp"

	"lovagescale/internal/tomlfile"
)

// Process limits what a process may use.
type Process struct {
	// MemoryMB is the memory in units of 1,000,000 bytes, with what the kernel holds for the
	// process's connections.
	MemoryMB int `toml:"memory_mb"`
	// MaxDescriptors is the number of file descriptors.
	MaxDescriptors int `toml:"max_descriptors"`
}

// Defaults and smallest values of Process. The defaults are those of the smallest instances.
const (
	DefaultMemoryMB       = 184
	DefaultMaxDescriptors = 4100
	minMemoryMB           = 64
	minMaxDescriptors     = 300
)

// bytesPerMB is the unit of MemoryMB.
const bytesPerMB = 1_000_000

// MemoryBytes returns the memory in bytes.
func (p Process) MemoryBytes() int64 { return int64(p.MemoryMB) * bytesPerMB }

// WithDefaults returns the limits with the defaults of those that are not set.
func (p Process) WithDefaults() Process {
	return Process{MemoryMB: cmp.Or(p.MemoryMB, DefaultMemoryMB), MaxDescriptors: cmp.Or(p.MaxDescriptors, DefaultMaxDescriptors)}
}

// Check sets the defaults and adds a problem for each value that is too small.
func (p *Process) Check(document *tomlfile.Document) {
	*p = p.WithDefaults()
	if p.MemoryMB < minMemoryMB {
		document.Addf([]string{"memory_mb"}, "must be at least %d", minMemoryMB)
	}
	if p.MaxDescriptors < minMaxDescriptors {
		document.Addf([]string{"max_descriptors"}, "must be at least %d", minMaxDescriptors)
	}
}
