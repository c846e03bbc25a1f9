package peer

import "io"

// ReadFrame reads one frame, for the fuzz target.
func ReadFrame(r io.Reader) error {
	_, err := readMessage(r)
	return err
}
