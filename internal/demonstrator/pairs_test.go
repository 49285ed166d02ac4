package demonstrator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/ledger"
	"github.com/papayaworks/papayaworks/pkg/caller"
)

// runPairs is a flag because the pairs take half a minute and most of the machine.
var runPairs = flag.Bool("faults.pairs", false, "throw every pair of faults")

// pairFaults are the faults that are thrown in pairs; n counts how often the fault was thrown before.
var pairFaults = map[string]func(s *scenario, n int){
	"instanceDies": func(s *scenario, n int) { s.dep.Instances[n].Kill() },
	"engineDies":   func(s *scenario, n int) { s.dep.Engines[n].Kill() },
	"targetLeaves": func(s *scenario, n int) { markTargetLeaving(s.dep, 2+n) },
	"logDown":      func(s *scenario, _ int) { s.dep.Log.SetFaults(emulator.LogFaults{Down: true}) },
	"answersLost":  func(s *scenario, _ int) { s.dep.Log.SetFaults(emulator.LogFaults{DropAppendResponses: true}) },
	"storesDie": func(s *scenario, n int) {
		for i, st := range s.dep.Stores {
			if i%2 == n%2 {
				st.Kill()
			}
		}
	},
	"linksSlow": func(s *scenario, _ int) {
		for _, st := range s.dep.Stores {
			st.SetFaults(emulator.KVStoreFaults{LinkSlowdown: 100})
		}
	},
	"serviceLosesAnswers": func(s *scenario, _ int) {
		for _, sv := range s.dep.Services {
			sv.SetFaults(emulator.ServiceFaults{DropResponses: true})
		}
	},
	"dataCentreCutOff": func(s *scenario, n int) {
		_ = network(s, []string{"cut", s.dep.Spec.DataCentres[n]})
	},
}

// Guards against faults that are survived alone but not together, or not twice: whole answers for every chat, at most
// one run of every order, and only true refusals, while each pair of faults is thrown.
func TestFaultsInPairs(t *testing.T) {
	if !*runPairs {
		t.Skip("starts 45 deployments; run it with -faults.pairs")
	}
	for first := range pairFaults {
		for second := range pairFaults {
			if first > second {
				continue
			}
			t.Run(first+"+"+second, func(t *testing.T) {
				t.Parallel()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				s := &scenario{ctx: ctx, streams: map[string]chan error{}, conversations: map[string][]caller.Message{}}
				require.NoError(t, deploy(s, []string{"trust", "10"}))
				defer s.dep.Close()
				runPair(t, s, first, second)
			})
		}
	}
}

// runPair sends chats and orders; the first fault is thrown when the first piece of an answer arrives, the second
// one after the first thread's first letter was answered.
func runPair(t *testing.T, s *scenario, first, second string) {
	t.Helper()
	var once sync.Once
	var wg sync.WaitGroup
	errs := make(chan error, 64)
	thrown := map[string]int{}
	throw := func(name string) {
		pairFaults[name](s, thrown[name])
		thrown[name]++
	}
	accounts := []string{"tea-estates", "schools", "cobblers", "volunteers"}
	for i, account := range accounts {
		wg.Go(func() {
			for letter := range 2 {
				err := s.sendMessage(fmt.Sprintf("pair-%d", i), account, 60, "", func() { once.Do(func() { throw(first) }) })
				errs <- err
				if i == 0 && letter == 0 {
					once.Do(func() { throw(first) })
					throw(second)
				}
			}
		})
		wg.Go(func() { errs <- s.placeOrder(uint64(i)) })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
	require.NoError(t, invariants(s, nil))
}

// placeOrder sends an order, with its key again while the outcome is unknown, and compares what the caller was told
// with what the services ran.
func (s *scenario) placeOrder(n uint64) error {
	key := ledger.NewKey(time.Now(), n, 7)
	c := s.client(s.dep.Spec.Accounts[0], "")
	c.Attempts = 3
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	_, err := c.Call(ctx, s.dep.Spec.Service, s.dep.Spec.AtMostOnceOperation, key, []byte("pair"))
	runs := runsByKey(s.dep)[key]
	var r *caller.Refusal
	switch {
	case runs > 1:
		return fmt.Errorf("order ran %d times", runs)
	case err == nil && runs != 1:
		return errors.New("order was answered but did not run")
	case errors.As(err, &r) && r.NotRun && runs != 0:
		return fmt.Errorf("order was told not run but ran: %w", err)
	}
	return nil
}
