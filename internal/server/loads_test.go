package server

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/papayaworks/papayaworks/internal/controller"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// Guards against targets that no instance polls, or that hundreds of instances poll.
func TestEachTargetHasTwoPollers(t *testing.T) {
	cfg := &configurer.Config{}
	for i := range 70 {
		cfg.Targets = append(cfg.Targets, configurer.Target{ID: fmt.Sprintf("letters-%d", i), DataCentre: fmt.Sprintf("kochi-%d", i%12)})
	}
	var ms []view.Member
	dataCentres := map[string]string{}
	for i := range 420 {
		state := "alive"
		if i%10 == 0 {
			state = "dead"
		}
		ms = append(ms, view.Member{ID: fmt.Sprintf("i-%d", i), DataCentre: fmt.Sprintf("kochi-%d", i%12), State: state})
		dataCentres[ms[i].ID] = ms[i].DataCentre
	}
	v := view.New(cfg, 1, "kochi-0").WithMembers(ms)
	used := map[string]bool{}
	for _, target := range cfg.Targets {
		ids := pollersOf(liveMemberIDs(v, target.DataCentre), target.ID)
		require.Len(t, ids, pollersPerTarget)
		for _, id := range liveMemberIDs(v, "") {
			m := &membership{s: &Server{Settings: &configurer.Settings{Instance: configurer.Instance{ID: id, DataCentre: dataCentres[id]}}}}
			r := m.roster(v)
			require.Equal(t, slices.Contains(ids, id), r.polls(target.ID, target.DataCentre))
			require.Equal(t, id == ids[0], r.broadcasts(target.ID, target.DataCentre))
		}
		for _, id := range ids {
			require.Contains(t, liveMemberIDs(v, target.DataCentre), id)
			used[id] = true
		}
	}
	require.Greater(t, len(used), len(cfg.Targets), "polls must be spread over the instances")
}

// Guards against load reports that the encoding changes, or that exceed their share of the traffic.
func TestLoadReportSurvivesEncoding(t *testing.T) {
	in := view.Status{Load: dialer.Load{AtMs: 1_800_000_000_000, Draining: true}, Versions: map[string]int64{"letters": 3}, Leaving: true}
	body, err := encodeLoad(in)
	require.NoError(t, err)
	require.Less(t, len(body), 64)
	out := new(sharedLoad)
	require.NoError(t, msgpack.Unmarshal(body, out))
	require.Equal(t, sharedLoad{Load: in.Load, Versions: in.Versions, Leaving: true}, *out)
}

// Guards against a lease that no instance requests, or that hundreds of instances request.
func TestLeaseHasSomeCandidates(t *testing.T) {
	for members, want := range map[int]int{7: 7, 24: 24, 25: leaseCandidates, 420: leaseCandidates} {
		v, n := manyMembers(view.New(sizedConfig(1, 1), 1, "dc-00"), members), 0
		for _, id := range liveMemberIDs(v, "") {
			s := &Server{Settings: &configurer.Settings{Instance: configurer.Instance{ID: id}}, control: controller.New(v)}
			if s.isLeaseCandidate("targets") {
				n++
			}
		}
		require.Equal(t, want, n, "%d members", members)
	}
	single := &Server{Settings: &configurer.Settings{}, control: controller.New(view.New(sizedConfig(1, 1), 1, "dc-00"))}
	require.True(t, single.isLeaseCandidate("targets"), "an instance without peers")
}
