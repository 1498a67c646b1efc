// Package quota keeps the requests of a tenant within its quota over all daemons together.
//
// In each availability zone one daemon, the granter, has an equal part of the quota of a tenant in
// a token bucket (Bucket). It is found by hashing over the daemons of the zone (Ring). The others
// ask it for permits when a request arrives, and the granters of other zones if it has none left
// (Account). Nothing is sent for tenants without requests.
package quota
