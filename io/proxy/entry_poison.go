package proxy

import (
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
