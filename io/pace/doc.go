// Package pace bounds HTTP calls by the progress of their answers. A large answer may take long on a
// slow link; one that no longer arrives is given up soon.
package pace
