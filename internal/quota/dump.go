package quota

import "time"

// Dump is the quota state of an entry in a state dump.
type Dump struct {
	// ReservedShares is the number of reserved shares held, IssuingShares the number
	// of those that issue tokens.
	ReservedShares int `json:"reserved_shares"`
	IssuingShares  int `json:"issuing_reserved_shares"`
	// OwnerShares lists the owner shares held.
	OwnerShares []int `json:"owner_shares"`
	// Paused is true after a pause longer than PauseLimit, until the entry may hold
	// shares again.
	Paused bool `json:"paused"`
	// Unlisted is true once the entry has left the platform's list.
	Unlisted   bool             `json:"unlisted"`
	Workspaces []WorkspaceState `json:"workspaces"`
}

// WorkspaceState is the quota state of one workspace at an entry.
type WorkspaceState struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate_per_second"`
	Burst     float64 `json:"burst"`
	// Demand is in requests per second.
	Demand float64 `json:"demand_per_second"`
	// Tokens is the number that this entry may spend. Granted is the number that
	// other entries hold of the shares that this entry issues.
	Tokens  float64 `json:"tokens"`
	Granted float64 `json:"granted"`
	Queue   int     `json:"queue"`
}

// Dump returns the quota state at the given time.
func (c *Core) Dump(now time.Time) Dump {
	dump := Dump{ReservedShares: len(c.reservedShares), OwnerShares: c.OwnerShares(), Paused: c.paused, Unlisted: c.unlisted}
	for _, held := range c.reservedShares {
		if held.zonesChecked && !now.Before(held.issueStart) {
			dump.IssuingShares++
		}
	}
	for _, name := range sortedKeys(c.workspaces) {
		dump.Workspaces = append(dump.Workspaces, c.workspaces[name].dump(now))
	}
	return dump
}

func (q *workspaceQuota) dump(now time.Time) WorkspaceState {
	state := WorkspaceState{
		Workspace: q.name,
		Rate:      q.limit.Rate,
		Burst:     q.limit.Burst,
		Demand:    q.demand,
		Tokens:    float64(q.available(now)) / float64(Token),
		Queue:     len(q.queue),
	}
	var granted Microtokens
	for _, b := range q.buckets() {
		granted += b.outstanding()
	}
	state.Granted = float64(granted) / float64(Token)
	return state
}
