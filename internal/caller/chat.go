package caller

import (
	"net/http"

	"github.com/baobabdyke/baobabdyke/config"
)

const (
	// defaultOutput is the token limit of an answer whose request has none.
	defaultOutput = 512
	// maxOutput is the largest token limit that is accepted.
	maxOutput = 1 << 17
	// bytesPerToken estimates tokens from the length of a prompt.
	bytesPerToken = 4
	// defaultPiece is the number of prompt bytes in a piece of a model without one.
	defaultPiece = 8192
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
	h.serve(w, r, call{name: c.Route, kind: config.RouteModel, path: r.URL.Path, body: body, completion: &c})
}
