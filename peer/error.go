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
	CodeInternal     Code = "internal"
	CodeNoSuchMethod Code = "no-such-method"
	CodeBusy         Code = "busy"
	CodeBadInput     Code = "bad-input"
)

// A RemoteError is an error returned by the remote side. A handler returns one to
// set the code; any other error is sent with [CodeInternal].
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
