package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/prefix"
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

// A Completion is a parsed chat completion request.
type Completion struct {
	Route   string
	Adapter string
	Stream  bool
	Output  int
	Prompt  []byte
	fields  map[string]json.RawMessage
}

// ParseCompletion parses the body of a chat completion. The model field names
// the route, followed by a colon and an adapter where one is wanted.
func ParseCompletion(body []byte) (Completion, error) {
	var c Completion
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return c, badField("body", "is not a JSON object: "+err.Error())
	}
	var model string
	if err := c.read("model", &model); err != nil {
		return c, err
	}
	c.Route, c.Adapter, _ = strings.Cut(model, ":")
	if c.Route == "" {
		return c, badField("model", "is missing; it names the route")
	}
	if err := c.read("stream", &c.Stream); err != nil {
		return c, err
	}
	c.Output = defaultOutput
	if err := c.read("max_tokens", &c.Output); err != nil {
		return c, err
	}
	if err := c.read("max_completion_tokens", &c.Output); err != nil {
		return c, err
	}
	if c.Output < 1 || c.Output > maxOutput {
		return c, badField("max_tokens", "is not between 1 and 131072")
	}
	return c, c.readPrompt()
}

// Body returns the body that an engine gets: the model's own name in place of
// the route's, all other fields as they came.
func (c Completion) Body(r *config.Route) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(c.fields))
	for name, value := range c.fields {
		fields[name] = value
	}
	model := r.Model
	if c.Adapter != "" {
		model += ":" + c.Adapter
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, err
	}
	fields["model"] = name
	return json.Marshal(fields)
}

// Tokens estimates the number of prompt tokens.
func (c Completion) Tokens() int {
	return (len(c.Prompt) + bytesPerToken - 1) / bytesPerToken
}

// Pieces returns the prompt as engines of the route cache it.
func (c Completion) Pieces(v *config.View, r *config.Route, customer string) prefix.Prompt {
	piece := defaultPiece
	if m := v.Model(r.Model); m != nil && m.Piece > 0 {
		piece = m.Piece
	}
	salt := prefix.Salt{Customer: customer, Model: r.Model, Version: r.Version, Adapter: c.Adapter}
	if r.Open {
		salt.Customer = ""
	}
	return prefix.Split(salt, c.Prompt, piece)
}

// read decodes one field into value if the request has it.
func (c Completion) read(name string, value any) error {
	raw, ok := c.fields[name]
	if !ok || bytes.Equal(raw, []byte("null")) {
		return nil
	}
	if err := json.Unmarshal(raw, value); err != nil {
		return badField(name, "has the wrong type")
	}
	return nil
}

// readPrompt joins roles and contents of the messages in their order.
func (c *Completion) readPrompt() error {
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := c.read("messages", &messages); err != nil {
		return err
	}
	if len(messages) == 0 {
		return badField("messages", "is missing or empty")
	}
	var b bytes.Buffer
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte(0)
		b.Write(m.Content)
		b.WriteByte(0)
	}
	c.Prompt = b.Bytes()
	return nil
}

// A fieldError reports a field of a request that cannot be used.
type fieldError struct {
	field  string
	reason string
}

// Error implements error.
func (e *fieldError) Error() string { return e.field + " " + e.reason }

func badField(field, reason string) error {
	return &fieldError{field: field, reason: reason}
}

// chat serves POST /v1/chat/completions.
func (h *Handler) chat(w http.ResponseWriter, r *http.Request) {
	body, failure := h.readBody(w, r)
	if failure != nil {
		h.refuse(w, r, *failure)
		return
	}
	c, err := ParseCompletion(body)
	if err != nil {
		h.refuse(w, r, Failure{
			Status:  http.StatusBadRequest,
			Code:    CodeBadRequest,
			Message: err.Error(),
			Outcome: OutcomeNotRun,
		})
		return
	}
	h.serve(w, r, call{name: c.Route, kind: config.RouteModel, path: r.URL.Path, body: body, completion: &c})
}
