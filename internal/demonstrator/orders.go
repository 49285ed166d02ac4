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
	// orderInterval is the mean time between orders.
	orderInterval = 50 * time.Millisecond
	// orderTimeout is how long a caller tries one order.
	orderTimeout = 15 * time.Second
	// orderAttempts bounds the tries of one order by one caller.
	orderAttempts = 3
	// cancelAfter is when an impatient caller hangs up and tries again elsewhere.
	cancelAfter = 4 * time.Millisecond
)

// The shares of orders, of ten, whose caller does something else than wait for one answer.
const (
	repeatOfTen     = 2 // sends the order again after the answer
	concurrentOfTen = 1 // sends the order to two instances at once
	cancelOfTen     = 1 // hangs up early and sends the order again
)

// orders sends orders that may not be repeated and keeps what their callers were told.
type orders struct {
	dep  *Deployment
	bal  *balancer
	t    *tally
	rand *rand.Rand
	wg   sync.WaitGroup

	mu     sync.Mutex
	notRun []string
}

// order is one order and what its caller does.
type order struct {
	client    *caller.Client
	key       string
	body      []byte
	behavior  int
	operation [2]string
}

// run sends orders until end and waits for the last answer.
func (o *orders) run(ctx context.Context, end time.Time) {
	pool := caller.NewHTTP()
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		account := o.dep.Spec.Accounts[o.rand.IntN(len(o.dep.Spec.Accounts))]
		or := order{
			client: &caller.Client{Next: o.bal.next, Key: APIKey(account), Attempts: orderAttempts, HTTP: pool},
			key:    ledger.NewKey(time.Now(), o.rand.Uint64(), o.rand.Uint64()), behavior: o.rand.IntN(10),
			body:      fmt.Appendf(nil, `{"parcel":%d,"pickup":"tomorrow"}`, i),
			operation: [2]string{o.dep.Spec.Service, o.dep.Spec.AtMostOnceOperation},
		}
		o.wg.Go(func() { o.submit(ctx, or) })
		pause := time.NewTimer(time.Duration(o.rand.ExpFloat64() * float64(orderInterval)))
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
	o.wg.Wait()
}

// submit places one order and counts its outcome from everything that the callers of its key were told.
func (o *orders) submit(ctx context.Context, or order) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var errs []error
	switch h := or.behavior; {
	case h < repeatOfTen:
		errs = append(errs, or.send(ctx), or.send(ctx))
	case h < repeatOfTen+concurrentOfTen:
		second := make(chan error, 1)
		go func() { second <- or.send(ctx) }()
		errs = append(errs, or.send(ctx), <-second)
	case h < repeatOfTen+concurrentOfTen+cancelOfTen:
		short, hangUp := context.WithTimeout(ctx, cancelAfter)
		errs = append(errs, or.send(short), or.send(ctx))
		hangUp()
	default:
		errs = append(errs, or.send(ctx))
	}
	o.recordOutcome(or.key, errs)
}

func (or *order) send(ctx context.Context) error {
	_, err := or.client.Call(ctx, or.operation[0], or.operation[1], or.key, or.body)
	return err
}

// recordOutcome sorts an order: it was answered if one try was, and "not run" only if every try was told so.
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

// verify compares what callers were told with what the services ran.
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

// runsByKey sums the runs of each key over all services, since a second run may be at another one.
func runsByKey(dep *Deployment) map[string]int {
	out := map[string]int{}
	for _, sv := range dep.Services {
		for key, n := range sv.RunCounts() {
			out[key] += n
		}
	}
	return out
}
