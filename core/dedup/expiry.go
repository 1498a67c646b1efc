package dedup

// expiryHeap implements heap.Interface and orders entries by the end of their retention.
type expiryHeap []*entry

// Len returns the number of entries.
func (h expiryHeap) Len() int { return len(h) }

// Less orders by the end of the retention.
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }

// Swap exchanges two entries.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push adds an entry.
func (h *expiryHeap) Push(x any) {
	added := x.(*entry)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop removes the last entry.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
