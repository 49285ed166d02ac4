package demonstrator

import (
	"context"
	"fmt"
	"time"

	"github.com/papayaworks/papayaworks/internal/emulator"
)

// Times of the faults and the progress lines of a demo run, as fractions of its duration.
const (
	killInstanceAt   = 0.25
	leaveTargetAt    = 0.45
	logOutageAt      = 0.60
	logOutageLength  = 0.10
	progressInterval = 0.10
)

// scheduledFault is one fault, or its end, in the schedule of a demo run.
type scheduledFault struct {
	at   float64
	text string
	do   func()
}

// scheduledFaults returns the schedule of a run in chronological order.
func (d *Demo) scheduledFaults(ctx context.Context, dep *Deployment, bal *balancer) []scheduledFault {
	return []scheduledFault{
		{killInstanceAt, "entry instance 1 dies and is replaced", func() { d.replaceInstance(ctx, dep, bal) }},
		{leaveTargetAt, "target 2 is leaving", func() { markTargetLeaving(dep, 1) }},
		{logOutageAt, "the platform's log is unreachable", func() { dep.Log.SetFaults(emulator.LogFaults{Down: true}) }},
		{logOutageAt + logOutageLength, "the platform's log is reachable again", func() { dep.Log.SetFaults(emulator.LogFaults{}) }},
	}
}

// injectFaults runs the schedule. It returns after the last fault or when ctx ends.
func (d *Demo) injectFaults(ctx context.Context, dep *Deployment, bal *balancer) {
	started := time.Now()
	for _, f := range d.scheduledFaults(ctx, dep, bal) {
		due := time.NewTimer(time.Until(started.Add(time.Duration(f.at * float64(d.Duration)))))
		select {
		case <-due.C:
		case <-ctx.Done():
			due.Stop()
			return
		}
		d.printLine("%s", f.text)
		f.do()
	}
}

// replaceInstance kills the first instance and starts a replacement for it.
func (d *Demo) replaceInstance(ctx context.Context, dep *Deployment, bal *balancer) {
	old := dep.Instances[0]
	old.Kill()
	in, err := dep.StartInstance(ctx, 0, d.Log)
	if err != nil {
		d.printLine("start replacement instance: %v", err)
		return
	}
	bal.replace(old.Server.Addr(), in.Server.Addr())
}

// markTargetLeaving marks a target as leaving, so that it finishes its runs and accepts no new ones.
func markTargetLeaving(dep *Deployment, i int) {
	e := dep.Engines[i]
	e.SetLeaving(true)
	dep.InstanceList.Set(emulator.ListEntry{ID: e.ID, Kind: "target", Address: e.Addr, DataCentre: dep.dataCentre(i), Leaving: true})
}

// progress prints the current counts at intervals until ctx ends.
func (d *Demo) progress(ctx context.Context, t *tally) {
	tick := time.NewTicker(max(time.Second, time.Duration(progressInterval*float64(d.Duration))))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		t.mu.Lock()
		s := t.sum
		t.mu.Unlock()
		d.printLine("%d requests, %d answered, %d refused as not run", s.Requests, s.Answered, s.RefusedNotRun)
	}
}

// printLine prints one line that begins with the time since the start. It is safe for concurrent use.
func (d *Demo) printLine(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, _ = fmt.Fprintf(d.Out, "%5.1fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}
