package record

import (
	"net/url"
	"strings"
	"time"
)

// Model is the specification of a language model.
type Model struct {
	// ContextTokens limits the sum of prompt and answer tokens.
	ContextTokens int `json:"contextTokens"`
}

func (m *Model) check(r *reporter) {
	r.require(m.ContextTokens > 0, "/contextTokens", "contextTokens: want tokens above zero, got %d", m.ContextTokens)
}

// Version is the specification of one weight version of a model.
type Version struct {
	Model string `json:"model"`
	// Weights is the name of the weights in the platform's weight store.
	Weights string `json:"weights"`
}

func (v *Version) check(r *reporter) {
	r.require(v.Model != "", "/model", "model: a name is required")
	r.require(v.Weights != "", "/weights", "weights: a name is required")
}

// Rule is the specification of a routing rule, which sets the weight version of new
// requests for a model. A rule that names a client account takes precedence over one
// that names none.
type Rule struct {
	Model         string `json:"model"`
	ClientAccount string `json:"clientAccount,omitempty"`
	Version       string `json:"version"`
	// ReadyPercent is the percentage of the model's engines that must have loaded the
	// version before new requests are pinned to it. Hosts use 1 if it is lower or
	// omitted.
	ReadyPercent float64 `json:"readyPercent,omitempty"`
}

func (u *Rule) check(r *reporter) {
	r.require(u.Model != "", "/model", "model: a name is required")
	r.require(u.Version != "", "/version", "version: a name is required")
	r.require(u.ReadyPercent >= 0 && u.ReadyPercent <= 100, "/readyPercent",
		"readyPercent: want 0 to 100 per cent, got %g", u.ReadyPercent)
}

// Service is the specification of a plain service.
type Service struct {
	Calls []Call `json:"calls"`
}

// Call describes one kind of call to a service. Calls that match no entry may not
// be repeated.
type Call struct {
	Method     string `json:"method"`
	Path       string `json:"path"`
	Repeatable bool   `json:"repeatable"`
}

func (s *Service) check(r *reporter) {
	for i, call := range s.Calls {
		r.require(call.Method != "" && call.Method == strings.ToUpper(call.Method), "/calls",
			"calls[%d].method: want a method in upper case, got %q", i, call.Method)
		r.require(strings.HasPrefix(call.Path, "/"), "/calls", "calls[%d].path: want a path that starts with /, got %q", i, call.Path)
	}
}

// Repeatable reports whether a call may be sent more than once.
func (s *Service) Repeatable(method, path string) bool {
	for _, call := range s.Calls {
		if call.Method == method && call.Path == path {
			return call.Repeatable
		}
	}
	return false
}

// TargetKind distinguishes model engines and plain services.
type TargetKind string

// Kinds of targets.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// Target is the specification of a model engine or a plain service.
type Target struct {
	Kind          TargetKind `json:"kind"`
	URL           string     `json:"url"`
	FailureDomain string     `json:"failureDomain"`
	// Models are the models an engine may load.
	Models []string `json:"models,omitempty"`
	// Slots is the number of requests that an engine runs concurrently.
	Slots int `json:"slots,omitempty"`
	// PrefillTokensPerSecond and TokenGapMillis are the speed of an idle engine.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond,omitempty"`
	TokenGapMillis         float64 `json:"tokenGapMillis,omitempty"`
	// Service is the name of the service that the target provides.
	Service string `json:"service,omitempty"`
	// ChecksFencing reports whether the target refuses requests with an older fencing
	// token. Hosts don't use it, and send fencing tokens to all engines.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

func (t *Target) check(r *reporter) {
	r.require(isURL(t.URL), "/url", "url: want a URL such as http://127.0.0.1:9000, got %q", t.URL)
	r.require(t.FailureDomain != "", "/failureDomain", "failureDomain: a name is required")
	switch t.Kind {
	case TargetEngine:
		r.require(len(t.Models) > 0, "/models", "models: an engine needs at least one model")
		r.require(t.Slots > 0, "/slots", "slots: want requests above zero, got %d", t.Slots)
		r.require(t.PrefillTokensPerSecond > 0, "/prefillTokensPerSecond",
			"prefillTokensPerSecond: want tokens per second above zero, got %g", t.PrefillTokensPerSecond)
		r.require(t.Service == "", "/service", "service: an engine provides no service")
	case TargetService:
		r.require(t.Service != "", "/service", "service: a name is required")
		r.require(len(t.Models) == 0, "/models", "models: a plain service has no models")
	default:
		r.require(false, "/kind", "kind: want engine or service, got %q", t.Kind)
	}
}

// Store is the specification of a store host.
type Store struct {
	URL           string `json:"url"`
	FailureDomain string `json:"failureDomain"`
	// LinkBytesPerSecond is the speed of the link to the store host.
	LinkBytesPerSecond float64 `json:"linkBytesPerSecond"`
	MemoryBytes        int64   `json:"memoryBytes"`
	DiskBytes          int64   `json:"diskBytes"`
}

func (s *Store) check(r *reporter) {
	r.require(isURL(s.URL), "/url", "url: want a URL such as http://127.0.0.1:9000, got %q", s.URL)
	r.require(s.FailureDomain != "", "/failureDomain", "failureDomain: a name is required")
	r.require(s.LinkBytesPerSecond > 0, "/linkBytesPerSecond",
		"linkBytesPerSecond: want bytes per second above zero, got %g", s.LinkBytesPerSecond)
}

// Refusal is the specification of a refusal, which makes every entry host refuse a
// request that crashes targets. The name of the record is the fingerprint of the
// request.
type Refusal struct {
	ClientAccount string    `json:"clientAccount"`
	Reason        string    `json:"reason"`
	NotAfter      time.Time `json:"notAfter"`
}

func (f *Refusal) check(r *reporter) {
	r.require(f.ClientAccount != "", "/clientAccount", "clientAccount: a name is required")
	r.require(!f.NotAfter.IsZero(), "/notAfter", "notAfter: a time is required")
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && u.Scheme != "" && u.Host != ""
}
