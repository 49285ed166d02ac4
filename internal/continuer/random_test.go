package continuer

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// maxLag bounds by how much the view of an instance lags in a deployment of the random test.
const maxLag = 10 * time.Second

// deployment is a service whose versions come and go, with instances that end at any time.
type deployment struct {
	*world
	versions  []string
	instances []*Continuer
	seenAt    map[*Continuer]time.Duration
	streams   map[string]begunStream
}

type begunStream struct {
	software string
	at       time.Duration
}

func (d *deployment) startInstance() *Continuer {
	c := d.start(d.versions...)
	d.seenAt[c] = d.now
	return c
}

func (d *deployment) pick(t *rapid.T) *Continuer {
	return rapid.SampledFrom(d.instances).Draw(t, "instance")
}

func (d *deployment) see(c *Continuer) {
	see(c, d.versions...)
	d.seenAt[c] = d.now
}

// settle lets an instance see the versions and mark them.
func (d *deployment) settle(t *rapid.T) {
	d.setDown(false)
	d.marks.failures, d.marks.lostAcks, d.marks.lateOnes = 0, 0, 0
	c := d.pick(t)
	d.see(c)
	require.NoError(t, c.step(context.Background()))
}

func (d *deployment) begin(t *rapid.T) {
	c, software := d.pick(t), rapid.SampledFrom(d.versions).Draw(t, "software")
	if !c.state.Load().history.services[service][software].isInView || !c.IsUsable(service, software) {
		t.Skip("gets no call")
	}
	id := fmt.Sprint("s", len(d.streams))
	d.streams[id] = begunStream{software, d.now}
	c.Begin(id, service, software)
}

func (d *deployment) wait(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "times") {
		d.now += maxLag / 2
		for _, c := range d.instances {
			if d.now-d.seenAt[c] >= maxLag {
				d.see(c)
			}
		}
	}
}

// resolve takes all streams up that callers may still take up.
func (d *deployment) resolve(t *rapid.T) {
	c := d.pick(t)
	for id, s := range d.streams {
		if got := began(t, c, id); got != "unknown" && d.now-s.at < markHorizon-maxLag {
			require.Equal(t, s.software, got, id)
		}
	}
}

// Guards against any order of views, failures and ends of instances in which a stream is resolved to a version that did not begin it.
// Before the versions change again, one instance has seen and marked those from before, since others cannot know of them otherwise.
func TestRandomOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &deployment{
			world: newWorld(), versions: []string{"v1"}, seenAt: map[*Continuer]time.Duration{}, streams: map[string]begunStream{},
		}
		d.instances = []*Continuer{d.startInstance(), d.startInstance(), d.startInstance()}
		number := func(name string) int { return rapid.IntRange(0, 2).Draw(t, name) }
		t.Repeat(map[string]func(*rapid.T){
			"begin":   d.begin,
			"resolve": d.resolve,
			"add": func(t *rapid.T) {
				v := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
				if slices.Contains(d.versions, v) {
					t.Skip("is in service")
				}
				d.settle(t)
				d.versions = append(slices.Clone(d.versions), v)
			},
			"remove": func(t *rapid.T) {
				v := rapid.SampledFrom(d.versions).Draw(t, "version")
				if len(d.versions) == 1 {
					t.Skip("is the only one")
				}
				d.settle(t)
				d.versions = slices.DeleteFunc(slices.Clone(d.versions), func(other string) bool { return other == v })
			},
			"see":   func(t *rapid.T) { d.see(d.pick(t)) },
			"step":  func(t *rapid.T) { _ = d.pick(t).step(context.Background()) },
			"flush": func(t *rapid.T) { _ = d.pick(t).Flush(context.Background()) },
			"kill":  func(*rapid.T) { d.instances[number("instance")] = d.startInstance() },
			"killAll": func(*rapid.T) {
				for i := range d.instances {
					d.instances[i] = d.startInstance()
				}
			},
			"wait": d.wait,
			"fail": func(t *rapid.T) {
				d.marks.failures, d.marks.lostAcks, d.marks.lateOnes = number("failures"), number("lostAcks"), number("lateOnes")
				d.setDown(rapid.Bool().Draw(t, "down"))
			},
			"land": func(*rapid.T) { d.marks.land() },
		})
	})
}
