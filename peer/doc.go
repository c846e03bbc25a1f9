// Package peer implements remote procedure calls between the processes of a cell. Calls
// are msgpack frames over TCP, with many concurrent calls on one connection.
//
// A [Node] serves calls and makes them. A method is registered with [Handle] and
// called with [Call]; both specify the request and reply types. Every frame carries
// the sender's hybrid logical clock timestamp, so that events are causally ordered
// across processes.
//
// The error of a failed call tells whether the call may have been executed:
// [ErrUnreachable] means that the call was never sent, [ErrReplyLost] that the remote
// side may have received it, and a [*RemoteError] that the remote side rejected it.
//
// A call carries the caller's remaining timeout. The handler's context is cancelled
// when the timeout expires, and a reply whose transmission has not started by then
// is discarded, so that abandoned calls use neither memory nor bandwidth. The
// caller's deadline bounds the call regardless of what the remote side does. A
// connection is closed when the remote side accepts no bytes of a message for
// [DefaultWriteTimeout], when it sends nothing for a second while calls time out, or
// when the accepting side receives nothing for a minute and has no call in progress.
//
// A frame that is too long or can't be decoded closes its connection and is
// reported; other connections are not affected.
package peer
