package peer

import "context"

// A ctxMutex is a mutual exclusion lock whose acquisition can be cancelled by a
// context.
type ctxMutex chan struct{}

func newCtxMutex() ctxMutex {
	return make(ctxMutex, 1)
}

func (g ctxMutex) lock(ctx context.Context) error {
	select {
	case g <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	// select picks at random when both cases are ready.
	if err := ctx.Err(); err != nil {
		g.unlock()
		return err
	}
	return nil
}

func (g ctxMutex) unlock() {
	<-g
}
