// Package peer implements remote procedure calls between the processes of a cell. Calls
// are msgpack frames over TCP, with many concurrent calls on one connection.
//
// A [Node] serves calls and makes them. A method is registered with [Handle] and
// called with [Call]; both specify the request and reply types. Every frame carries
// the sender's hybrid logical clock timestamp, so that events are causally ordered
// across processes.
//
// The error of a failed call tells whether the call may have been executed:
// [ErrUnreachable] means that it certainly was not, [ErrReplyLost] that the remote side
// may have received it, and a [*RemoteError] that the remote side answered with an error,
// which either the handler returned or this package (see [Code]).
//
// A call carries the caller's remaining timeout. The handler's context is cancelled
// when the timeout expires, and a reply whose transmission has not started by then
// is discarded, so that abandoned calls use neither memory nor bandwidth. The
// caller's deadline bounds the call regardless of what the remote side does. A
// connection is closed when a write to it exceeds [DefaultWriteTimeout], when the remote
// side sends nothing for a second while calls with a timeout of at most a second expire,
// or when the accepting side receives nothing for a minute and has no call in progress.
//
// Two nodes that have [Config].Compressors set compress the frames between them once a
// connection has carried some.
//
// A received frame that is too long or can't be decoded closes its connection and is
// passed to [Config].Report; other connections are not affected.
package peer
