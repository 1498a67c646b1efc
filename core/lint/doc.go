// Package lint finds what a valid configuration cannot mean: entries that no request can match,
// limits that contradict each other, and what differs from the configuration in force. Rules holds
// the rules; start reading with Check and Compare.
package lint
