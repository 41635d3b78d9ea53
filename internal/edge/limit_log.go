package edge

import (
	"maps"
	"strings"

	"github.com/rs/zerolog"

	"lovagescale/internal/fleet"
	"lovagescale/internal/namedlimit"
)

// limitShare is what this instance believes of an endpoint's limit: the limit, which
// instances share it, and the members on which that rests.
type limitShare struct {
	perSecond float64
	// senders are the names of the sharing instances, separated by spaces.
	senders string
	shares  int
	sends   bool
	// candidates is the number of instances of the endpoint's region that may share, known
	// that of those that lookups would name if all that may be running accepted callers.
	candidates, known int
}

func newLimitShare(sharing *fleet.LimitSharing, region string, perSecond float64, senders []fleet.Member, shares int, sends bool) limitShare {
	names := make([]string, 0, len(senders))
	for _, sender := range senders {
		names = append(names, sender.Instance)
	}
	share := limitShare{perSecond: perSecond, senders: strings.Join(names, " "), shares: shares, sends: sends}
	share.candidates, share.known = sharing.Counts(region)
	return share
}

// isSharedAs reports whether the same instances share the limit as before. A rate that rises
// after the end of a limit changes them several times a second, which is not worth a line each.
func (s limitShare) isSharedAs(last limitShare) bool {
	return s.perSecond > last.perSecond || (s.senders == last.senders && s.shares == last.shares)
}

// limitLog logs changes of what this instance believes of endpoints' limits, by endpoint.
// Instances that do not send under a limit log only its begin and its end.
type limitLog map[string]limitShare

// record logs the share if it differs from the one before.
func (l *limitLog) record(log zerolog.Logger, endpoint string, share limitShare) {
	if *l == nil {
		*l = make(limitLog)
	}
	last, known := (*l)[endpoint]
	(*l)[endpoint] = share
	if known && last.sends == share.sends && (!share.sends || share.isSharedAs(last)) {
		return
	}
	log.Info().Str("endpoint", endpoint).Float64("limit_per_second", share.perSecond).Bool("sends", share.sends).
		Str("senders", share.senders).Int("shares", share.shares).Int("candidates", share.candidates).Int("known", share.known).
		Msg("endpoint's limit is divided")
}

// forget drops the endpoints that are gone.
func (l *limitLog) forget(isGone func(endpoint string) bool) {
	maps.DeleteFunc(*l, func(endpoint string, _ limitShare) bool { return isGone(endpoint) })
}

// recordEnd logs that the endpoint's limit no longer counts here, unless none did.
func (l *limitLog) recordEnd(log zerolog.Logger, endpoint string) {
	if last, known := (*l)[endpoint]; known {
		delete(*l, endpoint)
		log.Info().Str("endpoint", endpoint).Float64("limit_per_second", last.perSecond).Bool("sent", last.sends).
			Msg("endpoint's limit no longer counts here")
	}
}

// logLimitChange logs how news changed what this instance believes of an endpoint's limit.
func logLimitChange(event *zerolog.Event, endpoint string, perSecond float64, change namedlimit.Change) {
	event = event.Str("endpoint", endpoint)
	if change == namedlimit.Ended {
		event.Msg("endpoint names no limit any more")
		return
	}
	event.Float64("limit_per_second", perSecond).Msg("endpoint names a limit")
}
