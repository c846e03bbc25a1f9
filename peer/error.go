package peer

import "errors"

// ErrUnreachable is returned when the remote side has certainly not received the call.
var ErrUnreachable = errors.New("peer: unreachable")

// ErrReplyLost is returned when a call was sent, at least in part, and no valid reply
// arrived. The call may have taken effect.
var ErrReplyLost = errors.New("peer: reply lost")

// Code classifies a [RemoteError].
type Code string

// The codes that this package itself returns. Handlers may define their own.
const (
	CodeInternal     Code = "internal"       // the handler failed, or its reply can't be encoded
	CodeNoSuchMethod Code = "no-such-method" // no handler is registered for the method
	CodeBusy         Code = "busy"           // the connection already has Config.Handlers calls in progress
	CodeBadInput     Code = "bad-input"      // the request can't be decoded
)

// A RemoteError is an error returned by the remote side. A handler that returns one sets
// the code that the caller receives; any other error is sent with [CodeInternal].
type RemoteError struct {
	Code Code
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return "peer: remote: " + string(e.Code) + ": " + e.Text
}

// IsCode reports whether err is a [*RemoteError] with code c.
func IsCode(err error, c Code) bool {
	var r *RemoteError
	return errors.As(err, &r) && r.Code == c
}
