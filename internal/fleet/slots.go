package fleet

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

// maxListedWorkspaces is the number of workspaces whose demand on an upstream messages list.
const maxListedWorkspaces = 16

// slotsLifetime is how long the demand and use of slots count after they were reported.
const slotsLifetime = 4 * time.Second

// SlotDemand is the demand on the slots of an upstream for requests of one class, and their
// use, in the form of messages.
type SlotDemand struct {
	//lint:ignore U1000 read by the msgpack library
	_msgpack struct{} `msgpack:",as_array"`
	Upstream string
	Class    int
	// CentiUsed and CentiRefused are in hundredths of a slot.
	CentiUsed, CentiRefused int
	// Rest is the demand of the workspaces that are not listed, see slotsToByte.
	Rest int
	// Rows lists workspaces: the index of each in the list of the same message as a varint,
	// and its demand as a byte. Two bytes a workspace keep the list small.
	Rows []byte
}

// SlotKey identifies the requests of one class at an upstream.
type SlotKey struct {
	Upstream string
	Class    int
}

// SlotUse is the demand on slots and their use, in slots.
type SlotUse struct {
	// Used is occupied by requests, Refused would have been by those without room.
	Used, Refused float64
	// Rest is the demand of the workspaces that are not listed.
	Rest       float64
	Workspaces map[string]float64
}

// SlotSums is the demand on slots and their use.
type SlotSums map[SlotKey]*SlotUse

func (s SlotSums) use(key SlotKey) *SlotUse {
	u, found := s[key]
	if !found {
		u = &SlotUse{Workspaces: make(map[string]float64)}
		s[key] = u
	}
	return u
}

// Add adds the demand and use of a workspace. Those without a workspace count as the rest.
func (s SlotSums) Add(upstream string, class int, workspace string, demand, used, refused float64) {
	u := s.use(SlotKey{upstream, class})
	u.Used += used
	u.Refused += refused
	if workspace == "" {
		u.Rest += demand
	} else {
		u.Workspaces[workspace] += demand
	}
}

func (s SlotSums) clone() SlotSums {
	copied := make(SlotSums, len(s))
	for key, u := range s {
		use := *u
		use.Workspaces = maps.Clone(u.Workspaces)
		copied[key] = &use
	}
	return copied
}

// decode adds the demand of a message. names are the workspaces of the message. A row that
// refers to none of them counts as the rest.
func (s SlotSums) decode(rows []SlotDemand, names []WorkspaceDemand) {
	for _, row := range rows {
		u := s.use(SlotKey{row.Upstream, row.Class})
		u.Used += float64(row.CentiUsed) / 100
		u.Refused += float64(row.CentiRefused) / 100
		u.Rest += slotsOfByte(byte(row.Rest))
		for packed := row.Rows; len(packed) > 0; {
			index, length := binary.Uvarint(packed)
			if length <= 0 || length >= len(packed) {
				break
			}
			slots := slotsOfByte(packed[length])
			packed = packed[length+1:]
			if index < uint64(len(names)) {
				u.Workspaces[names[index].Workspace] += slots
			} else {
				u.Rest += slots
			}
		}
	}
}

// subtract removes the sums of one instance from those of several. What rounding leaves of a
// demand that only that instance has is far below a share.
func (s SlotSums) subtract(part SlotSums) {
	for key, p := range part {
		u := s.use(key)
		u.Used, u.Refused, u.Rest = math.Max(u.Used-p.Used, 0), math.Max(u.Refused-p.Refused, 0), math.Max(u.Rest-p.Rest, 0)
		for workspace, slots := range p.Workspaces {
			if left := u.Workspaces[workspace] - slots; left > 0 {
				u.Workspaces[workspace] = left
			} else {
				delete(u.Workspaces, workspace)
			}
		}
	}
}

// slotRow is the demand of a workspace for a class.
type slotRow struct {
	class     int
	workspace string
	index     int
	slots     float64
}

// Encode returns the sums for a message that lists the workspaces names. Of each upstream it
// lists the largest maxListedWorkspaces.
func (s SlotSums) Encode(names []WorkspaceDemand) []SlotDemand {
	indexes := make(map[string]int, len(names))
	for i, name := range names {
		indexes[name.Workspace] = i
	}
	rows := make(map[string][]slotRow)
	var encoded []SlotDemand
	rest := make(map[SlotKey]float64)
	for key, u := range s {
		rest[key] = u.Rest
		for workspace, slots := range u.Workspaces {
			if index, found := indexes[workspace]; found {
				rows[key.Upstream] = append(rows[key.Upstream], slotRow{key.Class, workspace, index, slots})
			} else {
				rest[key] += slots
			}
		}
	}
	listed := make(map[SlotKey][]slotRow)
	for upstream, all := range rows {
		slices.SortFunc(all, func(a, b slotRow) int {
			return cmp.Or(cmp.Compare(b.slots, a.slots), cmp.Compare(a.index, b.index), cmp.Compare(a.class, b.class))
		})
		for i, row := range all {
			key := SlotKey{upstream, row.class}
			if i < maxListedWorkspaces && slotsToByte(row.slots) > 0 {
				listed[key] = append(listed[key], row)
			} else {
				rest[key] += row.slots
			}
		}
	}
	for key, u := range s {
		encoded = append(encoded, SlotDemand{Upstream: key.Upstream, Class: key.Class, CentiUsed: centi(u.Used), CentiRefused: centi(u.Refused),
			Rest: int(slotsToByte(rest[key])), Rows: packRows(listed[key])})
	}
	slices.SortFunc(encoded, func(a, b SlotDemand) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Class, b.Class))
	})
	return slices.DeleteFunc(encoded, func(d SlotDemand) bool {
		return d.CentiUsed == 0 && d.CentiRefused == 0 && d.Rest == 0 && len(d.Rows) == 0
	})
}

