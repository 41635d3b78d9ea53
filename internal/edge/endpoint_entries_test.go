package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"lovagescale/internal/placement"
	"lovagescale/internal/store"
)

// recordCodec decodes every entry as the record of an endpoint in the zone that its value names.
type recordCodec struct{ EntryCodec }

// Decode implements EntryCodec.
func (recordCodec) Decode(entry store.Entry) (Resource, error) {
	return placement.Record{ID: entry.Key, Upstream: "files", Address: "127.0.0.1:1", Zone: string(entry.Value), Slots: 4, Sequence: entry.Revision}, nil
}

// Guards against an entry whose zone no instance knows: it would count as capacity of a region
// without a name and draw requests there. An endpoint that was known before is gone then.
func TestEndpointOfUnknownZoneIsPassedOver(t *testing.T) {
	g := NewWithT(t)
	e := New(Settings{Instance: "one", Zone: "north-1", Region: "north", Zones: map[string]string{"north-1": "north"}, Bounds: DefaultBounds()},
		Ports{Entries: recordCodec{}}, zerolog.Nop())
	write := func(revision uint64, zone string) {
		change := store.Change{Entry: store.Entry{Key: "e", Value: []byte(zone), Revision: revision}}
		e.state.applyChanges(time.UnixMilli(1_000_000), e.state.mirror.ApplyChanges([]store.Change{change}, store.Position{Revision: revision}))
	}
	write(1, "nowhere")
	g.Expect(e.table.Load().Endpoints()).To(BeEmpty())
	write(2, "north-1")
	g.Expect(e.table.Load().Endpoints()).To(HaveKey("e"))
	write(3, "nowhere")
	g.Expect(e.table.Load().Endpoints()).To(BeEmpty())
}
