package peer

import "context"

// A ctxMutex is a mutual exclusion lock whose acquisition can be cancelled by a
// context.
type ctxMutex chan struct{}

func newCtxMutex() ctxMutex {
	return make(ctxMutex, 1)
}

func (m ctxMutex) lock(ctx context.Context) error {
	select {
	case m <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	// select picks at random when both cases are ready.
	if err := ctx.Err(); err != nil {
		m.unlock()
		return err
	}
	return nil
}

func (m ctxMutex) unlock() {
	<-m
}
