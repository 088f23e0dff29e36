package rollout

// Totals are a server's counts since the start of its process. They are an array in
// CBOR: the order of the fields is part of the format.
type Totals struct {
	_          struct{}                   `cbor:",toarray"`
	Requests   uint64                     // answered
	Rejected   uint64                     // answered without being run
	Late       uint64                     // served after the latency objective
	Failed     uint64                     // failed or not answered in time
	SlowerThan [len(LatencyBounds)]uint64 // see Sample.SlowerThan
}

// Report is a server's report on itself, sent once a window. Its totals only grow, so
// the next report also covers the requests of a lost one. It is an array in CBOR: the
// order of the fields is part of the format.
type Report struct {
	_                struct{} `cbor:",toarray"`
	Server           string
	Zone             string
	Incarnation      uint64 // drawn at random by each process
	Sequence         uint64 // increases with each report of an incarnation
	Version          string // of the program
	Settings         uint64 // number of the settings in force; 0 for those of the server's own file
	RejectedSettings uint64 // number of the settings that it rejected last; 0 for none
	RejectionReason  string
	Leaving          bool // an operator shuts it down, so its next incarnation is no sign of a crash
	Totals           Totals
}

// sampleSince returns the counts since an earlier report of the same incarnation.
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
