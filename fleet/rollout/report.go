package rollout

// Totals are what a server has counted since its process began. In CBOR they are
// an array: the order of the fields is part of the format.
type Totals struct {
	_          struct{}                   `cbor:",toarray"`
	Requests   uint64                     // answered
	Rejected   uint64                     // answered at once without running
	Late       uint64                     // served after the latency objective
	Failed     uint64                     // or not answered in time
	SlowerThan [len(LatencyBounds)]uint64 // as Sample.SlowerThan
}

// Report is what a server sends of itself, once a window. Its totals only grow,
// so a lost report costs nothing but time. In CBOR it is an array: the order of
// the fields is part of the format.
type Report struct {
	_                struct{} `cbor:",toarray"`
	Server           string
	Zone             string
	Incarnation      uint64 // drawn at random by each process
	Sequence         uint64 // grows with each report of an incarnation
	Version          string // of the program
	Settings         uint64 // number of the settings in force; 0 for those of the server's own file
	RejectedSettings uint64 // number of the settings that it rejected last
	RejectionReason  string
	Leaving          bool // it shuts down at an operator's request: its next incarnation follows no crash
	Totals           Totals
}

// sampleSince returns what was counted since an earlier report of the same
// incarnation.
func (r *Report) sampleSince(earlier *Report, version string) Sample {
	from, to := &earlier.Totals, &r.Totals
	sample := Sample{
		Server:   r.Server,
		Version:  version,
		Requests: to.Requests - from.Requests,
		Rejected: to.Rejected - from.Rejected,
		Late:     to.Late - from.Late,
		Failed:   to.Failed - from.Failed,
	}
	for i := range sample.SlowerThan {
		sample.SlowerThan[i] = to.SlowerThan[i] - from.SlowerThan[i]
	}
	return sample
}
