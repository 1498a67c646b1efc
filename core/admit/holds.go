package admit

import (
	"time"

	"verbenaway/core"
)

// holdWeight is the weight of the latest request in the mean times; about the last twenty
// requests count.
const holdWeight = 0.1

// holds keeps how long requests occupy a slot.
type holds struct {
	all    time.Duration
	routes map[core.RouteName]time.Duration
	// failures is the share of the latest requests that came to nothing.
	failures float64
}

func (h *holds) reset() {
	*h = holds{}
}

// count notes whether a request came to nothing.
func (h *holds) count(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	h.failures += holdWeight * (value - h.failures)
}

// observe notes the time of a finished request.
func (h *holds) observe(route core.RouteName, held time.Duration) {
	if h.routes == nil {
		h.routes = map[core.RouteName]time.Duration{}
	}
	h.all = blend(h.all, held)
	h.routes[route] = blend(h.routes[route], held)
}

func blend(mean, value time.Duration) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(holdWeight*float64(value-mean))
}

// of returns the usual time of a route, that of all routes if it is not known.
func (h *holds) of(route core.RouteName) time.Duration {
	if held, ok := h.routes[route]; ok {
		return held
	}
	return h.all
}

// keep forgets routes that no longer exist.
func (h *holds) keep(routes map[core.RouteName]core.RouteSpec) {
	for name := range h.routes {
		if _, ok := routes[name]; !ok {
			delete(h.routes, name)
		}
	}
}
