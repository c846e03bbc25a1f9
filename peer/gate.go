package peer

import "context"

// A gate lets one through at a time. Unlike a mutex it can be given up on
// while it is waited for.
type gate chan struct{}

func newGate() gate {
	return make(gate, 1)
}

func (g gate) enter(ctx context.Context) error {
	select {
	case g <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (g gate) leave() {
	<-g
}
