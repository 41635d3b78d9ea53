package fleet

// Reports pay for the demand on slots that they carry by being packed: the names in them
// compress well. The status stays readable, so that an instance whose activity cannot be read
// still counts as alive.

// RoundRates rounds the rates of an activity as roundRate does.
func (a *Activity) RoundRates() {
	for i := range a.UpstreamDemand {
		a.UpstreamDemand[i].Rate = roundRate(a.UpstreamDemand[i].Rate)
	}
	for i := range a.UpstreamAnswers {
		a.UpstreamAnswers[i].Rate = roundRate(a.UpstreamAnswers[i].Rate)
		a.UpstreamAnswers[i].Busy = roundRate(a.UpstreamAnswers[i].Busy)
	}
	for i := range a.WorkspaceDemand {
		a.WorkspaceDemand[i].Rate = roundRate(a.WorkspaceDemand[i].Rate)
	}
}

// PackReport packs the activity of a report to a delegate that stated in its last reply that it
// accepts packed reports.
func (v *View) PackReport(to Member, report Report) (Report, error) {
	p, known := v.peers[to.Instance]
	if !known || p.status.Member != to || !p.acceptsPackedReports {
		return report, nil
	}
	packed, err := compress(report.Activity)
	if err != nil {
		return Report{}, err
	}
	report.Activity, report.Packed = Activity{}, packed
	return report, nil
}

// UnpackReport returns a report with its activity unpacked. On failure it returns an
// *UnpackError.
func UnpackReport(report Report) (Report, error) {
	if len(report.Packed) == 0 {
		return report, nil
	}
	if err := decompress(report.Packed, &report.Activity); err != nil {
		return Report{}, &UnpackError{Cause: err}
	}
	report.Packed = nil
	return report, nil
}

// RecordReported records the reply of a delegate to a report.
func (v *View) RecordReported(to Member, reply Reply) {
	if p, known := v.peers[to.Instance]; known && p.status.Member == to {
		p.acceptsPackedReports = reply.Packing.AcceptsReports
	}
}
