package core

import (
	"encoding/hex"
	"fmt"
	"time"
)

// HostName identifies one host, and with it the daemon and the upstream on that host.
type HostName string

// AvailabilityZone names a failure domain inside a region.
type AvailabilityZone string

// Region names a group of availability zones. Traffic between regions is billed by volume.
type Region string

// ServiceName names a service, which one or more upstreams provide.
type ServiceName string

// TenantName names a customer that can have routes, limits and home regions of its own.
type TenantName string

// RouteName names a route of the configuration.
type RouteName string

// Version numbers the configuration. Version 0 is the empty configuration before note 1.
type Version uint64

// Hash is a SHA-256 digest.
type Hash [32]byte

// String returns the first 12 hexadecimal digits, enough to tell versions apart in logs.
func (h Hash) String() string {
	return hex.EncodeToString(h[:6])
}

// MarshalText returns the whole digest in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

// UnmarshalText reads 64 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return fmt.Errorf("hash has %d characters, want %d", len(text), hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// Duration is a time.Duration written as text such as "800ms" in TOML and JSON.
type Duration time.Duration

// MarshalText returns the usual Go notation.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the usual Go notation.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
