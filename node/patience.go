package node

import (
	"sync"
	"time"
)

const (
	// greetFactor times as long as answers of the leader usually take, one has most
	// likely been lost, or the leader is gone.
	greetFactor = 4
	// patienceMost bounds what is waited for a leader that is slow: half of the time
	// that clients wait.
	patienceMost = 1500 * time.Millisecond
)

// A patience follows how long the leader's answers to greetings take. What it answers is
// a leader whose link is full: its answers and its writes are late, and with limits that
// stay as they are another host takes over, which reads all jobs anew over a link as
// full. Answers that become late are waited for longer; a leader that stops answering
// is not. It is safe for concurrent use.
type patience struct {
	mu    sync.Mutex
	usual time.Duration // a moving average
}

// observe records the latency of an answer. Rises are weighted more than falls.
func (p *patience) observe(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	weight := time.Duration(8)
	if d > p.usual {
		weight = 2
	}
	p.usual += (d - p.usual) / weight
}

// forget is called for another leader, which is as quick as hosts are until it is known.
func (p *patience) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual = 0
}

// most returns for how long an answer is waited for that is due within least of a leader
// that is quick.
func (p *patience) most(least time.Duration) time.Duration {
	return max(least, p.slack())
}

// slack returns by how much longer than of a quick leader something is waited for.
func (p *patience) slack() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(greetFactor*p.usual, patienceMost)
}
