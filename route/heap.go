package route

// A heap is a binary heap of the queued requests in one of several orders. Each
// request holds its index in every heap, so that it can be removed from all of them.
type heap struct {
	order int
	less  func(a, b *activeRequest) bool
	items []*activeRequest
}

func (h *heap) len() int {
	return len(h.items)
}

// first returns the first request, or nil if h is empty.
func (h *heap) first() *activeRequest {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *heap) push(x *activeRequest) {
	x.heapIndex[h.order] = len(h.items)
	h.items = append(h.items, x)
	h.up(len(h.items) - 1)
}

func (h *heap) remove(x *activeRequest) {
	i := x.heapIndex[h.order]
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *heap) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !h.less(h.items[i], h.items[p]) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h *heap) down(i int) {
	for {
		c := 2*i + 1
		if c >= len(h.items) {
			return
		}
		if c+1 < len(h.items) && h.less(h.items[c+1], h.items[c]) {
			c++
		}
		if !h.less(h.items[c], h.items[i]) {
			return
		}
		h.swap(i, c)
		i = c
	}
}

func (h *heap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex[h.order] = i
	h.items[j].heapIndex[h.order] = j
}
