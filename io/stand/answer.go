package stand

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Headers by which a caller and an upstream stand-in check that an answer belongs to its request
// and that both bodies arrived complete.
const (
	// HeaderRequestID is set by the caller and returned by the upstream.
	HeaderRequestID = "X-Request-Id"
	// HeaderChecksum of an answer is the xxhash of its body in hexadecimal.
	HeaderChecksum = "X-Body-Checksum"
	// HeaderBodyBytes of an answer is the length of its body. It does not depend on
	// Content-Length, which a chunked answer lacks.
	HeaderBodyBytes = "X-Body-Bytes"
	// HeaderUploadChecksum and HeaderUploadBytes of an answer describe the request body that
	// the upstream read.
	HeaderUploadChecksum = "X-Upload-Checksum"
	HeaderUploadBytes    = "X-Upload-Bytes"
	// HeaderUpstream of an answer is the host name of the upstream that sent it.
	HeaderUpstream = "X-Upstream"
)

const chunkBytes = 64 << 10

// ErrWrongAnswer marks an answer that ended cleanly but is incomplete, altered or for another
// request.
var ErrWrongAnswer = errors.New("wrong answer")

// patternBytes is the period of the contents of a body. It is prime, so that a lost or repeated
// chunk shifts the pattern and changes the contents after it.
const patternBytes = 65521

// pattern holds the contents twice, so that each chunk of up to patternBytes is one slice of it.
var pattern = func() []byte {
	random := rand.New(rand.NewPCG(1, 2))
	data := make([]byte, 2*patternBytes)
	for i := 0; i+8 <= patternBytes; i += 8 {
		binary.LittleEndian.PutUint64(data[i:], random.Uint64())
	}
	copy(data[patternBytes:], data[:patternBytes])
	return data
}()

// Body reads reproducible contents that depend on the request id.
type Body struct {
	offset int
	left   int64
}

// NewBody returns the body of a request id and length.
func NewBody(id string, length int64) *Body {
	return &Body{
		offset: int(xxhash.Sum64String(id) % patternBytes),
		left:   length,
	}
}

// Read implements io.Reader.
func (b *Body) Read(data []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	data = data[:min(int64(len(data)), b.left, patternBytes)]
	n := copy(data, pattern[b.offset:])
	b.offset = (b.offset + n) % patternBytes
	b.left -= int64(n)
	return n, nil
}

// WriteTo implements io.WriterTo, so that io.Copy needs no buffer.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	for b.left > 0 {
		chunk := pattern[b.offset : b.offset+int(min(b.left, patternBytes))]
		n, err := w.Write(chunk)
		written += int64(n)
		b.offset = (b.offset + n) % patternBytes
		b.left -= int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// cutFirst removes the first bytes from a body and returns them as a body of their own.
func (b *Body) cutFirst(bytes int64) *Body {
	head := *b
	head.left = min(bytes, b.left)
	b.offset = int((int64(b.offset) + head.left) % patternBytes)
	b.left -= head.left
	return &head
}

// buffers are reused, since with one buffer per request garbage collection would dominate the
// latencies of a benchmark.
var buffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, chunkBytes)
		return &buffer
	},
}

// checksumOf reads to EOF and returns the number of bytes and their checksum.
func checksumOf(reader io.Reader) (n int64, checksum string, err error) {
	buffer, _ := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	digest := xxhash.New()
	n, err = io.CopyBuffer(digest, readerOnly{reader}, *buffer)
	return n, checksumText(digest), err
}

// readerOnly hides the other methods of a reader, so that io.CopyBuffer uses its buffer.
type readerOnly struct {
	io.Reader
}

// Checksum returns the checksum of the body of a request id and length.
func Checksum(id string, length int64) string {
	digest := xxhash.New()
	_, _ = NewBody(id, length).WriteTo(digest)
	return checksumText(digest)
}

func checksumText(digest *xxhash.Digest) string {
	return strconv.FormatUint(digest.Sum64(), 16)
}

// CheckAnswer reads the body of an answer to its end and compares it with what the upstream
// sends for this request id. Errors that wrap ErrWrongAnswer mean that the answer ended cleanly
// but is wrong; other errors mean that reading it failed.
func CheckAnswer(id string, header http.Header, body io.Reader) (int64, error) {
	n, got, err := checksumOf(body)
	if err != nil {
		return n, fmt.Errorf("answer broke off after %d bytes: %w", n, err)
	}
	if gotID := header.Get(HeaderRequestID); gotID != id {
		return n, fmt.Errorf("%w: it has request id %q, want %q", ErrWrongAnswer, gotID, id)
	}
	if want := header.Get(HeaderBodyBytes); want != strconv.FormatInt(n, 10) {
		return n, fmt.Errorf("%w: it has %d bytes, want %s", ErrWrongAnswer, n, want)
	}
	if got != header.Get(HeaderChecksum) || got != Checksum(id, n) {
		return n, fmt.Errorf("%w: its checksum is %s, want %s", ErrWrongAnswer, got, Checksum(id, n))
	}
	return n, nil
}
