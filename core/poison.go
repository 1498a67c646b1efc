package core

import (
	"context"
	"encoding/hex"
	"time"
)

// Fingerprint identifies requests with the same method, host, path, calling service and body.
type Fingerprint [16]byte

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// ParseFingerprint parses the result of String; ok is false for any other text.
func ParseFingerprint(text string) (fingerprint Fingerprint, ok bool) {
	if hex.DecodedLen(len(text)) != len(fingerprint) {
		return Fingerprint{}, false
	}
	_, err := hex.Decode(fingerprint[:], []byte(text))
	return fingerprint, err == nil
}

// RequestShape is a short hash of all that a Fingerprint covers but the body.
type RequestShape uint64

// LostRequest says that a request was running on an upstream process when that ended.
type LostRequest struct {
	Fingerprint Fingerprint
	Shape       RequestShape
	// Instance is the process that ended.
	Instance string
	// IsCleared says that an upstream has answered such a request since.
	IsCleared bool
	// Age is the time since the process ended.
	Age time.Duration
}

// Verdict is what is known of a request.
type Verdict int

// The verdicts.
const (
	// VerdictNone means that nothing speaks against the request.
	VerdictNone Verdict = iota
	// VerdictSuspect means that upstreams have ended while they ran such requests, for which others that
	// ran beside may be the cause.
	VerdictSuspect
	// VerdictQuarantined means that such requests crash the upstreams that run them.
	VerdictQuarantined
)

// Quarantine keeps requests that crash upstreams from reaching further ones. It is safe for concurrent
// use.
type Quarantine interface {
	// IsActive reports whether anything is known of any request.
	IsActive() bool
	// HasShape reports whether anything may be known of a request; it is cheap.
	HasShape(shape RequestShape) bool
	// Verdict returns what is known of a request.
	Verdict(fingerprint Fingerprint) Verdict
	// RecordLoss records that a process ended while it ran a request.
	RecordLoss(fingerprint Fingerprint, shape RequestShape, instance string)
	// RecordAnswer records that an upstream has answered a request completely.
	RecordAnswer(fingerprint Fingerprint)
}

// ShareRequest carries what a daemon knows of lost requests to another one.
type ShareRequest struct {
	Sender HostName
	// Digest is that of all lost requests that the sender knows.
	Digest uint64
	// Lost holds those that the receiver may not know yet.
	Lost []LostRequest
}

// ShareAnswer is the answer to a ShareRequest.
type ShareAnswer struct {
	// Digest is that of all lost requests that the receiver knows now.
	Digest uint64
	// Lost holds all of them, unless the sender knew the same.
	Lost []LostRequest
}

// ShareClient sends what this daemon knows to another one by address. Errors have the kinds
// PeerUnreachable and PeerMalformed.
type ShareClient interface {
	Share(ctx context.Context, address string, request ShareRequest) (ShareAnswer, error)
}

// ShareServer answers other daemons.
type ShareServer interface {
	Share(ctx context.Context, request ShareRequest) (ShareAnswer, error)
}
