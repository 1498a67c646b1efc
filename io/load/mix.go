package load

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// RequestTemplate describes one kind of request in a mix.
type RequestTemplate struct {
	Name   string
	Method string
	// Host is the HTTP host; Host and Path select the route.
	Host string
	Path string
	// Tenant is empty for requests without a tenant.
	Tenant string
	// AnswerBytes is the length of the answer, UploadBytes that of the request body.
	AnswerBytes int64
	UploadBytes int64
	// ServiceMs is the service time of the upstream stand-in; 0 means that it sets its own.
	ServiceMs int
	// Calls is the number of calls from service to service that the request causes.
	Calls int
	// Depth is the depth of the caller in a chain of calls; 0 omits the header.
	Depth int
	// Keyed adds an idempotency key to each request.
	Keyed   bool
	Timeout time.Duration
	// Weight is the relative frequency in the mix.
	Weight int
}

// IsIdempotent reports whether the method allows the request to run more than once.
func (t RequestTemplate) IsIdempotent() bool {
	return t.Method != http.MethodPost && t.Method != http.MethodPatch
}

// RequestTemplates are the kinds of requests of Tussock Line, with weight 0. Lookup stays
// the first and order the second one, since other files use them by index.
var RequestTemplates = []RequestTemplate{
	{
		Name:        "lookup",
		Method:      http.MethodGet,
		Host:        "netbook.tussock",
		Path:        "/lookups",
		AnswerBytes: 512,
		Timeout:     2 * time.Second,
	},
	{
		Name:        "order",
		Method:      http.MethodPost,
		Host:        "roadguard.tussock",
		Path:        "/closures",
		AnswerBytes: 128,
		UploadBytes: 300,
		Keyed:       true,
		Timeout:     5 * time.Second,
	},
	{
		Name:        "history",
		Method:      http.MethodGet,
		Host:        "cliffvault.tussock",
		Path:        "/history",
		AnswerBytes: 256 << 10,
		Timeout:     10 * time.Second,
	},
	{
		Name:        "upload",
		Method:      http.MethodPut,
		Host:        "cliffvault.tussock",
		Path:        "/footage",
		AnswerBytes: 64,
		UploadBytes: 1 << 20,
		Timeout:     20 * time.Second,
	},
}

// Mix is a weighted set of request templates.
type Mix struct {
	Templates   []RequestTemplate
	totalWeight int
}

// NewMix returns a mix of the request templates with a weight above 0.
func NewMix(templates []RequestTemplate) (Mix, error) {
	var mix Mix
	for _, template := range templates {
		if template.Weight > 0 {
			mix.Templates = append(mix.Templates, template)
			mix.totalWeight += template.Weight
		}
	}
	if mix.totalWeight == 0 {
		return mix, fmt.Errorf("a mix needs a kind of request with a weight above 0")
	}
	return mix, nil
}

// ParseMix parses a mix such as "lookup=80,order=10".
func ParseMix(text string) (Mix, error) {
	templates := append([]RequestTemplate{}, RequestTemplates...)
	for _, part := range strings.Split(text, ",") {
		name, weight, _ := strings.Cut(strings.TrimSpace(part), "=")
		value, err := strconv.Atoi(weight)
		if err != nil || value < 0 {
			return Mix{}, fmt.Errorf("mix %q: want name=weight with a weight of at least 0", part)
		}
		if !setWeight(templates, name, value) {
			return Mix{}, fmt.Errorf("mix %q: unknown name, want lookup, order, history or upload", part)
		}
	}
	return NewMix(templates)
}

func setWeight(templates []RequestTemplate, name string, weight int) bool {
	for i := range templates {
		if templates[i].Name == name {
			templates[i].Weight = weight
			return true
		}
	}
	return false
}

// pick returns a random request template according to the weights.
func (m Mix) pick(random *rand.Rand) RequestTemplate {
	n := random.IntN(m.totalWeight)
	for _, template := range m.Templates {
		if n -= template.Weight; n < 0 {
			return template
		}
	}
	return m.Templates[len(m.Templates)-1]
}
