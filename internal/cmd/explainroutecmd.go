package cmd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/internal/gateway/node"
	"github.com/baobabdyke/baobabdyke/internal/gateway/relay"
)

// explainRouteCommand is the subcommand "explain-route", which may also be written "explain
// route".
type explainRouteCommand struct {
	operatorArguments
	File     string        `arg:"--file" placeholder:"FILE" help:"file with the request in JSON; flags take precedence"`
	Host     string        `arg:"--host" help:"host of the request"`
	Path     string        `arg:"--path" help:"path of the request"`
	Customer string        `arg:"--customer" help:"name of the customer; none for a request without a key"`
	Model    string        `arg:"--model" help:"model of the request"`
	Prefix   string        `arg:"--prefix" placeholder:"ID:TOKENS,..." help:"parts of the prompt, the last one being the request's own"`
	Tokens   int           `arg:"--tokens" help:"declared tokens of the prompt"`
	Answer   int           `arg:"--answer" help:"declared tokens of the answer"`
	Size     int64         `arg:"--size" placeholder:"BYTES" help:"length of the body"`
	Deadline time.Duration `arg:"--deadline" help:"declared deadline"`
	ID       string        `arg:"--id" help:"id of the request, which decides among services of a route"`
	JSON     bool          `arg:"--json" help:"write JSON"`
}

// joinExplainRoute returns the arguments with "explain route" as one word if options follow.
// Names of log files don't begin with a hyphen, so that a request with the id "route" can
// still be followed.
func joinExplainRoute(args []string) []string {
	if len(args) < 2 || args[0] != "explain" || args[1] != "route" || len(args) > 2 && !strings.HasPrefix(args[2], "-") {
		return args
	}
	return append([]string{"explain-route"}, args[2:]...)
}

func (c *explainRouteCommand) run(stdout, stderr io.Writer) int {
	q, err := c.question()
	if err != nil {
		return fail(stderr, ExitUsage, err)
	}
	body, err := json.Marshal(q)
	if err != nil {
		return fail(stderr, ExitFailure, err)
	}
	response, err := c.call(http.MethodPost, "/explain/route", string(body))
	if err != nil {
		return fail(stderr, ExitFailure, err)
	}
	switch response.status {
	case http.StatusOK:
	case http.StatusUnprocessableEntity, http.StatusForbidden, http.StatusServiceUnavailable:
		return fail(stderr, ExitFailure, errors.New(strings.TrimSpace(string(response.body))))
	default:
		return fail(stderr, ExitFailure, errors.New(response.describe()))
	}
	if c.JSON {
		_, err = stdout.Write(response.body)
	} else {
		var e node.RouteExplanation
		if err = json.Unmarshal(response.body, &e); err == nil {
			err = printExplanation(stdout, &e)
		}
	}
	if err != nil {
		return fail(stderr, ExitFailure, err)
	}
	return ExitOK
}

// question returns the request from the file and the flags.
func (c *explainRouteCommand) question() (q relay.Question, err error) {
	if c.File != "" {
		data, err := os.ReadFile(c.File)
		if err != nil {
			return q, eris.Wrap(err, "read request")
		}
		d := json.NewDecoder(bytes.NewReader(data))
		d.DisallowUnknownFields()
		if err := d.Decode(&q); err != nil {
			return q, eris.Wrapf(err, "request in %s", c.File)
		}
	}
	for _, text := range []struct {
		value string
		into  *string
	}{{c.Host, &q.Host}, {c.Path, &q.Path}, {c.Customer, &q.Customer}, {c.Model, &q.Model}, {c.ID, &q.ID}} {
		if text.value != "" {
			*text.into = text.value
		}
	}
	if c.Tokens != 0 || c.Answer != 0 {
		q.PromptTokens, q.AnswerTokens = c.Tokens, c.Answer
	}
	if c.Size != 0 {
		q.BodyBytes = c.Size
	}
	if c.Deadline != 0 {
		q.DeadlineMS = c.Deadline.Milliseconds()
	}
	if c.Prefix != "" {
		if q.Segments, err = parsePrefix(c.Prefix); err != nil {
			return q, err
		}
	}
	if q.Host == "" || !strings.HasPrefix(q.Path, "/") {
		return q, eris.New("--host, and --path with a slash in front, are required unless the file has them")
	}
	return q, nil
}

func parsePrefix(text string) ([]relay.QuestionSegment, error) {
	var out []relay.QuestionSegment
	for _, part := range strings.Split(text, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.Atoi(tokens)
		if err != nil || id == "" || n < 0 {
			return nil, eris.Errorf("--prefix: %q is not ID:TOKENS", part)
		}
		out = append(out, relay.QuestionSegment{ID: id, Tokens: n})
	}
	return out, nil
}

