package advisor

// A Share is the learnt share of the workers that the advisor allows for the work of one queue.
// Its zero value is that of a queue without answers.
type Share struct {
	allowed float64
	known   bool
}

const (
	// unknownShare is assumed before the first answer.
	unknownShare = 0.5
	// minShare bounds the learnt share: of the most workers that a query may be about, it
	// leaves a few.
	minShare = 0.05
	// shareWeight is the weight of the newest answer in the moving average. The advisor's answers
	// do not change for a stage, but kinds of work come and go.
	shareWeight = 0.1
)

// Observe updates the share with an answer that allows some of the workers asked about.
func (s *Share) Observe(allowed, asked int) {
	if asked <= 0 {
		return
	}
	of := float64(allowed) / float64(asked)
	if !s.known {
		s.allowed = of
		s.known = true
		return
	}
	s.allowed += shareWeight * (of - s.allowed)
}

// Expected returns the share to expect of the next answer.
func (s *Share) Expected() float64 {
	if !s.known {
		return unknownShare
	}
	return max(s.allowed, minShare)
}
