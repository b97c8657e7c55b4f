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

// A Completion is a parsed chat completion request. MaxTokens is the token limit
// of the response. Prompt is the content from which prefix pieces are derived.
type Completion struct {
	Route     string
	Adapter   string
	Stream    bool
	MaxTokens int
	Prompt    []byte
	body      []byte
	// modelStart and modelEnd are the offsets of the model field's value in
	// body.
	modelStart int64
	modelEnd   int64
}

// ParseCompletion parses the body of a chat completion. The model field names
// the route, optionally followed by a colon and an adapter. Duplicate fields are
// rejected, since an engine might read the other occurrence.
func ParseCompletion(body []byte) (Completion, error) {
	c := Completion{body: body, MaxTokens: defaultMaxTokens}
	var model json.RawMessage
	var messages []message
	p := newObjectParser(body)
	err := p.parse(map[string]any{
		"model":                 &model,
		"stream":                &c.Stream,
		"max_tokens":            &c.MaxTokens,
		"max_completion_tokens": &c.MaxTokens,
		"messages":              &messages,
	})
	if err != nil {
		return c, err
	}
	c.modelEnd = p.ends["model"]
	c.modelStart = c.modelEnd - int64(len(model))
	var name string
	if len(model) > 0 && json.Unmarshal(model, &name) != nil {
		return c, newFieldError("model", "has the wrong type")
	}
	c.Route, c.Adapter, _ = strings.Cut(name, ":")
	c.Prompt = joinMessages(messages)
	return c, c.validate(messages)
}

// validate returns an error for a request that no route can serve.
func (c Completion) validate(messages []message) error {
	switch {
	case c.Route == "":
		return newFieldError("model", "is missing; it names the route")
	case c.MaxTokens < 1 || c.MaxTokens > maxTokensLimit:
		return newFieldError("max_tokens", "is not between 1 and 131072")
	case len(messages) == 0:
		return newFieldError("messages", "is missing or empty")
	}
	return nil
}

// EngineBody returns the request body for an engine: the name of the route is
// replaced by the name of its model, all other bytes are unchanged.
func (c Completion) EngineBody(r *config.Route) ([]byte, error) {
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

// Tokens returns the estimated number of prompt tokens.
func (c Completion) Tokens() int {
	return (len(c.Prompt) + bytesPerToken - 1) / bytesPerToken
}

// Pieces splits the prompt into the pieces that engines of the route cache. On
// open routes the salt has no customer, so that all callers share the pieces.
func (c Completion) Pieces(v *config.View, r *config.Route, customer string) prefix.Prompt {
	piece := defaultPieceBytes
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

// joinMessages concatenates the roles and contents of the messages, each followed
// by a zero byte.
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

// An objectParser reads the fields of one JSON object and records the offset at
// which each value ends.
type objectParser struct {
	dec  *json.Decoder
	ends map[string]int64
}

func newObjectParser(body []byte) *objectParser {
	return &objectParser{dec: json.NewDecoder(bytes.NewReader(body)), ends: map[string]int64{}}
}

// parse reads the object. Fields with an entry in values are decoded into it, all
// others are skipped.
func (p *objectParser) parse(values map[string]any) error {
	if t, err := p.dec.Token(); err != nil || t != json.Delim('{') {
		return newFieldError("body", "is not a JSON object")
	}
	for p.dec.More() {
		if err := p.field(values); err != nil {
			return err
		}
	}
	if _, err := p.dec.Token(); err != nil {
		return newFieldError("body", "is not a JSON object: "+err.Error())
	}
	if _, err := p.dec.Token(); !errors.Is(err, io.EOF) {
		return newFieldError("body", "goes on after its end")
	}
	return nil
}

// field decodes the next field. A name that occurred before is an error.
func (p *objectParser) field(values map[string]any) error {
	t, err := p.dec.Token()
	name, ok := t.(string)
	if err != nil || !ok {
		return newFieldError("body", "is not a JSON object")
	}
	if _, duplicate := p.ends[name]; duplicate {
		return newFieldError(name, "stands twice")
	}
	value, known := values[name]
	if !known {
		value = new(json.RawMessage)
	}
	if err := p.dec.Decode(value); err != nil {
		return newFieldError(name, "has the wrong type or is no JSON value")
	}
	p.ends[name] = p.dec.InputOffset()
	return nil
}

// A fieldError reports an invalid field of a request.
type fieldError struct {
	field  string
	reason string
}

// Error implements error.
func (e *fieldError) Error() string { return e.field + " " + e.reason }

func newFieldError(field, reason string) error {
	return &fieldError{field: field, reason: reason}
}
