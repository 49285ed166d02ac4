package router

import "github.com/papayaworks/papayaworks/internal/view"

const (
	// homesTried is how many home targets of an anchor are candidates in the region and in the own data centre.
	homesTried = 2
	// maxProbes bounds the search for a usable target when most are leaving or down.
	maxProbes = 64
)

// option is one candidate with its estimate.
type option struct {
	target *view.Target
	cost   float64 // seconds, with prices
	first  float64 // seconds to the first token
	wait   float64 // seconds in the queues
	plan   plan
}

// collector gathers candidates without duplicates.
type collector struct {
	in      *Input
	options []option
	homes   [8]*view.Target
	rng     uint64
}

// collect gathers the candidates: the last target, the homes, then a sample.
func (p *Planner) collect(c *collector) {
	in := c.in
	if in.LastRun.Target != "" {
		if t, ok := in.View.Target(in.LastRun.Target); ok {
			c.add(t)
		}
	}
	c.addHomes(in.View.AppendRegionPreferred(c.homes[:0], in.Model, in.Anchor))
	c.addHomes(in.View.AppendPreferred(c.homes[:0], in.Model, in.View.DataCentre, in.Anchor))
	p.sample(c)
	if len(c.options) == 0 {
		c.search()
	}
}

// add takes a target unless it is a duplicate or must not get new work.
func (c *collector) add(t *view.Target) {
	if len(c.options) == MaxCandidates || !t.Usable() || !serves(t, c.in.Model) {
		return
	}
	for i := range c.options {
		if c.options[i].target == t {
			return
		}
	}
	c.options = append(c.options, option{target: t})
}

// serves reports whether the target has the model; before its first report that is taken from the configuration.
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

// addHomes takes the first homes that are usable.
func (c *collector) addHomes(homes []*view.Target) {
	n := 0
	for _, t := range homes {
		if t.Usable() && n < homesTried {
			c.add(t)
			n++
		}
	}
}

// sample adds random targets of the own data centre, then of the others.
func (p *Planner) sample(c *collector) {
	v, n := c.in.View, c.in.View.DataCentreCount(c.in.Model)
	own := -1
	for i := range n {
		if name, size := v.DataCentreAt(c.in.Model, i); name == v.DataCentre {
			own = i
			c.sampleFrom(i, size, p.LocalSample)
		}
	}
	others := n
	if own >= 0 {
		others--
	}
	if others == 0 {
		return
	}
	each := max(1, p.RemoteSample/others)
	start, left := c.intN(n), p.RemoteSample
	for k := 0; k < n && left > 0; k++ {
		if i := (start + k) % n; i != own {
			_, size := v.DataCentreAt(c.in.Model, i)
			c.sampleFrom(i, size, min(each, left))
			left -= each
		}
	}
}

// sampleFrom takes k targets of a data centre at equal distances from a random start, so that none is taken twice.
func (c *collector) sampleFrom(place, size, k int) {
	if k <= 0 || size == 0 {
		return
	}
	k = min(k, size)
	start := c.intN(size)
	for i := range k {
		c.add(c.in.View.TargetAt(c.in.Model, place, (start+i*size/k)%size))
	}
}

// search looks for any usable target when none of the usual candidates is.
func (c *collector) search() {
	n := c.in.View.DataCentreCount(c.in.Model)
	probes := 0
	for k := range n {
		_, size := c.in.View.DataCentreAt(c.in.Model, k)
		for j := range size {
			if probes++; probes > maxProbes || len(c.options) >= homesTried {
				return
			}
			c.add(c.in.View.TargetAt(c.in.Model, k, j))
		}
	}
}

// intN returns a random number below n from the decision's own generator (splitmix64).
func (c *collector) intN(n int) int {
	c.rng += 0x9e3779b97f4a7c15
	z := c.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return int((z ^ z>>31) >> 1 % uint64(n))
}
