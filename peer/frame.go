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

// MaxFrame is the length in bytes of the longest frame that is accepted.
const MaxFrame = 8 << 20

const headerLength = 4

// ErrFrame is returned for a frame that is too long or no message.
var ErrFrame = errors.New("peer: bad frame")

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
	Stamp       timeline.Timestamp    `msgpack:"s"`
	// Wait is how much longer the caller waits for the reply; 0 means that no
	// limit is known.
	Wait time.Duration      `msgpack:"w,omitempty"`
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
	Code Code               `msgpack:"c,omitempty"`
	Text string             `msgpack:"t,omitempty"`

	// length is that of the frame that was read, in bytes.
	length int
}

// encodeMessage returns the frame of a message.
func encodeMessage(m *message) ([]byte, error) {
	const besides = 128 // what most messages need besides their body, in bytes
	b := bytes.NewBuffer(make([]byte, headerLength, headerLength+besides+len(m.Body)))
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(b)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		return nil, err
	}
	n := b.Len() - headerLength
	if n > MaxFrame {
		return nil, fmt.Errorf("%w: %d bytes, at most %d", ErrFrame, n, MaxFrame)
	}
	binary.BigEndian.PutUint32(b.Bytes(), uint32(n))
	return b.Bytes(), nil
}

func readMessage(r io.Reader) (*message, error) {
	var header [headerLength]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n == 0 || n > MaxFrame {
		return nil, fmt.Errorf("%w: length %d, want 1 to %d", ErrFrame, n, MaxFrame)
	}
	body, err := readBody(r, int(n))
	if err != nil {
		return nil, err
	}
	var m message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	if m.Kind < messageCall || m.Kind > messageError {
		return nil, fmt.Errorf("%w: kind %d", ErrFrame, m.Kind)
	}
	m.length = headerLength + int(n)
	return &m, nil
}

// readBody reads n bytes. It allocates as the bytes come, so that a header
// alone can't claim memory.
func readBody(r io.Reader, n int) ([]byte, error) {
	const step = 64 << 10
	body := make([]byte, 0, min(n, step))
	for len(body) < n {
		l := len(body)
		body = append(body, make([]byte, min(n-l, step))...)
		if _, err := io.ReadFull(r, body[l:]); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return body, nil
}

// encodeBody returns the body of a message. Integers take as many bytes as they need,
// not as many as their types: frames between hosts are small and many, and half of one
// would be zeros.
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
