// Package poison finds the requests that crash the upstreams which run them.
//
// An upstream that ends loses all requests that it runs, and one of them may be the cause. Such a request
// is recognized by its Fingerprint when it comes again, also as another attempt of its caller or at
// another host.
package poison
