// Package controller holds the control state of an instance and serializes changes to it.
//
// One goroutine applies changes in the order in which they arrive and publishes
// an immutable [view.View] after each batch. Pollers, the membership protocol and
// the configuration reader submit changes with [Controller.Update]. Request
// handlers read the current view with [Controller.View], which takes no lock.
//
// # Usage
//
//	c := controller.New(view.New(cfg, 0, "kochi-a"))
//	go c.Run(ctx)
//	c.Update(func(v *view.View) *view.View { return v.WithDraining(true) })
package controller

import (
	"context"
	"sync/atomic"

	"github.com/papayaworks/papayaworks/internal/view"
)

// queueSize is the number of changes that can be queued; senders block while the queue is full.
const queueSize = 1024

// Change returns a new view derived from the current one. It runs on the control goroutine and must not block.
type Change func(*view.View) *view.View

// Controller publishes the current view. Its methods may be called from any goroutine, except Run, which is called
// once.
type Controller struct {
	// Initial is the view that the controller started from.
	Initial *view.View
	// OnPublish is called on the control goroutine after a new view has been stored; it may be nil.
	OnPublish func(*view.View)

	view  atomic.Pointer[view.View]
	queue chan queued
}

// queued is a change waiting to be applied. If its sender waits, done is closed once the change is published.
type queued struct {
	change Change
	done   chan struct{}
}

// New returns a controller that starts from a view. Changes may be submitted before Run.
func New(initial *view.View) *Controller {
	c := &Controller{Initial: initial, queue: make(chan queued, queueSize)}
	c.view.Store(initial)
	return c
}

// View returns the current view.
func (c *Controller) View() *view.View { return c.view.Load() }

// Update submits a change without waiting for it to be applied. It blocks only while the queue is full.
func (c *Controller) Update(ch Change) { c.queue <- queued{change: ch} }

// Apply submits a change and waits until it is published or ctx is done. While the queue is full, it blocks like Update,
// regardless of ctx.
func (c *Controller) Apply(ctx context.Context, ch Change) {
	done := make(chan struct{})
	c.queue <- queued{change: ch, done: done}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run applies changes until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.queue:
			c.apply(m)
		}
	}
}

// apply applies a change together with all changes already queued and publishes a single view for them.
func (c *Controller) apply(m queued) {
	v := m.change(c.View())
	waiting := []queued{m}
	for more := true; more; {
		select {
		case m = <-c.queue:
			v = m.change(v)
			waiting = append(waiting, m)
		default:
			more = false
		}
	}
	c.view.Store(v)
	if c.OnPublish != nil {
		c.OnPublish(v)
	}
	for _, w := range waiting {
		if w.done != nil {
			close(w.done)
		}
	}
}
