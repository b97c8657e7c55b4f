package node

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/gateway/relay"
	"github.com/baobabdyke/baobabdyke/internal/logs/logline"
	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// maxQuestionBytes bounds a request to explain a decision.
const maxQuestionBytes = 64 << 10

// A RouteExplanation is the response of the page that explains a decision.
type RouteExplanation struct {
	VM         string `json:"vm"`
	DataCentre string `json:"datacentre"`
	// Ready reports whether the VM takes requests.
	Ready bool `json:"ready"`
	relay.Explanation
	Ages InputAges `json:"ages"`
}

// InputAges are the times in milliseconds since the inputs of a decision were last known to be
// complete.
type InputAges struct {
	ConfigMS  int64 `json:"configms"`
	TargetsMS int64 `json:"targetsms"`
	WeightsMS int64 `json:"weightsms"`
}

// requireToken admits requests with the operators' bearer token. It refuses all if the settings
// name none: the page tells what customers have left and which targets serve them. The file
// is read each time, so that the token can be replaced without a restart.
func (n *Node) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, err := settings.ReadSecret(n.settings.Operators.TokenFile)
		if err != nil || token == nil {
			if err != nil {
				_ = n.log.Log("msg", "operators' token not read", "err", logline.ErrorText(err))
			}
			http.Error(w, "this VM has no operators' token: set operators.token", http.StatusForbidden)
			return
		}
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		have, want := sha256.Sum256([]byte(given)), sha256.Sum256(token)
		if subtle.ConstantTimeCompare(have[:], want[:]) != 1 {
			http.Error(w, "the operators' token is wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// serveExplanation writes how a request would be handled.
func (n *Node) serveExplanation(w http.ResponseWriter, r *http.Request) {
	var q relay.Question
	d := json.NewDecoder(io.LimitReader(r.Body, maxQuestionBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		http.Error(w, "question: "+err.Error(), http.StatusBadRequest)
		return
	}
	e, err := n.relay.Explain(q)
	var unknown relay.UnknownError
	switch {
	case errors.As(err, &unknown):
		http.Error(w, unknown.Error(), http.StatusUnprocessableEntity)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	out := RouteExplanation{
		VM: n.settings.VM, DataCentre: n.settings.DataCentre, Ready: n.ready.Load() && !n.leaving.Load(), Explanation: e,
		Ages: InputAges{
			ConfigMS: n.source.Age(source.Config).Milliseconds(), TargetsMS: n.source.Age(source.Targets).Milliseconds(),
			WeightsMS: n.source.Age(source.WeightVersions).Milliseconds(),
		},
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		_ = n.log.Log("msg", "explanation not written", "err", err)
	}
}
