// Package relay serves callers' requests: it authorises them, enforces limits,
// sends them to targets and passes complete responses back.
package relay

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/canary"
	"github.com/baobabdyke/baobabdyke/internal/fleet/origin"
	"github.com/baobabdyke/baobabdyke/internal/fleet/quarantine"
	"github.com/baobabdyke/baobabdyke/internal/fleet/quota"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/gateway/admission"
	"github.com/baobabdyke/baobabdyke/internal/gateway/conn"
	"github.com/baobabdyke/baobabdyke/internal/gateway/disconnect"
	"github.com/baobabdyke/baobabdyke/internal/gateway/hedge"
	"github.com/baobabdyke/baobabdyke/internal/gateway/intake"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
	"github.com/baobabdyke/baobabdyke/internal/gateway/retry"
	"github.com/baobabdyke/baobabdyke/internal/logs/logline"
	"github.com/baobabdyke/baobabdyke/platform"
)

const (
	// defaultTimeout bounds a request that declares no deadline on a route
	// without a timeout.
	defaultTimeout = 30 * time.Second
	// defaultBodyBytes bounds a body if the configuration sets no limit.
	defaultBodyBytes = 8 << 20
	// busyRetry is the Retry-After for requests that no target can run now.
	busyRetry = 400 * time.Millisecond
	// stopRetry is the Retry-After of a stopping VM; the repeated request goes
	// to another VM.
	stopRetry = 20 * time.Millisecond
	// startRetry is the Retry-After of a VM that has no configuration yet.
	startRetry = 500 * time.Millisecond
)

// ErrStopping is the cause with which the context of a request is cancelled when the
// VM stops.
var ErrStopping = errors.New("the VM stops")

// Options are the parameters of a Handler.
type Options struct {
	View  func() *source.View
	Quota *quota.Limiter
	// Quarantine holds the requests and prompt segments that crash targets, and
	// OnSuspect is called when this VM has added to it.
	Quarantine *quarantine.List
	OnSuspect  func()
	// Admission refuses requests that their service has no capacity for; nil admits all.
	Admission *admission.Controller
	Placer    *placing.Placer
	Pool      *conn.Pool
	Budget    *retry.Budget
	// Hedger decides about second targets for slow responses; nil if there are none.
	Hedger *hedge.Hedger
	Log    log.Logger
	// Gate is told what attempts show of the versions of targets; nil if none is.
	Gate *canary.Gate
	// Origins knows at which version streams began.
	Origins Origins
	// VMs returns the number of VMs that share the retry budget.
	VMs func() int
	// Fresh reports whether requests with a key may be served. A VM that has no
	// recent update from the store or from other VMs may have missed the
	// withdrawal of a key.
	Fresh func() bool
	// UpToDate reports whether the configuration was confirmed so recently that requests
	// which it does not permit may be rejected.
	UpToDate func() bool
	// Stop returns the times of a planned stop; zero unless the VM is about to stop.
	Stop func() Stop
	// OnNotice is called with what a target states about further requests in the
	// response to a request that was sent at the given time.
	OnNotice func(target site.Incarnation, n site.Notice, requestID string, sent time.Time)
	// Suspect is called with targets that accepted no connection.
	Suspect func(t *site.Target)
	Metrics *Metrics
	// Memory is the budget for requests and unread answers; nil is one without a limit.
	Memory *intake.Memory
}

// Origins knows at which software version of its service's targets a stream begins. A stream is
// named by the request that brought its first event. Record returns the version at which it has
// to begin, which is the one that is recorded unless others were told of another one. Young
// returns versions at which no stream should begin yet.
type Origins interface {
	Young(service string) []string
	Record(service, customer, request, version string) string
	Find(ctx context.Context, service, customer, request string) origin.Origin
}

// Stop holds the times of a planned stop.
type Stop struct {
	// By is when the VM aborts running requests.
	By time.Time
	// AcceptUntil is until when it accepts requests whose deadline is later than that.
	AcceptUntil time.Time
}

// A Handler serves callers' requests. It implements http.Handler.
type Handler struct {
	opts Options
	// successLog selects the successful requests that are logged.
	successLog logline.Sampler
	// fullLog selects the requests that are logged of those refused for want of memory, and
	// hedgeLog the log lines about hedges.
	fullLog, hedgeLog logline.Sampler
	faulty            faultyTargets
}

// NewHandler returns a Handler.
func NewHandler(o Options) *Handler {
	if o.Memory == nil {
		o.Memory = intake.NewMemory(0)
	}
	return &Handler{
		opts: o, successLog: logline.Sampler{PerSecond: loggedSuccesses}, fullLog: logline.Sampler{PerSecond: loggedFull},
		hedgeLog: logline.Sampler{PerSecond: loggedHedges},
	}
}

