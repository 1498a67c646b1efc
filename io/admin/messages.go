package admin

import (
	"time"

	"verbenaway/core"
)

// Status is the status that a daemon reports about itself.
type Status struct {
	Host             core.HostName         `json:"host"`
	AvailabilityZone core.AvailabilityZone `json:"availabilityZone"`
	Region           core.Region           `json:"region"`
	Service          core.ServiceName      `json:"service"`
	Started          time.Time             `json:"started"`
	// Version is the version in force, or 0 if there is none yet.
	Version core.Version `json:"version"`
	Hash    core.Hash    `json:"hash"`
	// NotServing is the error kind with which the daemon refuses all requests, if it does.
	NotServing core.ErrorKind `json:"notServing,omitempty"`
	// LagReason is the probable reason if the daemon may lag behind.
	LagReason string `json:"lagReason,omitempty"`
	// Roles lists the current roles, such as reader.
	Roles []string `json:"roles,omitempty"`
	// StoreError is the fault that the daemon observes in the store. It is empty if there is none
	// or if the daemon is not a store reader.
	StoreError core.ErrorKind `json:"store,omitempty"`
	// ZonesOut lists the availability zones that are out of service, sorted.
	ZonesOut []core.AvailabilityZone `json:"zonesOut,omitempty"`
	// Leaving is true while the daemon performs a planned stop.
	Leaving bool `json:"leaving,omitempty"`
	// ReaderAge is the time since a reader of the region last reached the store, or negative if
	// it is unknown.
	ReaderAge core.Duration      `json:"readerAge"`
	Refused   []core.RefusedNote `json:"refused,omitempty"`
	// MemberCounts counts the known members by state.
	MemberCounts map[string]int `json:"members"`
	InFlight     int            `json:"inFlight"`
	// ConcurrencyLimit is the maximum number of requests in flight from the gatekeeper to the
	// upstream.
	ConcurrencyLimit int `json:"limit"`
}

// ExplainRequest describes a request whose routing decision is to be explained.
type ExplainRequest struct {
	Host   string
	Path   string
	Method string
	Tenant core.TenantName
}

// Answer is the answer of a host, or the error if it gave no valid one.
type Answer[T any] struct {
	Host core.Host
	// Value is valid if Err is nil.
	Value T
	Err   error
}

// IsDead reports whether the host gave no valid answer and is dead according to the daemon that
// listed it.
func (a Answer[T]) IsDead() bool {
	return a.Err != nil && a.Host.State == core.HostDead
}
