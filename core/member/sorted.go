package member

import "slices"

// sortedSet is a set ordered by compare. Updating it in place moves a few dozen kilobytes for
// 5,000 entries, which is cheaper than sorting again.
type sortedSet[T any] struct {
	items   []T
	compare func(a, b T) int
}

// update adds or removes an item.
func (s *sortedSet[T]) update(item T, isPresent bool) {
	i, found := slices.BinarySearchFunc(s.items, item, s.compare)
	switch {
	case isPresent && !found:
		s.items = slices.Insert(s.items, i, item)
	case !isPresent && found:
		s.items = slices.Delete(s.items, i, i+1)
	}
}
