package route

// Splitter distributes a route's requests over its services by smooth weighted
// round-robin: after each request, the counts are as close to the weights as whole
// requests allow. It is not safe for concurrent use.
type Splitter struct {
	credit []float64
}

// Next returns the service for the route's next request.
func (s *Splitter) Next(r *Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	if len(s.credit) != len(r.Shares) {
		s.credit = make([]float64, len(r.Shares))
	}
	total := 0.0
	best := 0
	for i, weighted := range r.Shares {
		total += weighted.Weight
		s.credit[i] += weighted.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return r.Shares[best].Service
}
