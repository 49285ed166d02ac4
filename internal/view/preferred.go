package view

import (
	"github.com/papayaworks/papayaworks/internal/hasher"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// preferredPerSlot is the number of preferred targets that a slot lists, in rendezvous order.
	preferredPerSlot = 4
	// anchorSlots is the number of slots that anchors hash to; the table of one model and data centre takes 64 KiB.
	// It does not depend on the number of targets: a different size would change the preferred targets of half of the
	// conversations.
	anchorSlots = 4096
)

// modelIndex groups the targets of one model by data centre and is rebuilt only when the configuration changes.
// It stores indexes into the model's target list, so all views of a configuration share it.
type modelIndex struct {
	pools  []pool
	byName map[string]int // index in pools by data centre
}

// pool holds the targets of a model in one data centre and the preferred targets of each anchor slot. If
// there are fewer than preferredPerSlot targets, the last entries of a slot are -1.
type pool struct {
	dataCentre string
	region     string
	members    []int32
	slots      [][preferredPerSlot]int32
}

func buildModelIndexes(cfg *configurer.Config) map[string]*modelIndex {
	regions := map[string]string{}
	for _, dc := range cfg.DataCentres {
		regions[dc.Name] = dc.Region
	}
	indexes, ids, count := map[string]*modelIndex{}, map[string][]string{}, map[string]int32{}
	for _, t := range cfg.Targets {
		for _, m := range t.Models {
			idx := indexes[m]
			if idx == nil {
				idx = &modelIndex{byName: map[string]int{}}
				indexes[m] = idx
			}
			i, ok := idx.byName[t.DataCentre]
			if !ok {
				i = len(idx.pools)
				idx.byName[t.DataCentre] = i
				idx.pools = append(idx.pools, pool{dataCentre: t.DataCentre, region: regions[t.DataCentre]})
			}
			idx.pools[i].members = append(idx.pools[i].members, count[m])
			count[m]++
			ids[m] = append(ids[m], t.ID)
		}
	}
	for m, idx := range indexes {
		for i := range idx.pools {
			idx.pools[i].fill(ids[m])
		}
	}
	return indexes
}

// fill precomputes the rendezvous order of every slot, so that the cost of a lookup does not depend on the number of targets.
func (p *pool) fill(ids []string) {
	p.slots = make([][preferredPerSlot]int32, anchorSlots)
	seeds := make([]uint64, len(p.members))
	for i, m := range p.members {
		seeds[i] = keyer.Weight(keyer.Key{}, ids[m])
	}
	for s := range p.slots {
		var weights [preferredPerSlot]uint64
		best := &p.slots[s]
		for i := range best {
			best[i] = -1
		}
		for i, m := range p.members {
			w := hasher.Mix64(seeds[i] ^ uint64(s)*0x9e3779b97f4a7c15)
			for at := range best {
				if best[at] < 0 || w > weights[at] {
					copy(best[at+1:], best[at:preferredPerSlot-1])
					copy(weights[at+1:], weights[at:preferredPerSlot-1])
					best[at], weights[at] = m, w
					break
				}
			}
		}
	}
}

// A conversation has preferred targets in preferredDataCentres data centres of a region, preferredPerDataCentre in each.
const (
	preferredDataCentres   = 3
	preferredPerDataCentre = 2
)

// AppendRegionPreferred appends the preferred targets of an anchor in the view's region, best first and regardless of
// whether they are usable: two in the first data centre by rendezvous hash, then two in each of the next ones, which
// take over if the first data centre fails. All instances of a region with the same configuration get the same result.
func (v *View) AppendRegionPreferred(to []*Target, model string, anchor keyer.Key) []*Target {
	idx := v.modelIndexes[model]
	if idx == nil {
		return to
	}
	region := v.regions[v.DataCentre]
	var best [preferredDataCentres]int
	var weights [preferredDataCentres]uint64
	n := 0
	for i := range idx.pools {
		if idx.pools[i].region != region {
			continue
		}
		w, at := keyer.Weight(anchor, idx.pools[i].dataCentre), n
		for at > 0 && w > weights[at-1] {
			at--
		}
		if at == preferredDataCentres {
			continue
		}
		copy(best[at+1:], best[at:preferredDataCentres-1])
		copy(weights[at+1:], weights[at:preferredDataCentres-1])
		best[at], weights[at] = i, w
		n = min(n+1, preferredDataCentres)
	}
	for _, i := range best[:n] {
		to = v.appendPreferred(to, model, &idx.pools[i], anchor, preferredPerDataCentre)
	}
	return to
}

// AppendPreferred appends the preferred targets of an anchor in a data centre, best first and regardless of whether they
// are usable.
func (v *View) AppendPreferred(to []*Target, model, dataCentre string, anchor keyer.Key) []*Target {
	idx := v.modelIndexes[model]
	if idx == nil {
		return to
	}
	i, ok := idx.byName[dataCentre]
	if !ok {
		return to
	}
	return v.appendPreferred(to, model, &idx.pools[i], anchor, preferredPerSlot)
}

func (v *View) appendPreferred(to []*Target, model string, p *pool, anchor keyer.Key, n int) []*Target {
	ts := v.byModel[model]
	for _, m := range p.slots[keyer.Weight(anchor, p.dataCentre)%anchorSlots][:n] {
		if m >= 0 {
			to = append(to, ts[m])
		}
	}
	return to
}

// DataCentreCount returns the number of data centres with targets that serve a model.
func (v *View) DataCentreCount(model string) int {
	if idx := v.modelIndexes[model]; idx != nil {
		return len(idx.pools)
	}
	return 0
}

// DataCentreAt returns the name of the data centre with index i for a model, and the number of its targets.
func (v *View) DataCentreAt(model string, i int) (dataCentre string, n int) {
	p := &v.modelIndexes[model].pools[i]
	return p.dataCentre, len(p.members)
}

// TargetAt returns the target with index j in the data centre with index i for a model.
func (v *View) TargetAt(model string, i, j int) *Target {
	return v.byModel[model][v.modelIndexes[model].pools[i].members[j]]
}

// Region returns the region of a data centre.
func (v *View) Region(dataCentre string) string { return v.regions[dataCentre] }
