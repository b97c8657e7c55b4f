package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/prefix"
)

// A Completion is a parsed chat completion request.
type Completion struct {
	Route   string
	Adapter string
	Stream  bool
	Output  int
	Prompt  []byte
	body    []byte
	// modelStart and modelEnd are the place of the model field's value.
	modelStart int64
	modelEnd   int64
}

// ParseCompletion parses the body of a chat completion. The model field names
// the route, followed by a colon and an adapter where one is wanted. A field
// that stands twice is refused, since an engine might read the other one.
func ParseCompletion(body []byte) (Completion, error) {
	c := Completion{body: body, Output: defaultOutput}
	var model json.RawMessage
	var messages []message
	p := newObjectParser(body)
	err := p.parse(map[string]any{
		"model":                 &model,
		"stream":                &c.Stream,
		"max_tokens":            &c.Output,
		"max_completion_tokens": &c.Output,
		"messages":              &messages,
	})
	if err != nil {
		return c, err
	}
	c.modelEnd = p.ends["model"]
	c.modelStart = c.modelEnd - int64(len(model))
	var name string
	if len(model) > 0 && json.Unmarshal(model, &name) != nil {
		return c, badField("model", "has the wrong type")
	}
	c.Route, c.Adapter, _ = strings.Cut(name, ":")
	c.Prompt = joinMessages(messages)
	return c, c.check(messages)
}

// check refuses what no route can serve.
func (c Completion) check(messages []message) error {
	switch {
	case c.Route == "":
		return badField("model", "is missing; it names the route")
	case c.Output < 1 || c.Output > maxOutput:
		return badField("max_tokens", "is not between 1 and 131072")
	case len(messages) == 0:
		return badField("messages", "is missing or empty")
	}
	return nil
}

// Body returns the body that an engine gets: the model's own name in place of
// the route's, all else as it came.
func (c Completion) Body(r *config.Route) ([]byte, error) {
	model := r.Model
	if c.Adapter != "" {
		model += ":" + c.Adapter
	}
	name, err := json.Marshal(model)
	if err != nil {
		return nil, err
	}
	out := make([]byte, 0, len(c.body)+len(name))
	out = append(out, c.body[:c.modelStart]...)
	out = append(out, name...)
	return append(out, c.body[c.modelEnd:]...), nil
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

// A message is one message of a chat.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// joinMessages joins roles and contents of the messages in their order.
func joinMessages(messages []message) []byte {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + 2
	}
	prompt := make([]byte, 0, size)
	for _, m := range messages {
		prompt = append(prompt, m.Role...)
		prompt = append(prompt, 0)
		prompt = append(prompt, m.Content...)
		prompt = append(prompt, 0)
	}
	return prompt
}

// An objectParser reads the fields of one JSON object and notes where they end.
type objectParser struct {
	dec  *json.Decoder
	ends map[string]int64
}

func newObjectParser(body []byte) *objectParser {
	return &objectParser{dec: json.NewDecoder(bytes.NewReader(body)), ends: map[string]int64{}}
}

// parse reads the object. Fields go to the values under their names, others
// are passed over.
func (p *objectParser) parse(values map[string]any) error {
	if t, err := p.dec.Token(); err != nil || t != json.Delim('{') {
		return badField("body", "is not a JSON object")
	}
	for p.dec.More() {
		if err := p.field(values); err != nil {
			return err
		}
	}
	if _, err := p.dec.Token(); err != nil {
		return badField("body", "is not a JSON object: "+err.Error())
	}
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return badField("body", "goes on after its end")
	}
	return nil
}

// field reads the next field.
func (p *objectParser) field(values map[string]any) error {
	t, err := p.dec.Token()
	name, ok := t.(string)
	if err != nil || !ok {
		return badField("body", "is not a JSON object")
	}
	if _, twice := p.ends[name]; twice {
		return badField(name, "stands twice")
	}
	value, wanted := values[name]
	if !wanted {
		value = new(json.RawMessage)
	}
	if err := p.dec.Decode(value); err != nil {
		return badField(name, "has the wrong type or is no JSON value")
	}
	p.ends[name] = p.dec.InputOffset()
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
