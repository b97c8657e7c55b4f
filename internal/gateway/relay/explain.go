package relay

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
	"github.com/baobabdyke/baobabdyke/platform"
)

// A Question describes a request whose handling is to be explained. It is not sent.
type Question struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Method is POST if it is empty, and ID decides among the services of a route with
	// several ones.
	Method string `json:"method,omitempty"`
	ID     string `json:"id,omitempty"`
	// Customer is the name of the customer; empty for a request without a key.
	Customer string `json:"customer,omitempty"`
	Model    string `json:"model,omitempty"`
	// Segments are the parts of the prompt, of which the last is the request's own.
	Segments []QuestionSegment `json:"segments,omitempty"`
	// PromptTokens and AnswerTokens are the declared tokens; -1 or both 0 if there are none.
	PromptTokens int `json:"prompttokens,omitempty"`
	AnswerTokens int `json:"answertokens,omitempty"`
	// BodyBytes is the length of the body, and DeadlineMS the declared deadline; 0 if there
	// is none.
	BodyBytes  int64 `json:"bodybytes,omitempty"`
	DeadlineMS int64 `json:"deadlinems,omitempty"`
}

// A QuestionSegment is one part of a prompt.
type QuestionSegment struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
}

// An UnknownError reports a route, customer or model that the configuration does not have.
type UnknownError struct {
	Kind, Name string
}

// Error implements error.
func (e UnknownError) Error() string { return fmt.Sprintf("unknown %s %q", e.Kind, e.Name) }

// A Refusal is what a caller would get in place of an answer. RetryAfterMS is 0 if the
// request must not be repeated.
type Refusal struct {
	Status       int    `json:"status"`
	Reason       string `json:"reason"`
	RetryAfterMS int64  `json:"retryafterms"`
}

// An Explanation tells how a request would be handled. Times are in milliseconds.
type Explanation struct {
	// ConfigVersion is the version of the configuration.
	ConfigVersion int64          `json:"configversion"`
	Route         RouteRights    `json:"route"`
	Customer      *CustomerState `json:"customer,omitempty"`
	Request       RequestState   `json:"request"`
	// Refused is what the caller would get at once; nil if the request would be sent. What
	// follows is then what would happen if it were not refused.
	Refused   *Refusal          `json:"refused,omitempty"`
	Placement placing.Placement `json:"placement"`
}

// RouteRights are the route of a request and what it permits.
type RouteRights struct {
	Name string `json:"name"`
	// Service is the one that the request goes to, and Weights those of all services of the
	// route.
	Service     string             `json:"service"`
	Weights     map[string]float64 `json:"weights"`
	Engine      bool               `json:"engine"`
	Public      bool               `json:"public"`
	Repeatable  bool               `json:"repeatable"`
	MaxAttempts int                `json:"maxattempts"`
	TimeoutMS   int64              `json:"timeoutms"`
	GoalMS      int64              `json:"goalms"`
	// Hedged reports whether slow responses may be asked of a second target.
	Hedged bool `json:"hedged"`
}

// A CustomerState is the customer of a request and its limit as this VM sees it.
type CustomerState struct {
	Name     string  `json:"name"`
	Isolated bool    `json:"isolated"`
	Rate     float64 `json:"rate"`
	Burst    float64 `json:"burst"`
	ByTokens bool    `json:"bytokens"`
	// Cost is what the request would be charged, and Left what would be left of the burst.
	Cost     float64 `json:"cost"`
	Left     float64 `json:"left"`
	Admitted bool    `json:"admitted"`
}

// A RequestState is the request as it would be sent.
type RequestState struct {
	DeadlineMS   int64 `json:"deadlinems"`
	Tokens       int   `json:"tokens"`
	SharedTokens int   `json:"sharedtokens"`
	// Priority is the priority at engines, before the effect of being late; -1 if there is
	// none.
	Priority int `json:"priority"`
}

