package view

import (
	"github.com/papayaworks/papayaworks/internal/hasher"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// homesPerSlot is how many targets a conversation can fall back to before it is placed by sampling.
	homesPerSlot = 4
	// homeSlots is the size of the table of one model and data centre, 64 KiB. It is the same for any number of
	// targets, as another number would move the homes of half of the conversations.
	homeSlots = 4096
)

// fleet is what lookup of homes needs of one model; it changes with the configuration only.
// It holds positions in the list of the model's targets, which all views of a configuration share.
type fleet struct {
	places []place
	byName map[string]int
}

// place is the targets of a model in one data centre, with the home targets of each slot of anchors.
type place struct {
	dataCentre string
	region     string
	members    []int32
	slots      [][homesPerSlot]int32
}

func buildFleets(cfg *configurer.Config) map[string]*fleet {
	regions := map[string]string{}
	for _, dc := range cfg.DataCentres {
		regions[dc.Name] = dc.Region
	}
	fleets, ids, count := map[string]*fleet{}, map[string][]string{}, map[string]int32{}
	for _, t := range cfg.Targets {
		for _, m := range t.Models {
			f := fleets[m]
			if f == nil {
				f = &fleet{byName: map[string]int{}}
				fleets[m] = f
			}
			i, ok := f.byName[t.DataCentre]
			if !ok {
				i = len(f.places)
				f.byName[t.DataCentre] = i
				f.places = append(f.places, place{dataCentre: t.DataCentre, region: regions[t.DataCentre]})
			}
			f.places[i].members = append(f.places[i].members, count[m])
			count[m]++
			ids[m] = append(ids[m], t.ID)
		}
	}
	for m, f := range fleets {
		for i := range f.places {
			f.places[i].fill(ids[m])
		}
	}
	return fleets
}

// fill computes the rendezvous order of every slot, so that a lookup costs the same for any number of targets.
func (p *place) fill(ids []string) {
	p.slots = make([][homesPerSlot]int32, homeSlots)
	seeds := make([]uint64, len(p.members))
	for i, m := range p.members {
		seeds[i] = keyer.Weight(keyer.Key{}, ids[m])
	}
	for s := range p.slots {
		var weights [homesPerSlot]uint64
		best := &p.slots[s]
		for i := range best {
			best[i] = -1
		}
		for i, m := range p.members {
			w := hasher.Mix64(seeds[i] ^ uint64(s)*0x9e3779b97f4a7c15)
			for at := range best {
				if best[at] < 0 || w > weights[at] {
					copy(best[at+1:], best[at:homesPerSlot-1])
					copy(weights[at+1:], weights[at:homesPerSlot-1])
					best[at], weights[at] = m, w
					break
				}
			}
		}
	}
}

// homeDataCentres is how many data centres of a region a conversation has homes in, and homesEach how many in each.
const (
	homeDataCentres = 3
	homesEach       = 2
)

// AppendRegionHomes appends the home targets of an anchor in the region, best first, usable or not: two in the home
// data centre, then two in the next ones, which serve if the home data centre is lost. They are the same at every
// instance of the region that has the same configuration.
func (v *View) AppendRegionHomes(to []*Target, model string, anchor keyer.Key) []*Target {
	f := v.fleets[model]
	if f == nil {
		return to
	}
	region := v.regions[v.DataCentre]
	var best [homeDataCentres]int
	var weights [homeDataCentres]uint64
	n := 0
	for i := range f.places {
		if f.places[i].region != region {
			continue
		}
		w, at := keyer.Weight(anchor, f.places[i].dataCentre), n
		for at > 0 && w > weights[at-1] {
			at--
		}
		if at == homeDataCentres {
			continue
		}
		copy(best[at+1:], best[at:homeDataCentres-1])
		copy(weights[at+1:], weights[at:homeDataCentres-1])
		best[at], weights[at] = i, w
		n = min(n+1, homeDataCentres)
	}
	for _, i := range best[:n] {
		to = v.appendHomes(to, model, &f.places[i], anchor, homesEach)
	}
	return to
}

// AppendHomes appends the home targets of an anchor in a data centre, best first, usable or not.
func (v *View) AppendHomes(to []*Target, model, dataCentre string, anchor keyer.Key) []*Target {
	f := v.fleets[model]
	if f == nil {
		return to
	}
	i, ok := f.byName[dataCentre]
	if !ok {
		return to
	}
	return v.appendHomes(to, model, &f.places[i], anchor, homesPerSlot)
}

func (v *View) appendHomes(to []*Target, model string, p *place, anchor keyer.Key, n int) []*Target {
	ts := v.byModel[model]
	for _, m := range p.slots[keyer.Weight(anchor, p.dataCentre)%homeSlots][:n] {
		if m >= 0 {
			to = append(to, ts[m])
		}
	}
	return to
}

// DataCentres returns the number of data centres that serve a model.
func (v *View) DataCentres(model string) int {
	if f := v.fleets[model]; f != nil {
		return len(f.places)
	}
	return 0
}

// Place returns the name of data centre i of a model and the number of its targets.
func (v *View) Place(model string, i int) (dataCentre string, n int) {
	p := &v.fleets[model].places[i]
	return p.dataCentre, len(p.members)
}

// Member returns target j of data centre i of a model.
func (v *View) Member(model string, i, j int) *Target {
	return v.byModel[model][v.fleets[model].places[i].members[j]]
}

// Region returns the region of a data centre.
func (v *View) Region(dataCentre string) string { return v.regions[dataCentre] }
