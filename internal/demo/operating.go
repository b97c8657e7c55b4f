package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// lowerRate lowers a customer's rate and checks how many of its requests are
// admitted.
func (s *scenario) lowerRate(ctx context.Context) (string, error) {
	if err := s.patch(ctx, lowerRatePatch); err != nil {
		return "", err
	}
	if err := s.fleet.awaitVersion(ctx, s.version); err != nil {
		return "", err
	}
	c := newCaller(s.fleet.callers(), karatsuKey, "seat-verdict")
	admitted, limited, start := 0, 0, time.Now()
	for i := range 30 {
		r := c.chatAt(ctx, s.fleet.callers()[i%3], "", "short", 1)
		switch {
		case r.status == http.StatusOK:
			admitted++
		case r.status == http.StatusTooManyRequests && r.retryAfter != "" && r.outcome == "not-run":
			limited++
		default:
			return "", fmt.Errorf("want 200, or 429 with Retry-After: %s", r)
		}
	}
	allowed := loweredBurst + loweredRate*time.Since(start).Seconds()
	if float64(admitted) > allowed || limited == 0 {
		return "", fmt.Errorf("%d admitted, %.1f allowed, %d refused", admitted, allowed, limited)
	}
	return fmt.Sprintf("%d admitted (at most %.1f allowed), %d got 429 with Retry-After", admitted, allowed, limited), nil
}

// patch applies a patch to the current configuration version.
func (s *scenario) patch(ctx context.Context, template string) error {
	status, body, err := s.fleet.operator(ctx, s.fleet.vms[0], http.MethodPost, "/patch", fmt.Sprintf(template, s.version))
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("patch: status %d: %s", status, strings.TrimSpace(body))
	}
	s.version++
	return nil
}

func (s *scenario) refuseConflict(ctx context.Context) (string, error) {
	status, body, err := s.fleet.operator(ctx, s.fleet.vms[1], http.MethodPost, "/patch", fmt.Sprintf(conflictPatch, s.version-1))
	if err != nil {
		return "", err
	}
	if status != http.StatusConflict {
		return "", fmt.Errorf("want 409, got %d: %s", status, strings.TrimSpace(body))
	}
	return "409 with the current version, nothing changed", nil
}

// withdrawKey withdraws the trader's second key and waits until every VM refuses it.
func (s *scenario) withdrawKey(ctx context.Context) (string, error) {
	c := newCaller(s.fleet.callers(), withdrawnKey, "condition-verdict")
	if r := c.chatAt(ctx, s.fleet.callers()[0], "", "before", 1); r.status != http.StatusOK {
		return "", fmt.Errorf("key refused before the withdrawal: %s", r)
	}
	start := time.Now()
	if err := s.patch(ctx, withdrawPatch); err != nil {
		return "", err
	}
	for _, vm := range s.fleet.callers() {
		for {
			r := c.chatAt(ctx, vm, "", "after", 1)
			if r.status == http.StatusUnauthorized {
				break
			}
			if time.Since(start) > applyTimeout || ctx.Err() != nil {
				return "", fmt.Errorf("key still accepted after the withdrawal: %s", r)
			}
		}
	}
	return fmt.Sprintf("refused by every VM %s after the patch was sent", time.Since(start).Round(time.Millisecond)), nil
}

// clerkVM returns the VM that the clerks should use first.
func (s *scenario) clerkVM(ctx context.Context) (*node, error) {
	list, err := s.clerk.vms(ctx)
	if err != nil {
		return nil, err
	}
	return s.fleet.vmAt(list[0])
}