// A job is the state of one caller's request.
type job struct {
	info    platform.RequestInfo
	request *http.Request
	body    []byte
	// transfer holds the memory of the body; nil if there is none.
	transfer *intake.Transfer
	// noMemory reports whether the request is refused for want of memory.
	noMemory bool
	view     *source.View
	route    *site.Route
	customer *site.Customer
	service  string
	engine   bool
	start    time.Time
	deadline time.Time
	cost     float64
	// ticket is nil unless the request was admitted by admission control. ticketEnd is how
	// it has ended.
	ticket    *admission.Ticket
	ticketEnd admission.Outcome
	// prompt is the prompt under the configuration by which the request was admitted.
	prompt prompt
	// contents are the whole request and the ids of the prompt's segments that other
	// prompts may share, for the quarantine.
	contents []string
	// cacheTokens is the capacity of the KV cache stores, engineTokens that of
	// one engine.
	cacheTokens  int
	engineTokens int
	sharedTokens int
	tokens       int

	// pinned reports whether the stream has begun at a target with the given software
	// version, here or in response to an earlier request, or others were told so. It goes on
	// at no other version.
	pinned  bool
	version string

	// The fields below record the progress of the request.
	tried    []string
	sends    int
	runs     int
	received int
	// losses counts the targets that were lost with the request.
	losses      int
	timeToFirst time.Duration
	target      string
	level       float64
	source      string
	home        bool
	storeKV     bool
	late        bool
	expected    time.Duration
	// missingTokens is the number of tokens that the target is expected to
	// prefill.
	missingTokens int
	weights       int64
	detail        string
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{info: platform.ReadRequestInfo(r.Header), request: r, view: h.opts.View(), start: time.Now(), level: -1}
	h.announceStop(w)
	if !h.opts.Memory.Reserve(intake.Requests, intake.RequestCost) {
		h.refuseFull(w, j)
		return
	}
	defer h.opts.Memory.Release(intake.Requests, intake.RequestCost)
	defer j.releaseBody()
	if f := h.admit(w, j); f != nil {
		h.fail(w, j, f)
		return
	}
	defer h.releaseWork(j)
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	h.run(ctx, w, j)
}

// admit reads the request and decides whether it may run. It returns nil if it
// may.
func (h *Handler) admit(w http.ResponseWriter, j *job) failure {
	cfg := j.view.Config
	if cfg == nil {
		return h.refuseEarly(w, j, refusal{http.StatusServiceUnavailable, "no configuration yet", startRetry})
	}
	if j.info.ID == "" {
		return h.refuseEarly(w, j, rejection{http.StatusBadRequest, "the request has no id"})
	}
	if f := h.authorise(j, cfg); f != nil {
		return h.refuseEarly(w, j, f)
	}
	if f := h.readBody(w, j); f != nil {
		return f
	}
	// The body may have taken long to arrive.
	h.announceStop(w)
	if disconnect.HasLeft(j.request.Context()) {
		return callerGone{disconnect.ErrLeft}
	}
	if f := h.authoriseAgain(j); f != nil {
		return f
	}
	j.setDeadline()
	if h.mayOutlast(j) {
		return refusal{http.StatusServiceUnavailable, "this VM is about to stop", stopRetry}
	}
	j.describe()
	if f := h.checkQuarantine(j); f != nil {
		return f
	}
	if f := h.findOrigin(j); f != nil {
		return f
	}
	if f := h.charge(j); f != nil {
		return f
	}
	return h.admitWork(j)
}

// checkQuarantine refuses a request that is quarantined, by itself or for a segment of its
// prompt.
func (h *Handler) checkQuarantine(j *job) failure {
	content, left, quarantined := h.quarantined(j)
	if !quarantined {
		return nil
	}
	if quarantine.IsRequest(content) {
		j.detail += content + " is quarantined; "
		return refusal{http.StatusServiceUnavailable, "the request crashes targets", left}
	}
	j.detail += "segment " + content + " is quarantined; "
	return refusal{http.StatusServiceUnavailable, "a segment of the prompt crashes engines", left}
}

// quarantined returns a quarantined content of the request and the time that is left of
// its quarantine, if there is one.
func (h *Handler) quarantined(j *job) (content string, left time.Duration, ok bool) {
	return h.opts.Quarantine.Quarantined(j.contents, time.Now())
}

func (h *Handler) log(keyvals ...any) { _ = h.opts.Log.Log(keyvals...) }

// announceStop makes the caller use another VM for its next request if this one is about
// to stop.
func (h *Handler) announceStop(w http.ResponseWriter) {
	if !h.opts.Stop().By.IsZero() {
		w.Header().Set("Connection", "close")
	}
}

// mayOutlast reports whether the request, if it is sent now, may run for longer than the
// VM.
func (h *Handler) mayOutlast(j *job) bool {
	stop := h.opts.Stop()
	return !stop.By.IsZero() && j.deadline.After(stop.By) && time.Now().After(stop.AcceptUntil)
}

