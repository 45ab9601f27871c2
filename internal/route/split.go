package route

// Splitter distributes a route's requests over its services by smooth weighted
// round-robin: after each request, the counts are as close to the weights as whole
// requests allow. It is not safe for concurrent use.
type Splitter struct {
	credit []float64
}

// Next returns the service for the route's next request.
func (s *Splitter) Next(r *Route) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	if len(s.credit) != len(r.WeightedServices) {
		s.credit = make([]float64, len(r.WeightedServices))
	}
	total := 0.0
	best := 0
	for i, weighted := range r.WeightedServices {
		total += weighted.Weight
		s.credit[i] += weighted.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return r.WeightedServices[best].Service
}
