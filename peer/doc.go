// Package peer carries calls between the processes of a cell: TCP connections
// with frames of msgpack, many calls at once on one connection.
//
// A [Node] listens for calls and makes them. One side registers a method with
// [Handle], the other one calls it with [Call]; both name the types of request
// and reply. Every frame carries the sender's stamp of the hybrid logical
// clock, so that events keep their order over all processes.
//
// What a failed call tells is kept apart, since a caller may act on it:
// [ErrUnreachable] says that the call was never sent, [ErrLost] that it may
// have been received, and a [*RemoteError] that the other side answered no.
//
// A call tells how long its caller waits. The context of its handler ends then,
// and a reply that is not on its way by then is dropped: what nobody waits for
// takes neither memory nor the line. A caller's deadline bounds the call whatever
// the other side does. A connection ends when the other side takes nothing of a
// message for [DefaultWriteLimit], answers nothing for a second of calls, or brings
// nothing for a minute.
//
// A frame that is too long, or that is no message, ends its connection and is
// reported; nothing else is affected.
package peer
