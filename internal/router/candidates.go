package router

import "github.com/papayaworks/papayaworks/internal/view"

const (
	// maxPreferred is the number of preferred targets that become candidates in the region, and again in the local data
	// centre. A search for any usable target stops at the same number.
	maxPreferred = 2
	// maxProbes is the maximum number of targets that a search checks when most are leaving or down.
	maxProbes = 64
)

// candidate is a target with its estimates.
type candidate struct {
	target     *view.Target
	cost       float64 // weighted cost in seconds
	ttft       float64 // expected time to first token in seconds
	queueDelay float64 // expected queue delay in seconds
	plan       plan
}

// collector collects candidates without duplicates.
type collector struct {
	in         *Input
	candidates []candidate
	preferred  [8]*view.Target // buffer for lists of preferred targets
	rng        uint64          // state of the random number generator
}

// collect adds the candidates: the target of the last run, the preferred targets, then a sample.
func (p *Planner) collect(c *collector) {
	in := c.in
	if in.LastRun.Target != "" {
		if t, ok := in.View.Target(in.LastRun.Target); ok {
			c.add(t)
		}
	}
	c.addPreferred(in.View.AppendRegionPreferred(c.preferred[:0], in.Model, in.Anchor))
	c.addPreferred(in.View.AppendPreferred(c.preferred[:0], in.Model, in.View.DataCentre, in.Anchor))
	p.sample(c)
	if len(c.candidates) == 0 {
		c.search()
	}
}

// add adds a target as a candidate unless it is a duplicate, not usable, or does not serve the model.
func (c *collector) add(t *view.Target) {
	if len(c.candidates) == MaxCandidates || !t.Usable() || !serves(t, c.in.Model) {
		return
	}
	for i := range c.candidates {
		if c.candidates[i].target == t {
			return
		}
	}
	c.candidates = append(c.candidates, candidate{target: t})
}

// serves reports whether the target serves the model, according to its last report or, before its first one, to the
// configuration.
func serves(t *view.Target, model string) bool {
	if len(t.Versions) > 0 {
		return t.Versions[model] != 0
	}
	for _, m := range t.Models {
		if m == model {
			return true
		}
	}
	return false
}

// addPreferred adds the first usable ones of the given preferred targets.
func (c *collector) addPreferred(targets []*view.Target) {
	n := 0
	for _, t := range targets {
		if t.Usable() && n < maxPreferred {
			c.add(t)
			n++
		}
	}
}

// sample adds random targets of the local data centre, then of the other data centres.
func (p *Planner) sample(c *collector) {
	v, n := c.in.View, c.in.View.DataCentreCount(c.in.Model)
	local := -1
	for i := range n {
		if name, size := v.DataCentreAt(c.in.Model, i); name == v.DataCentre {
			local = i
			c.sampleFrom(i, size, p.LocalSample)
		}
	}
	others := n
	if local >= 0 {
		others--
	}
	if others == 0 {
		return
	}
	perDataCentre := max(1, p.RemoteSample/others)
	start, remaining := c.intN(n), p.RemoteSample
	for k := 0; k < n && remaining > 0; k++ {
		if i := (start + k) % n; i != local {
			_, size := v.DataCentreAt(c.in.Model, i)
			c.sampleFrom(i, size, min(perDataCentre, remaining))
			remaining -= perDataCentre
		}
	}
}

// sampleFrom adds k targets of a data centre, evenly spaced from a random start, so that it picks no target twice.
func (c *collector) sampleFrom(dataCentre, size, k int) {
	if k <= 0 || size == 0 {
		return
	}
	k = min(k, size)
	start := c.intN(size)
	for i := range k {
		c.add(c.in.View.TargetAt(c.in.Model, dataCentre, (start+i*size/k)%size))
	}
}

// search adds the first usable targets that it finds. It is the fallback if there is no other candidate.
func (c *collector) search() {
	n := c.in.View.DataCentreCount(c.in.Model)
	probes := 0
	for k := range n {
		_, size := c.in.View.DataCentreAt(c.in.Model, k)
		for j := range size {
			if probes++; probes > maxProbes || len(c.candidates) >= maxPreferred {
				return
			}
			c.add(c.in.View.TargetAt(c.in.Model, k, j))
		}
	}
}

// intN returns a random number in [0, n) from the decision's own generator (splitmix64).
func (c *collector) intN(n int) int {
	c.rng += 0x9e3779b97f4a7c15
	z := c.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) >> 1 % uint64(n))
}
