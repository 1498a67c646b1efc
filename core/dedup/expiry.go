package dedup

// expiryHeap implements heap.Interface and orders entries by the end of their retention.
type expiryHeap []*entry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *expiryHeap) Push(x any) {
	added := x.(*entry)
	added.index = len(*h)
	*h = append(*h, added)
}

func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
