package store

import "context"

// newConnectionKey is the context key for calls that need a new connection.
type newConnectionKey struct{}

// withNewConnection returns a context for a call that must use a new connection because
// an earlier call had no response.
func withNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, true)
}

// withAnyConnection returns a context for calls that may use any connection again, after
// one over a new connection has succeeded.
func withAnyConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnectionKey{}, false)
}

// WantsNewConnection reports whether a call must not use a connection that is already
// open: an earlier call is overdue, and its connection may have stalled together with
// all others that were open then. A client should close its idle connections, since
// each of them could cause another call to fail.
func WantsNewConnection(ctx context.Context) bool {
	wants, _ := ctx.Value(newConnectionKey{}).(bool)
	return wants
}
