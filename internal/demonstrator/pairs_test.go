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

// runPairs is a flag, since the pairs take half a minute and most of the CPUs.
var runPairs = flag.Bool("faults.pairs", false, "inject every pair of faults")

// pairFaults holds the faults that are injected in pairs; n is the number of earlier injections of the same fault.
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

// Guards against faults that are tolerated alone but not together or repeated. With every pair of faults, each chat must get
// its complete response, each order must run at most once, and an order reported as not run must not have run.
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

// runPair sends chats and orders. It injects the first fault when the first chunk of a response arrives, and the second one
// after the first response of the first conversation.
func runPair(t *testing.T, s *scenario, first, second string) {
	t.Helper()
	var once sync.Once
	var wg sync.WaitGroup
	errs := make(chan error, 64)
	injected := map[string]int{}
	inject := func(name string) {
		pairFaults[name](s, injected[name])
		injected[name]++
	}
	accounts := []string{"tea-estates", "schools", "cobblers", "volunteers"}
	for i, account := range accounts {
		wg.Go(func() {
			for turn := range 2 {
				err := s.sendMessage(fmt.Sprintf("pair-%d", i), account, 60, "", func() { once.Do(func() { inject(first) }) })
				errs <- err
				if i == 0 && turn == 0 {
					once.Do(func() { inject(first) })
					inject(second)
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

// placeOrder sends an order, with up to three attempts under the same idempotency key, and compares the reported outcome with
// the runs at the services.
func (s *scenario) placeOrder(n uint64) error {
	key := ledger.NewKey(time.Now(), n, 7)
	c := s.client(s.dep.Spec.Accounts[0], "")
	c.MaxAttempts = 3
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
		return fmt.Errorf("order was reported as not run but ran: %w", err)
	}
	return nil
}
