package proxy

import (
	"bytes"
	"errors"
	"io"

	"verbenaway/core"
	"verbenaway/core/poison"
)

// head returns what identifies the request beside its body.
func (c *call) head() poison.Head {
	return poison.Head{
		Method: c.request.Method,
		Host:   c.request.Host,
		Target: c.request.RequestURI,
		Caller: c.entry.config.Self.Service,
	}
}

// fingerprint returns the fingerprint of the request. ok is false while a body that is streamed is being
// read: more of it may come.
func (c *call) fingerprint() (fingerprint core.Fingerprint, ok bool) {
	if c.stream != nil {
		if !c.stream.readMu.TryLock() {
			return core.Fingerprint{}, false
		}
		defer c.stream.readMu.Unlock()
		return c.streamHash.Fingerprint(), true
	}
	hash := poison.NewHash(c.head())
	_, _ = hash.Write(c.body)
	return hash.Fingerprint(), true
}

// isIdentified reports whether anything may be known of the request, by all but its body.
func (c *call) isIdentified() bool {
	quarantine := c.entry.config.Quarantine
	if quarantine == nil || !quarantine.IsActive() {
		return false
	}
	head := c.head()
	return quarantine.HasShape(head.Shape())
}

// identify reads the beginning of a body that is streamed if the request may be one that crashes
// upstreams, since it must not be passed on before that is known.
func (c *call) identify() {
	if c.stream == nil || !c.isIdentified() {
		return
	}
	beginning := make([]byte, poison.MaxBodyBytes)
	n, err := io.ReadFull(c.stream.body, beginning)
	rest := c.stream.body
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		rest = failedReader{err: err}
	}
	c.stream.body = io.MultiReader(bytes.NewReader(beginning[:n]), rest)
}

// failedReader returns an error that another reader has returned.
type failedReader struct {
	err error
}

// Read implements io.Reader.
func (r failedReader) Read([]byte) (int, error) {
	return 0, r.err
}

// isQuarantined is the detail of the refusal of a request that crashes upstreams.
const isQuarantined = "upstreams have ended while they ran this request"

// verdict returns what is known of the request, and its fingerprint if anything is.
func (c *call) verdict() (core.Verdict, core.Fingerprint) {
	if !c.isIdentified() {
		return core.VerdictNone, core.Fingerprint{}
	}
	fingerprint, ok := c.fingerprint()
	if !ok {
		return core.VerdictNone, core.Fingerprint{}
	}
	return c.entry.config.Quarantine.Verdict(fingerprint), fingerprint
}

// recordOutcome records an attempt under which the upstream ended, or whose answer shows that the request
// crashes none.
func (c *call) recordOutcome(r result) {
	quarantine := c.entry.config.Quarantine
	switch {
	case quarantine == nil:
	case r.crashed != "":
		if fingerprint, ok := c.fingerprint(); ok {
			head := c.head()
			quarantine.RecordLoss(fingerprint, head.Shape(), r.crashed)
		}
	case r.answered && c.isIdentified():
		if fingerprint, ok := c.fingerprint(); ok {
			quarantine.RecordAnswer(fingerprint)
		}
	}
}
