package peer

import (
	"bytes"
	"errors"
	"io"
)

// ReadFrame reads one frame, for the fuzz target.
func ReadFrame(r io.Reader) error {
	frames := frameReader{
		from: r,
	}
	_, err := frames.read()
	return err
}

// EncodeCall returns a call with a body as a frame.
func EncodeCall(body any) ([]byte, error) {
	b, err := encodeBody(body)
	if err != nil {
		return nil, err
	}
	return encodeMessage(&message{
		Kind: messageCall,
		Body: b,
	})
}

// CompressFrames returns the compressed form of frames that are sent one after the other.
func CompressFrames(frames ...[]byte) ([]byte, error) {
	d, err := newDeflater()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	for _, f := range frames {
		b, err := d.deflate(f)
		if err != nil {
			return nil, err
		}
		out.Write(b)
	}
	return out.Bytes(), nil
}

// ReadBodies returns the bodies of all frames in r.
func ReadBodies(r io.Reader) ([][]byte, error) {
	frames := frameReader{
		from: r,
	}
	var bodies [][]byte
	for {
		m, err := frames.read()
		if errors.Is(err, io.EOF) {
			return bodies, nil
		}
		if err != nil {
			return bodies, err
		}
		bodies = append(bodies, m.Body)
	}
}
