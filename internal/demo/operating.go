package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// lowerRate lowers the rate of a small customer and counts its requests that
// are admitted at once.
func (s *show) lowerRate(ctx context.Context) (string, error) {
	if err := s.patch(ctx, lowerRatePatch); err != nil {
		return "", err
	}
	if err := s.fleet.awaitVersion(ctx, s.version); err != nil {
		return "", err
	}
	c := newCaller(s.fleet.callers(), smallKey, "seat-verdict")
	admitted, limited, start := 0, 0, time.Now()
	for i := range 30 {
		a := c.chatAt(ctx, s.fleet.callers()[i%3], "", "short", 1)
		switch {
		case a.status == http.StatusOK:
			admitted++
		case a.status == http.StatusTooManyRequests && a.retryAfter != "" && a.outcome == "not-run":
			limited++
		default:
			return "", fmt.Errorf("want 200, or 429 with Retry-After: %s", a)
		}
	}
	allowed := lowBurst + lowRate*time.Since(start).Seconds()
	if float64(admitted) > allowed || limited == 0 {
		return "", fmt.Errorf("%d admitted, %.1f allowed, %d refused", admitted, allowed, limited)
	}
	return fmt.Sprintf("%d admitted (at most %.1f allowed), %d got 429 with Retry-After", admitted, allowed, limited), nil
}

// patch sends a patch against the current version to a VM.
func (s *show) patch(ctx context.Context, template string) error {
	status, body, err := s.fleet.operator(ctx, s.fleet.vms[0], http.MethodPost, "/patch", fmt.Sprintf(template, s.version))
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("patch answered %d: %s", status, strings.TrimSpace(body))
	}
	s.version++
	return nil
}

func (s *show) conflict(ctx context.Context) (string, error) {
	status, body, err := s.fleet.operator(ctx, s.fleet.vms[1], http.MethodPost, "/patch", fmt.Sprintf(conflictPatch, s.version-1))
	if err != nil {
		return "", err
	}
	if status != http.StatusConflict {
		return "", fmt.Errorf("want 409, got %d: %s", status, strings.TrimSpace(body))
	}
	return "409 with the current version, nothing changed", nil
}

// withdrawKey withdraws the trader's second key and waits until no VM takes it.
func (s *show) withdrawKey(ctx context.Context) (string, error) {
	c := newCaller(s.fleet.callers(), withdrawnKey, "condition-verdict")
	if a := c.chatAt(ctx, s.fleet.callers()[0], "", "before", 1); a.status != http.StatusOK {
		return "", fmt.Errorf("before the withdrawal: %s", a)
	}
	start := time.Now()
	if err := s.patch(ctx, withdrawPatch); err != nil {
		return "", err
	}
	for _, vm := range s.fleet.callers() {
		for {
			a := c.chatAt(ctx, vm, "", "after", 1)
			if a.status == http.StatusUnauthorized {
				break
			}
			if time.Since(start) > forceLimit || ctx.Err() != nil {
				return "", fmt.Errorf("still taken: %s", a)
			}
		}
	}
	return fmt.Sprintf("refused by every VM %s after the patch was sent", time.Since(start).Round(time.Millisecond)), nil
}

// home returns the VM that the clerks are to use.
func (s *show) home(ctx context.Context) (*node, error) {
	list, err := s.clerk.vms(ctx)
	if err != nil {
		return nil, err
	}
	return s.fleet.at(list[0])
}