func centi(slots float64) int { return int(math.Round(100 * slots)) }

func packRows(rows []slotRow) []byte {
	slices.SortFunc(rows, func(a, b slotRow) int { return cmp.Compare(a.index, b.index) })
	var packed []byte
	for _, row := range rows {
		packed = append(binary.AppendUvarint(packed, uint64(row.index)), slotsToByte(row.slots))
	}
	return packed
}

// Slots are rounded to powers of 2^(1/slotSteps) from 2^minSlotPower on, an error of at most
// 4.5%. The errors of many instances cancel out.
const (
	slotSteps    = 8
	minSlotPower = -7
)

// slotsToByte returns the slots in logarithmic form; 0 stands for none.
func slotsToByte(slots float64) byte {
	if slots <= 0 {
		return 0
	}
	step := math.Round(slotSteps * (math.Log2(slots) - minSlotPower))
	return byte(math.Min(math.Max(step+1, 0), 255))
}

func slotsOfByte(b byte) float64 {
	if b == 0 {
		return 0
	}
	return math.Exp2(float64(b-1)/slotSteps + minSlotPower)
}

// peerSlots is the demand on slots and their use on other instances, as of madeAt.
type peerSlots struct {
	sums   SlotSums
	madeAt time.Time
}

// regionSlots adds the sums that the other instances of this region reported.
func (v *View) regionSlots(now time.Time, sums SlotSums) {
	for _, p := range v.peers {
		if p.status.Member.Region == v.self.Member.Region && p.reportedWithin(now, slotsLifetime) {
			sums.decode(p.activity.SlotDemand, p.activity.WorkspaceDemand)
		}
	}
}

// addSlotDemand sets the demand on slots of a digest of this region, whose workspaces must be
// set already.
func (v *View) addSlotDemand(now time.Time, digest *Digest, own Activity) {
	sums := make(SlotSums)
	sums.decode(own.SlotDemand, own.WorkspaceDemand)
	v.regionSlots(now, sums)
	digest.Activity.SlotDemand = sums.Encode(digest.Activity.WorkspaceDemand)
}

// PeerSlots returns the demand on slots and their use on all other instances, and the time as
// of which they are. A delegate sums up the reports and the digests of other regions; other
// instances use the totals of a delegate. What is older than slotsLifetime is left out, and
// with it the regions that cannot be reached. It reports false if nothing is known.
func (v *View) PeerSlots(now time.Time) (SlotSums, time.Time, bool) {
	if !v.IsDelegate(now) {
		if v.delegateSlots == nil || now.Sub(v.delegateSlots.madeAt) > slotsLifetime {
			return nil, time.Time{}, false
		}
		return v.delegateSlots.sums, v.delegateSlots.madeAt, true
	}
	if v.slotCache == nil || now.Sub(v.slotCache.madeAt) > slotCacheLifetime {
		sums := make(SlotSums)
		v.regionSlots(now, sums)
		for region, demand := range v.regionDemands {
			if v.hasMembersIn(region) && now.Sub(demand.madeAt) <= slotsLifetime {
				sums.decode(demand.slots, demand.demands)
			}
		}
		v.slotCache = &peerSlots{sums: sums, madeAt: now}
	}
	return v.slotCache.sums, v.slotCache.madeAt, true
}

// slotCacheLifetime is how long a delegate reuses its sums. It replies to up to 64 reports per
// second, and each sum adds up as many reports in 0.6 to 0.8 ms.
const slotCacheLifetime = 200 * time.Millisecond

// AddSlotTotals adds the demand on slots of all instances to totals that are sent to a member;
// own is this instance's activity.
func (v *View) AddSlotTotals(now time.Time, totals *Totals, own Activity) {
	if !v.IsDelegate(now) {
		return
	}
	names := totals.names()
	if c := v.slotTotals; c == nil || now.Sub(c.madeAt) > slotCacheLifetime || !slices.Equal(names, c.names) {
		others, _, _ := v.PeerSlots(now)
		sums := others.clone()
		sums.decode(own.SlotDemand, own.WorkspaceDemand)
		v.slotTotals = &slotTotals{names: names, encoded: sums.Encode(names), madeAt: now}
	}
	totals.SlotDemand = v.slotTotals.encoded
}

// slotTotals are the totals that a delegate made last, for the workspaces names.
type slotTotals struct {
	names   []WorkspaceDemand
	encoded []SlotDemand
	madeAt  time.Time
}

// names returns the workspaces of the totals.
func (t *Totals) names() []WorkspaceDemand {
	names := make([]WorkspaceDemand, len(t.Workspaces))
	for i, row := range t.Workspaces {
		names[i].Workspace = row.Workspace
	}
	return names
}

// ApplySlotTotals stores the demand on slots of the totals that a delegate sent; own is the
// activity of this instance, which they include.
func (v *View) ApplySlotTotals(now time.Time, totals Totals, own Activity) {
	if len(totals.SlotDemand) == 0 {
		return // of an earlier build, or there is none
	}
	sums, part := make(SlotSums), make(SlotSums)
	sums.decode(totals.SlotDemand, totals.names())
	part.decode(own.SlotDemand, own.WorkspaceDemand)
	sums.subtract(part)
	v.delegateSlots = &peerSlots{sums: sums, madeAt: now}
}
