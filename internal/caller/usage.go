package caller

import (
	"encoding/json"

	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/limit"
)

// maxUsageBody is the largest whole completion in bytes whose usage is read.
const maxUsageBody = 1 << 20

// whole tells whether the request is a completion that is answered in one piece.
func (j *work) whole() bool {
	return j.completion != nil && !j.completion.Stream
}

// used returns what a request that ran takes of its customer's rate: the prompt
// and the tokens of the answer, as far as they are known. It is never more than
// was reserved.
func (j *work) used(o dispatch.Ran, out *answerWriter) limit.Cost {
	output, known := j.outputTokens(o, out)
	if !known || output >= j.output {
		return j.cost
	}
	used := j.cost
	used.Tokens -= float64(j.output - output)
	return used
}

// outputTokens returns the tokens of the answer: its events without the last
// one, or what the engine says of a whole answer.
func (j *work) outputTokens(o dispatch.Ran, out *answerWriter) (int, bool) {
	switch {
	case j.completion == nil:
		return 0, false
	case j.completion.Stream && o.Complete:
		return int(max(0, o.Parts-1)), true
	case j.completion.Stream:
		return 0, false
	default:
		return readUsage(out.copied.Bytes())
	}
}

// readUsage returns the completion tokens that a whole answer states.
func readUsage(body []byte) (int, bool) {
	var answer struct {
		Usage *struct {
			Completion int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(body, &answer) != nil || answer.Usage == nil {
		return 0, false
	}
	return max(0, answer.Usage.Completion), true
}
