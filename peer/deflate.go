package peer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
)

// The compressed frames of one direction of a connection form one DEFLATE stream that is
// flushed after each frame. Small frames repeat the ids and addresses of earlier ones, so
// little is gained by compressing each frame by itself. In its length prefix, a compressed
// frame has compressedFlag set, and newStreamFlag if it begins a new stream.
const (
	compressedFlag = 1 << 31
	newStreamFlag  = 1 << 30
	lengthMask     = newStreamFlag - 1
)

const (
	// deflateLevel is the lowest level that finds repetitions across flushes.
	deflateLevel = 2
	// compressAfter is how many bytes are sent over a connection before it is worth the
	// memory of a compressor.
	compressAfter = 16 << 10
	// CompressorMemory is the approximate memory of a compressor, in bytes, together with
	// its counterpart that reads the other direction.
	CompressorMemory = 900 << 10
	// maxRetainedFrame is the size of the largest frame whose buffer is kept.
	maxRetainedFrame = 64 << 10
	// maxUnread is the maximum size of what a compressed frame has after its message: marks
	// of the end of a block and of a flush.
	maxUnread = 64
	// maxCompressedFrame is the maximum length of a compressed frame. Data that can't be
	// compressed grows by 5 bytes in 64 KiB.
	maxCompressedFrame = MaxFrame + MaxFrame>>10
)

// A deflater compresses the frames of one direction of a connection. It is not safe for
// concurrent use.
type deflater struct {
	out       bytes.Buffer
	writer    *flate.Writer
	newStream bool
}

func newDeflater() (*deflater, error) {
	d := &deflater{
		newStream: true,
	}
	w, err := flate.NewWriter(&d.out, deflateLevel)
	if err != nil {
		return nil, err
	}
	d.writer = w
	return d, nil
}

// deflate returns a compressed frame that holds frame. The result is valid until the next
// call and must be sent before it, unless reset is called.
func (d *deflater) deflate(frame []byte) ([]byte, error) {
	if d.out.Cap() > maxRetainedFrame {
		d.out = bytes.Buffer{}
	}
	d.out.Reset()
	d.out.Write(make([]byte, headerLength))
	if _, err := d.writer.Write(frame); err != nil {
		return nil, err
	}
	if err := d.writer.Flush(); err != nil {
		return nil, err
	}
	b := d.out.Bytes()
	prefix := uint32(len(b)-headerLength) | compressedFlag
	if d.newStream {
		prefix |= newStreamFlag
	}
	d.newStream = false
	binary.BigEndian.PutUint32(b, prefix)
	return b, nil
}

// reset begins a new stream. It must be called if a compressed frame is not sent, since
// later ones would refer to its content.
func (d *deflater) reset() {
	d.out.Reset()
	d.writer.Reset(&d.out)
	d.newStream = true
}

// A compressorBudget limits the compressors of a node. It is safe for concurrent use.
type compressorBudget struct {
	mu   sync.Mutex
	left int
}

// acquire reports whether w may have a compressor.
func (b *compressorBudget) acquire(w *connWriter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left <= 0 || w.closed {
		return false
	}
	b.left--
	w.compresses = true
	return true
}

// release returns the share of w, whose connection is closed.
func (b *compressorBudget) release(w *connWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.closed = true
	if w.compresses {
		w.compresses = false
		b.left++
	}
}

// A frameReader reads the frames of one direction of a connection.
type frameReader struct {
	from io.Reader
	// compressed has the part of the stream that inflater has not read yet.
	compressed bytes.Buffer
	inflater   io.ReadCloser // nil before the first compressed frame
}

// read reads the next message.
func (r *frameReader) read() (*message, error) {
	prefix, err := readPrefix(r.from)
	if err != nil {
		return nil, err
	}
	if prefix&compressedFlag == 0 {
		return readMessageBody(r.from, prefix)
	}
	n := int(prefix & lengthMask)
	if err := r.readCompressed(n, prefix&newStreamFlag != 0); err != nil {
		return nil, err
	}
	m, err := readMessage(r.inflater)
	if err != nil {
		// The frame is complete, so that the end of its data is no end of the connection.
		return nil, fmt.Errorf("%w: compressed: %v", ErrBadFrame, err) //nolint:errorlint // see above
	}
	if r.compressed.Len() > maxUnread {
		return nil, fmt.Errorf("%w: compressed: %d bytes after the message", ErrBadFrame, r.compressed.Len())
	}
	m.length = headerLength + n
	return m, nil
}

// readCompressed reads a compressed frame of n bytes into r.compressed.
func (r *frameReader) readCompressed(n int, newStream bool) error {
	if n == 0 || n > maxCompressedFrame {
		return fmt.Errorf("%w: compressed length %d, want 1 to %d", ErrBadFrame, n, maxCompressedFrame)
	}
	b, err := readBody(r.from, n)
	if err != nil {
		return err
	}
	if newStream {
		r.compressed.Reset()
		r.inflater = flate.NewReader(&r.compressed)
	}
	if r.inflater == nil {
		return fmt.Errorf("%w: compressed frame before the start of its stream", ErrBadFrame)
	}
	r.compressed.Write(b)
	return nil
}
