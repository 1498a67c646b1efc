package core

import "encoding/hex"

// Fingerprint identifies requests with the same method, host, path, calling service and body.
type Fingerprint [16]byte

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// RequestShape is a short hash of all that a Fingerprint covers but the body.
type RequestShape uint64
