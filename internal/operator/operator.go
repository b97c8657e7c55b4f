// Package operator implements the HTTP interface for operators: patches, state
// dumps, metrics, liveness, readiness and graceful shutdown.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"net/http"
	"strings"

	"github.com/go-kit/log"
	"github.com/justinas/alice"

	"github.com/baobabdyke/baobabdyke/config"
)

// maxPatchBytes is the largest accepted patch.
const maxPatchBytes = 16 << 20

// A Configuration applies patches and returns the current configuration.
type Configuration interface {
	Current() *config.View
	Submit(ctx context.Context, p config.Patch) config.PatchResult
}

// A Dump returns the state of one component as a JSON value without secrets.
type Dump func() any

// Dumps maps component names to their dumps.
type Dumps map[string]Dump

// All returns the states of all components by name.
func (d Dumps) All() map[string]any {
	all := make(map[string]any, len(d))
	for name, dump := range d {
		all[name] = dump()
	}
	return all
}

// Options are the dependencies of a Handler. Each dump is served at the path of
// its name.
type Options struct {
	Token  []byte
	Config Configuration
	Dumps  Dumps
	Ready  func() error
	Drain  func()
	Log    log.Logger
}

// A Handler serves the operators' port.
type Handler struct {
	opts Options
	mux  *http.ServeMux
}

// NewHandler returns the handler of the operators' port. All paths except /live
// and /ready require the bearer token.
func NewHandler(opts Options) http.Handler {
	h := &Handler{opts: opts, mux: http.NewServeMux()}
	authenticated := alice.New(h.authenticate)
	h.mux.HandleFunc("GET /live", h.live)
	h.mux.HandleFunc("GET /ready", h.ready)
	h.mux.Handle("POST /patch", authenticated.ThenFunc(h.patch))
	h.mux.Handle("POST /drain", authenticated.ThenFunc(h.drain))
	h.mux.Handle("GET /config", authenticated.ThenFunc(h.config))
	h.mux.Handle("GET /dump", authenticated.ThenFunc(h.dump))
	h.mux.Handle("GET /debug/vars", authenticated.Then(expvar.Handler()))
	for name, dump := range opts.Dumps {
		h.mux.Handle("GET /"+name, authenticated.Then(dumpHandler(dump)))
	}
	return h.mux
}

// authenticate rejects requests without the operators' token.
func (h *Handler) authenticate(next http.Handler) http.Handler {
	want := sha256.Sum256(h.opts.Token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		got := sha256.Sum256([]byte(token))
		if !ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			writeError(w, http.StatusUnauthorized, "the operators' token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) live(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, struct {
		Live bool `json:"live"`
	}{true})
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.opts.Ready(); err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Ready bool `json:"ready"`
	}{true})
}

// patch submits a patch and responds with its outcome.
func (h *Handler) patch(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxPatchBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "the patch could not be read: "+err.Error())
		return
	}
	p, err := config.DecodePatch("patch", body)
	if err != nil {
		writeRefused(w, err)
		return
	}
	result := h.opts.Config.Submit(r.Context(), p)
	_ = h.opts.Log.Log("msg", "patch submitted", "patch", p.ID, "outcome", outcomeName(result))
	writePatchResult(w, result)
}

func (h *Handler) drain(w http.ResponseWriter, _ *http.Request) {
	h.opts.Drain()
	writeJSON(w, http.StatusAccepted, struct {
		Draining bool `json:"draining"`
	}{true})
}

func (h *Handler) config(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.opts.Config.Current().Config)
}

// dump writes the states of all components by name.
func (h *Handler) dump(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.opts.Dumps.All())
}

func dumpHandler(dump Dump) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, dump())
	})
}

func writePatchResult(w http.ResponseWriter, result config.PatchResult) {
	body := struct {
		Outcome string `json:"outcome"`
		Version int64  `json:"version,omitempty"`
		Error   string `json:"error,omitempty"`
	}{Outcome: outcomeName(result)}
	switch result := result.(type) {
	case config.PatchAccepted:
		body.Version = result.Version
		writeJSON(w, http.StatusOK, body)
	case config.PatchConflict:
		body.Version = result.Current
		writeJSON(w, http.StatusConflict, body)
	case config.PatchRefused:
		writeRefused(w, result.Problems)
	case config.PatchNotSent:
		body.Error = result.Err.Error()
		writeJSON(w, http.StatusServiceUnavailable, body)
	case config.PatchUnknown:
		body.Error = result.Err.Error()
		writeJSON(w, http.StatusServiceUnavailable, body)
	}
}

func outcomeName(result config.PatchResult) string {
	switch result.(type) {
	case config.PatchAccepted:
		return "accepted"
	case config.PatchConflict:
		return "conflict"
	case config.PatchRefused:
		return "refused"
	case config.PatchNotSent:
		return "not-sent"
	default:
		return "unknown"
	}
}

// writeRefused responds with all problems of a patch.
func writeRefused(w http.ResponseWriter, err error) {
	body := struct {
		Outcome  string   `json:"outcome"`
		Problems []string `json:"problems"`
	}{Outcome: "refused"}
	var problems *config.Problems
	if errors.As(err, &problems) {
		for _, p := range problems.List {
			body.Problems = append(body.Problems, p.String())
		}
	} else {
		body.Problems = []string{err.Error()}
	}
	writeJSON(w, http.StatusUnprocessableEntity, body)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{message})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(body)
}
