package quota

import "time"

// Dump shows the quota state of an entry.
type Dump struct {
	// ReservedShares counts the reserved shares held, IssuingShares those of
	// them that issue tokens.
	ReservedShares int `json:"reserved_shares"`
	IssuingShares  int `json:"issuing_reserved_shares"`
	// OwnerShares are the owner shares held.
	OwnerShares []int `json:"owner_shares"`
	// Paused is true after a pause longer than the limit, until the entry may
	// hold shares again.
	Paused bool `json:"paused"`
	// Unlisted is true once the entry has left the platform's list.
	Unlisted   bool             `json:"unlisted"`
	Workspaces []WorkspaceState `json:"workspaces"`
}

// WorkspaceState is the state of one quota at an entry.
type WorkspaceState struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate_per_second"`
	Burst     float64 `json:"burst"`
	// Demand is in requests per second.
	Demand float64 `json:"demand_per_second"`
	// Tokens may be spent by this entry; Granted are those that other entries
	// hold of this entry's parts.
	Tokens  float64 `json:"tokens"`
	Granted float64 `json:"granted"`
	Queue   int     `json:"queue"`
}

// Dump returns the state at a time.
func (c *Core) Dump(now time.Time) Dump {
	dump := Dump{ReservedShares: len(c.slots), OwnerShares: c.Shares(), Paused: c.paused, Unlisted: c.unlisted}
	for _, hold := range c.slots {
		if hold.checked && !now.Before(hold.startAt) {
			dump.IssuingShares++
		}
	}
	for _, name := range sortedNames(c.spaces) {
		dump.Workspaces = append(dump.Workspaces, c.spaces[name].dump(now))
	}
	return dump
}

func (s *space) dump(now time.Time) WorkspaceState {
	state := WorkspaceState{
		Workspace: s.name,
		Rate:      s.limit.Rate,
		Burst:     s.limit.Burst,
		Demand:    s.demand,
		Tokens:    float64(s.available(now)) / float64(Token),
		Queue:     len(s.queue),
	}
	var granted Units
	for _, b := range s.buckets() {
		granted += b.outstanding()
	}
	state.Granted = float64(granted) / float64(Token)
	return state
}