// Explain returns how a request would be handled now. It takes the steps of ServeHTTP on
// copies of what these change, and sends nothing. The error is an UnknownError if the route,
// customer or model is unknown.
func (h *Handler) Explain(q Question) (Explanation, error) {
	j := &job{info: q.info(), view: h.opts.View(), start: time.Now(), level: -1}
	cfg := j.view.Config
	if cfg == nil {
		return Explanation{}, fmt.Errorf("this VM has no configuration yet")
	}
	j.request = &http.Request{Method: q.Method, Host: q.Host, RequestURI: q.Path, Header: http.Header{}}
	if q.Customer != "" {
		i := slices.IndexFunc(cfg.Customers, func(c site.Customer) bool { return c.Name == q.Customer })
		if i < 0 || len(cfg.Customers[i].Keys) == 0 {
			return Explanation{}, UnknownError{"customer", q.Customer}
		}
		j.info.Key = cfg.Customers[i].Keys[0]
	}
	failed := h.authorise(j, cfg)
	if j.route == nil {
		return Explanation{}, UnknownError{"route", q.Host + q.Path}
	}
	if j.service == "" {
		// The request is not permitted, but is explained as far as it is known.
		j.service = pickShare(j.route.Shares, j.info.ID)
		s := cfg.Services[j.service]
		j.engine = s != nil && s.Engine != nil
	}
	if s := cfg.Services[j.service]; j.engine && !slices.Contains(s.Engine.Models, j.info.Model) {
		return Explanation{}, UnknownError{"model", j.info.Model}
	}
	j.setDeadline()
	j.describe()
	return h.explain(j, q, failed), nil
}

// explain explains a request whose route and customer are known. Failed is why it is not
// permitted, or nil.
func (h *Handler) explain(j *job, q Question, failed failure) Explanation {
	cfg := j.view.Config
	limit := cfg.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	switch {
	case q.BodyBytes > limit:
		failed = rejection{http.StatusRequestEntityTooLarge, "the body is too long"}
	case failed != nil:
	case h.mayOutlast(j):
		failed = refusal{http.StatusServiceUnavailable, "this VM is about to stop", stopRetry}
	default:
		failed = h.checkQuarantine(j)
	}
	charged := j.charge(h.opts.Quota.Peek)
	if failed == nil {
		failed = charged
	}
	p := j.promptUnder(cfg)
	out := Explanation{
		ConfigVersion: cfg.Version, Route: j.rights(h.opts.Hedger.Covers(j.route.Name)), Customer: j.customerState(charged == nil),
		Request:   RequestState{DeadlineMS: j.deadline.Sub(j.start).Milliseconds(), Tokens: max(j.tokens, 0), SharedTokens: j.sharedTokens, Priority: j.priority(false)},
		Placement: h.opts.Placer.Explain(j.view, j.placingRequest(p), j.start),
	}
	if failed == nil && !out.Placement.Found {
		wait := h.opts.Placer.ServiceWait(j.view, j.service, j.start)
		failed = j.failure(j.request.Context(), notRun{reason: "no target"}, wait)
	}
	if failed != nil {
		out.Refused = &Refusal{Status: failed.status(), Reason: failed.reason()}
		if r, ok := failed.(refusal); ok {
			out.Refused.RetryAfterMS = r.retryAfter.Milliseconds()
		}
	}
	return out
}

func (q *Question) info() platform.RequestInfo {
	info := platform.RequestInfo{ID: q.ID, Model: q.Model, PromptTokens: q.PromptTokens, CompletionTokens: q.AnswerTokens, Deadline: time.Duration(q.DeadlineMS) * time.Millisecond}
	if q.PromptTokens == 0 && q.AnswerTokens == 0 {
		info.PromptTokens, info.CompletionTokens = -1, -1
	}
	if info.ID == "" {
		info.ID = "explained"
	}
	for _, s := range q.Segments {
		info.Segments = append(info.Segments, platform.PromptSegment{ID: s.ID, Tokens: s.Tokens})
	}
	return info
}

func (j *job) rights(hedged bool) RouteRights {
	r := j.route
	weights := map[string]float64{}
	for _, s := range r.Shares {
		weights[s.Service] += s.Weight
	}
	return RouteRights{
		Name: r.Name, Service: j.service, Weights: weights, Engine: j.engine, Public: r.Public, Repeatable: r.Repeatable(), MaxAttempts: r.MaxAttempts,
		TimeoutMS: r.Timeout.Milliseconds(), GoalMS: r.LatencyGoal.Milliseconds(), Hedged: hedged && r.Repeatable() && r.MaxAttempts >= 2,
	}
}

func (j *job) customerState(admitted bool) *CustomerState {
	c := j.customer
	if c == nil {
		return nil
	}
	cost := j.cost
	if !admitted {
		cost = 0
	}
	return &CustomerState{Name: c.Name, Isolated: c.Isolated, Rate: c.Rate, Burst: c.Burst, ByTokens: c.ByTokens, Cost: cost, Left: j.level, Admitted: admitted}
}
