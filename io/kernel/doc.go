// Package kernel registers the services of a process, so that they find each other by name, and
// starts and stops them in order.
package kernel
