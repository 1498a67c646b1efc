package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"

	"github.com/cespare/xxhash/v2"

	"verbenaway/core"
)

// MaxBodyBytes is the length of the part of a body that counts in a fingerprint. Longer bodies are told
// apart by their beginnings, since they are passed on before their ends are known.
const MaxBodyBytes = 64 << 10

// Head is what a fingerprint has of a request beside its body.
type Head struct {
	Method string
	Host   string
	// Target is the path with the query, as the caller wrote them.
	Target string
	// Caller is the service on the host of the caller.
	Caller core.ServiceName
}

// Shape returns a short hash of the head. It tells without the body that most requests are not known.
func (h *Head) Shape() core.RequestShape {
	digest := xxhash.New()
	h.write(digest)
	return core.RequestShape(digest.Sum64())
}

// write writes the parts with their lengths, so that no two heads give the same bytes.
func (h *Head) write(to hash.Hash) {
	for _, part := range [...]string{h.Method, h.Host, h.Target, string(h.Caller)} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = to.Write(length[:])
		_, _ = to.Write([]byte(part))
	}
}

// Hash computes a fingerprint from a head and the pieces of a body. SHA-256 keeps callers from making a
// request that has the fingerprint of another one.
type Hash struct {
	digest hash.Hash
	// left is how many further bytes of the body count.
	left int
}

// NewHash returns the hash of a request without a body.
func NewHash(head Head) *Hash {
	h := &Hash{
		digest: sha256.New(),
		left:   MaxBodyBytes,
	}
	head.write(h.digest)
	return h
}

// Write adds a piece of the body. It implements io.Writer and returns no error.
func (h *Hash) Write(p []byte) (int, error) {
	counted := p[:min(len(p), h.left)]
	h.left -= len(counted)
	_, _ = h.digest.Write(counted)
	return len(p), nil
}

// Fingerprint returns the fingerprint of the request with the body so far.
func (h *Hash) Fingerprint() core.Fingerprint {
	var fingerprint core.Fingerprint
	copy(fingerprint[:], h.digest.Sum(nil))
	return fingerprint
}
