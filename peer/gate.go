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
	case <-ctx.Done():
		return ctx.Err()
	}
	// Both may have been possible at once.
	if err := ctx.Err(); err != nil {
		g.leave()
		return err
	}
	return nil
}

func (g gate) leave() {
	<-g
}
