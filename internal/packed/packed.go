// Package packed encodes values in MessagePack in few bytes, and decodes ones that may not
// be what they should.
package packed

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// ErrDamaged is returned for bytes that are no whole value.
var ErrDamaged = errors.New("packed: not a whole value")

// Encode returns v in few bytes: integers are as long as they need to be, and fields of
// structs kept as maps are left out where they are zero. Every decoder of MessagePack reads
// them.
func Encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.GetEncoder()
	defer msgpack.PutEncoder(e)
	e.Reset(&b)
	e.UseCompactInts(true)
	e.SetOmitEmpty(true)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// Decode reads the first value of b into v, and returns what follows it. The lengths
// that b tells are compared with what it has before anything is allocated by them: five
// bytes can tell of four thousand million entries. Where the library panics, as for no
// value in a time's place, b is damaged.
func Decode(b []byte, v any) (rest []byte, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrDamaged, p)
		}
	}()
	r := bytes.NewReader(b)
	if err := msgpack.NewDecoder(r).Skip(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	n := len(b) - r.Len()
	if err := msgpack.Unmarshal(b[:n], v); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return b[n:], nil
}
