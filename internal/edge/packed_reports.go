package edge

import (
	"lovagescale/internal/fleet"
	"lovagescale/internal/wire"
)

// packReports returns the packed activity of a round's report by the delegate that accepts it.
func (s *state) packReports(round messageRound) map[string][]byte {
	packed := make(map[string][]byte)
	for _, delegate := range round.reportTo {
		report, err := s.fleet.PackReport(delegate, round.report)
		if err != nil {
			s.edge.log.Warn().Err(err).Str("peer", delegate.Instance).Msg("report is sent unpacked")
			continue
		}
		packed[delegate.Instance] = report.Packed
	}
	return packed
}

// withPacked returns the report with its activity packed, unless packed is empty.
func withPacked(report fleet.Report, packed []byte) fleet.Report {
	if len(packed) > 0 {
		report.Activity, report.Packed = fleet.Activity{}, packed
	}
	return report
}

// decodeReport returns the report in a message, unpacked.
func decodeReport(message wire.Envelope) (fleet.Report, error) {
	var report fleet.Report
	if err := message.Decode(&report); err != nil {
		return fleet.Report{}, err
	}
	return fleet.UnpackReport(report)
}
