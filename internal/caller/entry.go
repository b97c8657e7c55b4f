package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/customer"
	"github.com/baobabdyke/baobabdyke/entry"
)

// entry serves GET /entry?route=R&prefix=HEX.
func (h *Handler) entry(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefixHash, err := parsePrefixHash(query.Get("prefix"))
	if err != nil {
		message := "prefix is not a hexadecimal number of at most 16 digits"
		h.refuse(w, r, notRunFailure(http.StatusBadRequest, CodeBadRequest, message, 0))
		return
	}
	view := h.opts.Config.Current()
	granted, failure := authorize(view, r, query.Get("route"))
	if failure != nil {
		h.refuse(w, r, failure)
		return
	}
	response := h.opts.Placer.Resolve(entryRequest(view, granted, prefixHash, h.opts.DataCentre))
	h.counters.Add(codeEntry)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

func entryRequest(v *config.View, g customer.Granted, prefixHash uint64, dataCentre string) entry.Request {
	r := entry.Request{
		Customer:   g.Grant.Customer,
		Route:      g.Route.Name,
		Family:     prefixHash,
		DataCentre: dataCentre,
	}
	if c := v.Customer(g.Grant.Customer); c != nil {
		r.Rate = c.Rate
	}
	return r
}

func parsePrefixHash(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 16, 64)
}
