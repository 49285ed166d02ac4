package balancer

import "time"

// Expect records that the target is expected to begin with the prefill of the request after a wait, and how long that takes. From then on
// the part of its prompt that should be computed by a time no longer counts as queued.
func (r *InFlightRequest) Expect(wait, prefill time.Duration, now time.Time) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	if r.started || !r.prefillUntil.IsZero() || prefill <= 0 {
		return
	}
	r.prefillFrom = now.Add(max(0, wait))
	r.prefillUntil = r.prefillFrom.Add(prefill)
	r.entry.expected = append(r.entry.expected, r)
}

// computedTokens returns the number of prompt tokens that count as queued although they should be computed by now; the table's mu is held.
func (e *entry) computedTokens(now time.Time) int {
	sum := 0
	for _, r := range e.expected {
		done := float64(now.Sub(r.prefillFrom)) / float64(r.prefillUntil.Sub(r.prefillFrom))
		sum += int(min(max(done, 0), 1) * float64(r.inFlight.PrefillTokens))
	}
	return sum
}

// ComputedTokens returns the number of prompt tokens of this instance's requests that count as queued at a target in
// [LoadTable.InFlight] although they should be computed by now.
func (t *LoadTable) ComputedTokens(id string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.targets[id]; e != nil {
		return e.computedTokens(now)
	}
	return 0
}
