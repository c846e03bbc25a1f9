package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/timeline"
)

// MaxFrame is the maximum length of a frame in bytes, excluding its length prefix.
const MaxFrame = 8 << 20

const headerLength = 4

// ErrBadFrame is passed to [Config].Report for a received frame that is too long or can't
// be decoded. The error of a call that is too long to be sent wraps it and [ErrUnreachable].
var ErrBadFrame = errors.New("peer: bad frame")

type messageKind uint8

const (
	messageCall messageKind = iota + 1
	messageReply
	messageError
)

type message struct {
	Kind        messageKind           `msgpack:"k"`
	ID          uint64                `msgpack:"i"`
	Method      string                `msgpack:"m,omitempty"`
	From        spoolsill.HostID      `msgpack:"f,omitempty"`
	Incarnation spoolsill.Incarnation `msgpack:"n,omitempty"`
	Timestamp   timeline.Timestamp    `msgpack:"s"`
	// Timeout is the caller's remaining timeout for the reply; 0 means no timeout.
	Timeout time.Duration      `msgpack:"w,omitempty"`
	Body    msgpack.RawMessage `msgpack:"b,omitempty"`
	Code    Code               `msgpack:"c,omitempty"`
	Text    string             `msgpack:"t,omitempty"`
	// Inflates is set if the sender reads compressed frames on this connection.
	Inflates bool `msgpack:"z,omitempty"`

	// length is the length in bytes of the received frame, including its prefix.
	length int
}

// encodeMessage returns m as a frame with its length prefix.
func encodeMessage(m *message) ([]byte, error) {
	const overhead = 128 // bytes; enough for most messages, without the body
	b := bytes.NewBuffer(make([]byte, headerLength, headerLength+overhead+len(m.Body)))
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(b)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		return nil, err
	}
	n := b.Len() - headerLength
	if n > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrBadFrame, n, MaxFrame)
	}
	binary.BigEndian.PutUint32(b.Bytes(), uint32(n))
	return b.Bytes(), nil
}

func readMessage(r io.Reader) (*message, error) {
	n, err := readPrefix(r)
	if err != nil {
		return nil, err
	}
	return readMessageBody(r, n)
}

// readPrefix reads the length prefix of a frame.
func readPrefix(r io.Reader) (uint32, error) {
	var header [headerLength]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint32(header[:]), nil
}

// readMessageBody reads the rest of a frame with the length n.
func readMessageBody(r io.Reader, n uint32) (*message, error) {
	if n == 0 || n > MaxFrame {
		return nil, fmt.Errorf("%w: length %d, want 1 to %d", ErrBadFrame, n, MaxFrame)
	}
	body, err := readBody(r, int(n))
	if err != nil {
		return nil, err
	}
	var m message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadFrame, err)
	}
	if m.Kind < messageCall || m.Kind > messageError {
		return nil, fmt.Errorf("%w: kind %d", ErrBadFrame, m.Kind)
	}
	m.length = headerLength + int(n)
	return &m, nil
}

// readBody reads n bytes. It grows the buffer as data arrives, so that a length
// prefix alone can't make it allocate the whole frame.
func readBody(r io.Reader, n int) ([]byte, error) {
	const chunk = 64 << 10
	body := make([]byte, 0, min(n, chunk))
	for len(body) < n {
		l := len(body)
		body = append(body, make([]byte, min(n-l, chunk))...)
		if _, err := io.ReadFull(r, body[l:]); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return body, nil
}

// encodeBody encodes the body of a message. Integers use the shortest msgpack encoding
// rather than the size of their type: most frames are small, and about half of their
// bytes would be zeros.
func encodeBody(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseCompactInts(true)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}
