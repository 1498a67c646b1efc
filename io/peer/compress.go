package peer

import (
	"io"

	"connectrpc.com/connect"
	"github.com/klauspost/compress/gzip"
)

const gzipName = "gzip"

// newCompressor returns the fastest compressor: most of a large message is a snapshot, which is
// compressed already.
func newCompressor() connect.Compressor {
	writer, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // the level is valid
	return writer
}

func newDecompressor() connect.Decompressor {
	return &gzip.Reader{}
}
