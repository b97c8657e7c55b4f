package caller

import (
	"encoding/json"

	"github.com/baobabdyke/baobabdyke/dispatch"
	"github.com/baobabdyke/baobabdyke/limit"
)

// maxUsageBodyBytes is the largest non-streamed completion whose token usage is
// read.
const maxUsageBodyBytes = 1 << 20

// isNonStreamed reports whether the request is a completion without streaming.
func (j *requestJob) isNonStreamed() bool {
	return j.completion != nil && !j.completion.Stream
}

// usedCost returns the cost of a request that ran: its prompt tokens and its
// completion tokens. It is never more than the reserved cost, which it equals if
// the completion tokens are not known.
func (j *requestJob) usedCost(o dispatch.Ran, out *responseWriter) limit.Cost {
	output, known := j.outputTokens(o, out)
	if !known || output >= j.maxTokens {
		return j.cost
	}
	used := j.cost
	used.Tokens -= float64(j.maxTokens - output)
	return used
}

// outputTokens returns the number of completion tokens: the events of a stream
// without the last one, or the usage that the engine reports in a non-streamed
// completion.
func (j *requestJob) outputTokens(o dispatch.Ran, out *responseWriter) (int, bool) {
	switch {
	case j.completion == nil:
		return 0, false
	case j.completion.Stream && o.Complete:
		return int(max(0, o.Parts-1)), true
	case j.completion.Stream:
		return 0, false
	default:
		return readUsage(out.bodyCopy.Bytes())
	}
}

// readUsage returns the completion tokens reported in the body of a non-streamed
// completion.
func readUsage(body []byte) (int, bool) {
	var response struct {
		Usage *struct {
			Completion int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(body, &response) != nil || response.Usage == nil {
		return 0, false
	}
	return max(0, response.Usage.Completion), true
}
