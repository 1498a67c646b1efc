// Package room decides who gets the room of an upstream and its host when there is too little of
// it: slots, and the link over which request bodies arrive. See docs/design/room.md.
package room