// authorise finds the route, the customer and the service of the request.
func (h *Handler) authorise(j *job, cfg *site.Config) failure {
	j.route = cfg.Match(j.request.Host, j.path())
	if j.route == nil {
		return h.reject(http.StatusNotFound, "no route matches the host and path")
	}
	if len(cfg.Customers) > 0 {
		j.customer = cfg.CustomerByKey(j.info.Key)
		if j.customer == nil && !j.route.Public {
			return h.reject(http.StatusUnauthorized, "the key is not known")
		}
	}
	if f := h.checkFresh(j); f != nil {
		return f
	}
	j.service = pickShare(j.route.Shares, j.info.ID)
	s := cfg.Services[j.service]
	j.engine = s != nil && s.Engine != nil
	return nil
}

// checkFresh refuses a request with a key that may have been withdrawn.
func (h *Handler) checkFresh(j *job) failure {
	if len(j.view.Config.Customers) > 0 && !j.route.Public && !h.opts.Fresh() {
		return refusal{http.StatusServiceUnavailable, "this VM may have missed the withdrawal of a key", busyRetry}
	}
	return nil
}

// reject rejects a request that the configuration does not permit, unless this VM may have
// missed a newer one that does.
func (h *Handler) reject(code int, text string) failure {
	if !h.opts.UpToDate() {
		return refusal{http.StatusServiceUnavailable, text + ", but this VM may have missed a change", busyRetry}
	}
	return rejection{code, text}
}

// path returns the path without the query.
func (j *job) path() string {
	path, _, _ := strings.Cut(j.request.RequestURI, "?")
	return path
}

// pickShare divides requests among the services of a route by their ids.
func pickShare(shares []site.Share, id string) string {
	total := 0.0
	for _, s := range shares {
		total += max(s.Weight, 0)
	}
	point := float64(xxhash.Sum64String(id)>>11) / (1 << 53) * total
	for _, s := range shares {
		if point -= max(s.Weight, 0); point < 0 {
			return s.Service
		}
	}
	if len(shares) == 0 {
		return ""
	}
	return shares[len(shares)-1].Service
}

// setDeadline sets the deadline of the request.
func (j *job) setDeadline() {
	left := j.info.Deadline
	if left <= 0 || j.route.Timeout > 0 && j.route.Timeout < left {
		left = j.route.Timeout
	}
	if left <= 0 {
		left = defaultTimeout
	}
	j.deadline = j.start.Add(left)
}

// describe fills in what is needed to choose a target.
func (j *job) describe() {
	info := &j.info
	j.prompt = newPrompt(info, j.view.Config.CacheScope(j.customerName()))
	whole := xxhash.New()
	for _, part := range []string{j.request.Method, j.request.Host, j.request.RequestURI, info.Model} {
		_, _ = whole.WriteString(part + "\n")
	}
	_, _ = whole.Write(j.body)
	j.contents = []string{""}
	for i, segment := range info.Segments {
		_, _ = whole.WriteString("/" + segment.ID)
		j.tokens += segment.Tokens
		if i < len(info.Segments)-1 {
			j.sharedTokens += segment.Tokens
			j.contents = append(j.contents, segment.ID)
		}
	}
	j.contents[0] = quarantine.Request(whole.Sum64())
	j.tokens = max(j.tokens, info.PromptTokens)
	if s := j.view.Config.Services[j.service]; j.engine {
		j.engineTokens = s.Engine.CapacityTokens
	}
	j.cacheTokens = j.view.Config.CacheCapacity()
}

// customerName returns the name of the customer, which is empty if the request has none.
func (j *job) customerName() string {
	if j.customer == nil {
		return ""
	}
	return j.customer.Name
}

// shared returns the ids of the prompt's segments that other prompts may share.
func (j *job) shared() []string { return j.contents[1:] }

// charge enforces the customer's limit.
func (h *Handler) charge(j *job) failure { return j.charge(h.opts.Quota.Admit) }

// charge enforces the customer's limit by a decision about the cost of the request.
func (j *job) charge(admit func(*site.Customer, float64) quota.Decision) failure {
	c := j.customer
	if c == nil {
		return nil
	}
	j.cost = 1
	if c.ByTokens {
		j.cost = c.DefaultTokens
		if d := j.info; d.PromptTokens >= 0 {
			j.cost = float64(d.PromptTokens + d.CompletionTokens)
		}
	}
	decision := admit(c, j.cost)
	j.level = decision.Level
	if !decision.Admitted {
		j.cost = 0
		return refusal{http.StatusTooManyRequests, "the customer is over its limit", decision.RetryAfter}
	}
	return nil
}

// latePriority is the priority from which requests are late; engines have ten
// priorities.
const latePriority = 5

// configuredPriority returns the priority of the customer or, if it has none, of the route.
func (j *job) configuredPriority() int {
	if j.customer != nil && j.customer.HasPriority {
		return j.customer.Priority
	}
	return j.route.Priority
}

// priority returns the request's priority at engines. Late requests come after
// all others.
func (j *job) priority(late bool) int {
	if !j.engine {
		return -1
	}
	priority := min(j.configuredPriority(), latePriority-1)
	if late {
		priority += latePriority
	}
	return priority
}
