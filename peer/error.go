package peer

import "errors"

// ErrUnreachable is returned when a call was certainly not received.
var ErrUnreachable = errors.New("peer: unreachable")

// ErrLost is returned when a call was sent and its reply did not come: it may
// have taken effect.
var ErrLost = errors.New("peer: reply lost")

// Code tells the refusals of a remote side apart.
type Code string

// The codes that this package gives itself. Methods may have their own.
const (
	CodeInternal Code = "internal"
	CodeMethod   Code = "no-such-method"
	CodeBusy     Code = "busy"
	CodeInput    Code = "bad-input"
)

// A RemoteError is a refusal by the other side. A handler returns one to
// choose the code.
type RemoteError struct {
	Code Code
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return "peer: remote: " + string(e.Code) + ": " + e.Text
}

// IsCode reports whether err is a refusal with code c.
func IsCode(err error, c Code) bool {
	var r *RemoteError
	return errors.As(err, &r) && r.Code == c
}
