package caller

import (
	"net/http"

	"github.com/baobabdyke/baobabdyke/config"
)

// service serves /s/{route}/{path...}.
func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	body, failure := h.readBody(w, r)
	if failure != nil {
		h.refuse(w, r, failure)
		return
	}
	h.serve(w, r, call{
		routeName: r.PathValue("route"),
		kind:      config.RouteService,
		path:      "/" + r.PathValue("path"),
		body:      body,
	})
}
