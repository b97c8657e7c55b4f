package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/baobabdyke/baobabdyke/config"
)

// A check is the result of one rule for a setting.
type check struct {
	ok        bool
	field     string
	reason    string
	permitted string
}

// validate returns all problems of the settings as a *config.Problems.
func (s Settings) validate(file string, lines config.Lines) error {
	r := &config.Report{File: file, Lines: lines}
	for _, c := range s.checks() {
		if !c.ok {
			r.Add(c.field, c.permitted, "%s", c.reason)
		}
	}
	return r.Err()
}

func (s Settings) checks() []check {
	return append(s.commonChecks(), s.modeChecks()...)
}

// modeChecks returns the checks of a gateway's settings if the VM is a gateway, and
// of the credential files otherwise.
func (s Settings) modeChecks() []check {
	g := s.Gateway
	if g == nil {
		return []check{
			required("operators.token", s.Operators.TokenFile),
			required("peers.secret", s.Peers.SecretFile),
		}
	}
	return []check{
		address("gateway.ready", g.ReadyAddress),
		address("gateway.directory", g.DirectoryAddress),
		distinct("gateway.ready", g.ReadyAddress, s.Callers.Address),
		{g.MemoryMB >= 0, "gateway.memory", "is negative", "MB, 0 for no bound"},
		{g.AnswersMB >= 0, "gateway.answers", "is negative", "MB, 0 for a sixteenth of gateway.memory"},
		{g.MemoryMB == 0 || g.AnswersMB <= g.MemoryMB/4, "gateway.answers", "is more than a quarter of gateway.memory", "MB, a quarter of gateway.memory at most"},
		{g.RequestsMB >= 0, "gateway.requests", "is negative", "MB, 0 for three eighths of gateway.memory"},
		{g.MemoryMB == 0 || g.RequestsMB <= g.MemoryMB/2, "gateway.requests", "is more than half of gateway.memory", "MB, half of gateway.memory at most"},
		{g.Connections >= 0, "gateway.connections", "is negative", "a number, 0 for seven tenths of the descriptors"},
		positive("gateway.bounds.grace", int64(g.Bounds.Grace)),
		positive("gateway.bounds.ttl", int64(g.Bounds.TTL)),
		positive("gateway.bounds.quiet", int64(g.Bounds.Quiet)),
		positive("gateway.bounds.weights", int64(g.Bounds.Weights)),
		positive("gateway.bounds.revoke", int64(g.Bounds.Revoke)),
		positive("gateway.bounds.config", int64(g.Bounds.Config)),
		positive("gateway.bounds.drain", int64(g.Bounds.Drain)),
		positive("gateway.bounds.retries.window", int64(g.Bounds.Retries.Window)),
		{g.Bounds.Retries.Ratio >= 0 && g.Bounds.Retries.Slack >= 0, "gateway.bounds.retries", "is negative", "numbers above zero"},
		fraction("gateway.bounds.canary.share", g.Bounds.Canary.Share, 0),
		{g.Bounds.Canary.Slack >= 0, "gateway.bounds.canary.slack", "is negative", "a number of requests"},
		positive("gateway.bounds.canary.rollback", int64(g.Bounds.Canary.Rollback)),
		{!slices.ContainsFunc(g.Hedge.Routes, isBlank), "gateway.hedge.routes", "has a name without text", "names of routes"},
		fraction("gateway.hedge.requests", g.Hedge.Requests, 0),
		fraction("gateway.hedge.tokens", g.Hedge.Tokens, 0),
		{(g.Hedge.Requests == 0) == (g.Hedge.Tokens == 0), "gateway.hedge", "has a limit of requests without one of tokens, or the other way round", "both or neither"},
		fraction("gateway.hedge.quantile", g.Hedge.Quantile, 0.5),
	}
}

func (s Settings) commonChecks() []check {
	return []check{
		required("vm", s.VM),
		required("region", s.Region),
		required("datacentre", s.DataCentre),
		address("callers.address", s.Callers.Address),
		address("operators.address", s.Operators.Address),
		address("peers.address", s.Peers.Address),
		address("platform.address", s.Platform.Address),
		distinct("operators.address", s.Operators.Address, s.Callers.Address),
		distinct("peers.address", s.Peers.Address, s.Callers.Address),
		pair("callers.tls", s.Callers.TLS),
		pair("operators.tls", s.Operators.TLS),
		pair("peers.tls", s.Peers.TLS),
		positive("callers.body", s.Callers.MaxBodyBytes),
		positive("callers.header", int64(s.Callers.MaxHeaderBytes)),
		positive("callers.timeout", int64(s.Callers.BodyTimeout)),
		positive("entry.ttl", int64(s.Entry.TTL)),
		positive("entry.lag", int64(s.Entry.Lag)),
		{s.Limits.Shards >= 0 && s.Limits.Slots >= 0, "limits", "is negative", "numbers above zero, or none for the defaults"},
		{(s.Limits.Shards == 0) == (s.Limits.Slots == 0), "limits", "has shards without slots, or the other way round", "both or neither"},
		{s.Platform.CallsPerSecond >= 0, "platform.calls", "is negative", "calls a second, 0 for the default"},
	}
}

// isBlank reports whether a text is empty but for white space.
func isBlank(text string) bool { return strings.TrimSpace(text) == "" }

func required(field, value string) check {
	return check{value != "", field, "is missing", "a text that is not empty"}
}

func address(field, value string) check {
	return check{isAddress(value), field, fmt.Sprintf("%q is no address", value), "IP:port, such as 10.0.0.7:8080"}
}

func distinct(field, value, other string) check {
	same := value == other && value != "" && value != "127.0.0.1:0"
	return check{!same, field, "is the same port as callers.address", "a port of its own"}
}

func pair(field string, t TLS) check {
	both := (t.CertificateFile == "") == (t.KeyFile == "")
	return check{both, field, "has a certificate without its key, or the other way round", "both files or neither"}
}

func fraction(field string, value, low float64) check {
	return check{value >= low && value <= 1, field, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("a number from %v to 1", low)}
}

func positive(field string, value int64) check {
	return check{value > 0, field, "is not above zero", "a value above zero"}
}
