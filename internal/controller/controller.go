// Package controller owns the control state of an instance.
//
// One goroutine applies changes in the order in which they arrive and publishes
// an immutable [view.View] after each batch. Pollers, the membership and the
// configuration reader send changes with [Controller.Update]; traffic reads
// [Controller.View] and never waits.
//
// # Usage
//
//	c := &controller.Controller{Initial: view.New(cfg, 0, "kochi-a")}
//	go c.Run(ctx)
//	c.Update(func(v *view.View) *view.View { return v.WithDraining(true) })
package controller

import (
	"context"
	"sync/atomic"

	"github.com/papayaworks/papayaworks/internal/view"
)

// mailboxSize bounds the changes that wait; a sender blocks when it is full.
const mailboxSize = 1024

// Change makes a new view from the present one; it must not block.
type Change func(*view.View) *view.View

// Controller is the owner of control state.
type Controller struct {
	// Initial is the first view.
	Initial *view.View
	// OnPublish is called on the controller's goroutine after a new view is in place; it may be nil.
	OnPublish func(*view.View)

	view    atomic.Pointer[view.View]
	mailbox chan mail
}

// mail is a change and, if its sender waits, the channel that is closed once the change is published.
type mail struct {
	change Change
	done   chan struct{}
}

// New returns a controller that starts from a view; changes may be sent before Run.
func New(initial *view.View) *Controller {
	c := &Controller{Initial: initial, mailbox: make(chan mail, mailboxSize)}
	c.view.Store(initial)
	return c
}

// View returns the present view.
func (c *Controller) View() *view.View { return c.view.Load() }

// Update sends a change; it returns before the change is applied.
func (c *Controller) Update(ch Change) { c.mailbox <- mail{change: ch} }

// Apply sends a change and waits until it is published or ctx ends.
func (c *Controller) Apply(ctx context.Context, ch Change) {
	done := make(chan struct{})
	c.mailbox <- mail{change: ch, done: done}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Run applies changes until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.mailbox:
			c.apply(m)
		}
	}
}

// apply applies a change and those that already wait, so that one published view covers them all.
func (c *Controller) apply(m mail) {
	v := m.change(c.View())
	waiting := []mail{m}
	for more := true; more; {
		select {
		case m = <-c.mailbox:
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
