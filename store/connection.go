package store

import "context"

// newConnection is the key of contexts of calls that want a new connection.
type newConnection struct{}

// withNewConnection returns a context for a call that follows one without an
// answer.
func withNewConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnection{}, true)
}

// withAnyConnection returns a context for calls that follow one over a new
// connection.
func withAnyConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, newConnection{}, false)
}

// WantsNewConnection reports whether a call must not go over a connection that is
// open already: an earlier call is overdue, and its connection may have gone silent
// together with all that were open then. A client should close those that are idle:
// if it took them one after the other, it would lose a call to each.
func WantsNewConnection(ctx context.Context) bool {
	wants, _ := ctx.Value(newConnection{}).(bool)
	return wants
}