// printExplanation prints an explanation for a person.
func printExplanation(w io.Writer, e *node.RouteExplanation) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, values ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	row("vm", "%s in %s, %s", e.VM, e.DataCentre, choose(e.Ready, "ready", "not ready"))
	row("inputs", "configuration %d, confirmed %d ms ago; targets %d ms, weights %d ms; loads of %d VMs, %s", e.ConfigVersion, e.Ages.ConfigMS,
		e.Ages.TargetsMS, e.Ages.WeightsMS, e.Placement.VMs, choose(e.Placement.LoadsMS < 0, "no reports", fmt.Sprintf("oldest %d ms", e.Placement.LoadsMS)))
	r := &e.Route
	row("route", "%s, service %s%s", r.Name, r.Service, describeWeights(r.Weights))
	row("rights", "%s, %s, %d attempts, timeout %d ms, goal %d ms%s", choose(r.Public, "public", "customers only"), choose(r.Repeatable, "may be repeated", "runs once"),
		r.MaxAttempts, r.TimeoutMS, r.GoalMS, choose(r.Hedged, ", hedged", ""))
	if c := e.Customer; c == nil {
		row("customer", "none")
	} else {
		unit := choose(c.ByTokens, "tokens", "requests")
		row("customer", "%s%s", c.Name, choose(c.Isolated, ", isolated", ""))
		if c.Rate <= 0 {
			row("limit", "none")
		} else {
			row("limit", "%.0f %s a second, burst %.0f; costs %.0f, leaves %.0f here: %s", c.Rate, unit, c.Burst, c.Cost, c.Left, choose(c.Admitted, "admitted", "over the limit"))
		}
	}
	row("request", "%d tokens, %d shared, %d ms left%s%s", e.Request.Tokens, e.Request.SharedTokens, e.Request.DeadlineMS,
		choose(e.Request.Priority >= 0, fmt.Sprintf(", priority %d", e.Request.Priority), ""), choose(e.Placement.Late, ", late at every target", ""))
	row("capacity", "%s", describeCapacity(e))
	if f := e.Refused; f != nil {
		again := "not to be repeated"
		if f.RetryAfterMS > 0 {
			again = fmt.Sprintf("Retry-After %.3f s", float64(f.RetryAfterMS)/1000)
		}
		row("outcome", "refused with %d, %s: %s", f.Status, again, f.Reason)
	} else {
		row("outcome", "sent to %s", e.Placement.Candidates[0].Target)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return printCandidates(w, e)
}

// describeCapacity returns what the targets of the service have room for. VMs keep no queue:
// targets that are engines order requests by priority.
func describeCapacity(e *node.RouteExplanation) string {
	targets, running, slots := 0, 0, 0
	for _, c := range e.Placement.Candidates {
		if !c.Excluded {
			targets, running, slots = targets+1, running+c.Running, slots+c.Slots
		}
	}
	order := choose(e.Route.Engine, "engines order by priority", "first come, first served")
	return fmt.Sprintf("%d of %d targets, %d of %d slots known to be taken; no queue at VMs, %s", targets, len(e.Placement.Candidates), running, slots, order)
}

// printCandidates prints the targets of the service.
func printCandidates(w io.Writer, e *node.RouteExplanation) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\ntarget\tzone\tcost ms\tfirst ms\trunning\tslots\tto read\theld\thome\tslowdown\tfailing\tseen ms\t")
	for _, c := range e.Placement.Candidates {
		if c.Excluded {
			fmt.Fprintf(t, "%s\t%s\t\t\t\t%d\t\t\t\t\t\t\t%s\n", c.Target, c.DataCentre, c.Slots, c.Reason)
			continue
		}
		seen := choose(c.ResponseMS < 0, "never", strconv.FormatInt(c.ResponseMS, 10))
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%s\t%.2f\t%.2f\t%s\t%s\n", c.Target, c.DataCentre, c.CostMS, c.FirstMS, c.Running, c.Slots,
			c.MissingTokens, c.HeldTokens, choose(c.Home, "yes", ""), c.Slowdown, c.FailureRate, seen, choose(c.Chosen, "chosen", c.Reason))
	}
	return t.Flush()
}

// describeWeights returns the services of a route with several ones.
func describeWeights(weights map[string]float64) string {
	if len(weights) < 2 {
		return ""
	}
	var parts []string
	for service, weight := range weights {
		parts = append(parts, fmt.Sprintf("%s %g", service, weight))
	}
	slices.Sort(parts)
	return ", one of " + strings.Join(parts, ", ")
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}
