// Package poison shares between daemons which requests were lost with the upstreams that ran them, so
// that one that crashes upstreams reaches no more of them, at whichever host it comes.
//
// A daemon sends what it learns to the head of its availability zone, which tells the others of its zone
// and the heads of the other zones. Nothing is sent while nothing is known, but for one request after a
// start.
package poison
