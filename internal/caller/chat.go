package caller

import (
	"net/http"

	"github.com/baobabdyke/baobabdyke/config"
)

const (
	// defaultMaxTokens is the token limit of a completion whose request sets
	// none.
	defaultMaxTokens = 512
	// maxTokensLimit is the largest accepted token limit of a completion.
	maxTokensLimit = 1 << 17
	// bytesPerToken is the estimated number of prompt bytes per token.
	bytesPerToken = 4
	// defaultPieceBytes is the piece size of models that configure none.
	defaultPieceBytes = 8192
)

// chat serves POST /v1/chat/completions.
func (h *Handler) chat(w http.ResponseWriter, r *http.Request) {
	body, failure := h.readBody(w, r)
	if failure != nil {
		h.refuse(w, r, failure)
		return
	}
	c, err := ParseCompletion(body)
	if err != nil {
		h.refuse(w, r, notRunFailure(http.StatusBadRequest, CodeBadRequest, err.Error(), 0))
		return
	}
	h.serve(w, r, call{routeName: c.Route, kind: config.RouteModel, path: r.URL.Path, body: body, completion: &c})
}
