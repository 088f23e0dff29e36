package rollout

// priorEvents is the number of events at the fleet's rate that are added to each history
// (shrinkage), so that a server with few events is assumed to be like the others.
const priorEvents = 20

// History contains the sums of a server's counts over the windows of the Watching phase.
type History struct {
	Requests   float64                     `json:"requests"`
	Late       float64                     `json:"late"`
	Rejected   float64                     `json:"refused"`
	Failed     float64                     `json:"failed"`
	SlowerThan [len(LatencyBounds)]float64 `json:"slower"`
}

// add adds the sample of a window.
func (h *History) add(s Sample) {
	h.Requests += float64(s.Requests)
	h.Late += float64(s.Late)
	h.Rejected += float64(s.Rejected)
	h.Failed += float64(s.Failed)
	for i, n := range s.SlowerThan {
		h.SlowerThan[i] += float64(n)
	}
}

// sumHistories returns the sum of all histories.
func sumHistories(histories map[string]History) History {
	var sum History
	for _, h := range histories {
		sum.Requests += h.Requests
		sum.Late += h.Late
		sum.Rejected += h.Rejected
		sum.Failed += h.Failed
		for i, n := range h.SlowerThan {
			sum.SlowerThan[i] += n
		}
	}
	return sum
}

// weightByHistory returns a function that multiplies the requests of a sample by the
// ratio of the server's event rate to the fleet's event rate, both from the histories.
func weightByHistory(histories map[string]History, event comparedEvent) func(Sample) float64 {
	fleet := sumHistories(histories)
	events := event.historyCount(fleet)
	rate := events / fleet.Requests
	return func(s Sample) float64 {
		if events == 0 {
			return float64(s.Requests)
		}
		h := histories[s.Server]
		return float64(s.Requests) * (event.historyCount(h) + priorEvents) / (float64(h.Requests*rate) + priorEvents)
	}
}
