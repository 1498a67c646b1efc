// Rig2 plays the cases 6 to 10 of the review: a store, upstreams and callers on loopback addresses, with
// the project's daemons as separate processes between them. It prints what it sent, what was answered and
// what ran to the record of the case, and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package main
