package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/ledger"
	"github.com/papayaworks/papayaworks/pkg/caller"
)

const (
	// orderInterval is the mean time between the starts of orders.
	orderInterval = 50 * time.Millisecond
	// orderTimeout bounds all requests of one order.
	orderTimeout = 15 * time.Second
	// orderAttempts is the maximum number of attempts of one request.
	orderAttempts = 3
	// cancelAfter is the time after which a caller that cancels its request disconnects; it then sends the order again.
	cancelAfter = 4 * time.Millisecond
)

// The shares, in tenths, of orders that are sent more than once.
const (
	repeatOfTen     = 2 // sent again after the response
	concurrentOfTen = 1 // sent to two instances concurrently
	cancelOfTen     = 1 // cancelled and sent again
)

// orders sends orders, which are requests for an operation that must run at most once, and records their outcomes.
type orders struct {
	dep  *Deployment
	bal  *balancer
	t    *tally
	rand *rand.Rand
	wg   sync.WaitGroup

	mu     sync.Mutex
	notRun []string
}

// order is one order and the behavior of its caller.
type order struct {
	client    *caller.Client
	key       string
	body      []byte
	behavior  int       // 0 to 9; selects how often and when the order is sent
	operation [2]string // service and operation
}

// run sends orders until end and waits for all of them to complete.
func (o *orders) run(ctx context.Context, end time.Time) {
	pool := caller.NewHTTPClient()
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		account := o.dep.Spec.Accounts[o.rand.IntN(len(o.dep.Spec.Accounts))]
		ord := order{
			client: &caller.Client{NextAddress: o.bal.next, Key: APIKey(account), MaxAttempts: orderAttempts, HTTP: pool},
			key:    ledger.NewKey(time.Now(), o.rand.Uint64(), o.rand.Uint64()), behavior: o.rand.IntN(10),
			body:      fmt.Appendf(nil, `{"parcel":%d,"pickup":"tomorrow"}`, i),
			operation: [2]string{o.dep.Spec.Service, o.dep.Spec.AtMostOnceOperation},
		}
		o.wg.Go(func() { o.submit(ctx, ord) })
		next := time.NewTimer(time.Duration(o.rand.ExpFloat64() * float64(orderInterval)))
		select {
		case <-next.C:
		case <-ctx.Done():
		}
	}
	o.wg.Wait()
}

// submit sends one order, possibly several times, and counts its outcome from the results of all its requests.
func (o *orders) submit(ctx context.Context, ord order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var errs []error
	switch b := ord.behavior; {
	case b < repeatOfTen:
		errs = append(errs, ord.send(ctx), ord.send(ctx))
	case b < repeatOfTen+concurrentOfTen:
		second := make(chan error, 1)
		go func() { second <- ord.send(ctx) }()
		errs = append(errs, ord.send(ctx), <-second)
	case b < repeatOfTen+concurrentOfTen+cancelOfTen:
		short, cancelShort := context.WithTimeout(ctx, cancelAfter)
		errs = append(errs, ord.send(short), ord.send(ctx))
		cancelShort()
	default:
		errs = append(errs, ord.send(ctx))
	}
	o.recordOutcome(ord.key, errs)
}

func (ord *order) send(ctx context.Context) error {
	_, err := ord.client.Call(ctx, ord.operation[0], ord.operation[1], ord.key, ord.body)
	return err
}

// recordOutcome counts an order as answered if any of its requests was, and as not run only if all of them were reported so.
func (o *orders) recordOutcome(key string, errs []error) {
	answered, notRun := false, true
	for _, err := range errs {
		var r *caller.Refusal
		answered = answered || err == nil
		notRun = notRun && errors.As(err, &r) && r.NotRun
	}
	o.t.mu.Lock()
	defer o.t.mu.Unlock()
	o.t.sum.Requests++
	o.t.sum.Orders++
	switch {
	case answered:
		o.t.sum.Answered++
	case notRun:
		o.t.sum.RefusedNotRun++
		o.mu.Lock()
		o.notRun = append(o.notRun, key)
		o.mu.Unlock()
	default:
		o.t.sum.UnknownOutcome++
	}
}

// verify compares the outcomes that were reported to callers with the runs at the services.
func (o *orders) verify(s *Summary) {
	runs := runsByKey(o.dep)
	for _, n := range runs {
		s.DuplicateRuns += n - 1
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, key := range o.notRun {
		if runs[key] > 0 {
			s.FalseNotRun++
		}
	}
}

// runsByKey returns the number of runs of each idempotency key, summed over all services, since a duplicate may have run at
// another service.
func runsByKey(dep *Deployment) map[string]int {
	out := map[string]int{}
	for _, sv := range dep.Services {
		for key, n := range sv.RunCounts() {
			out[key] += n
		}
	}
	return out
}
