// Package quota enforces the quotas of tenants: it drives core/quota with requests of callers and of
// other daemons.
package quota
