package dispatcher

import (
	"context"
	"errors"
	"iter"
	"net/http"
	"time"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/charter"
	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/request"
	"github.com/papayaworks/papayaworks/internal/retrier"
	"github.com/papayaworks/papayaworks/internal/server/identifier"
	"github.com/papayaworks/papayaworks/internal/sleeper"
	"github.com/papayaworks/papayaworks/internal/streamer"
	"github.com/papayaworks/papayaworks/internal/view"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

const (
	// maxReconnects bounds how often one stream is opened again without progress.
	maxReconnects = 5
	// maxReruns bounds how often one answer is run again at another target.
	maxReruns = 3
	// cancelTimeout bounds the tries to cancel a run, cancelTries their number, cancelPause is the time between them.
	cancelTimeout  = 5 * time.Second
	cancelAttempts = 10
	cancelInterval = 100 * time.Millisecond
	// finishCancelled is the end of a run that was cancelled; its answer is not whole.
	finishCancelled = "cancelled"
)

// errCancelled: the engine gave the run up, or its answer is shorter than what the caller has.
var errCancelled = errors.New("the engine did not finish the run")

// stream reads a run's pieces in order, opens the stream again when it breaks, and has the answer run again at another
// target if the engine is gone. It is used by one goroutine and follows the chart stream.toml.
type stream struct {
	step *Step
	r    *request.Request
	// in is nil while a stream is only continued; a run that is moved gets one.
	in      *dialer.RunRequest
	machine charter.Machine

	body       *dialer.RunStream
	next       func() (dialer.Event, error, bool)
	stop       func()
	assembler  *streamer.Assembler
	start      *dialer.RunStart
	end        *dialer.RunEnd
	reconnects int
	reruns     int
	// nextOffset is the offset of the next piece for the caller.
	nextOffset int
}

func (s *Step) newStream(r *request.Request) *stream {
	st := &stream{step: s, r: r, machine: charter.MustLoad("stream").Start(), nextOffset: r.ResumeFrom}
	st.assembler = streamer.NewAssembler(r.ResumeFrom, streamer.DefaultWindow)
	return st
}

// transition feeds the chart; an event that it does not allow is a fault of the program.
func (s *stream) transition(ev charter.Event) {
	m, err := s.machine.Next(ev)
	if err != nil {
		s.step.Asserter.Check(asserter.WholeAnswer, false, "stream of run %s: %v", s.r.RunID, err)
		return
	}
	s.machine = m
}

// open starts the run at the best target that takes it. The deadline counts from the given time.
func (s *stream) open(ctx context.Context, ts []*view.Target, from time.Time, moved bool) error {
	deadline := from.Add(configurer.Milliseconds(s.r.Account.DeadlineMs))
	tried := 0
	return s.step.tryTargets(ctx, ts, deadline, moved, func(ctx context.Context, t *view.Target) (retrier.Outcome, error) {
		if tried++; tried > 1 {
			s.transition("moved")
		}
		s.prepare(t, deadline)
		body, err := s.step.Client.Run(ctx, t.Address, s.in, s.nextOffset)
		if s.step.TargetObserver != nil && dialer.Draining(err) {
			s.step.TargetObserver.OnLeavingRefusal(t.ID)
		}
		if err != nil {
			return outcome(err), err
		}
		s.onOpened(body)
		return retrier.Done, nil
	})
}

// prepare prepares the request for a target.
func (s *stream) prepare(t *view.Target, deadline time.Time) {
	if t != s.r.Target {
		// The first target was counted by the selector.
		t.Dispatches.Record(s.step.Now(), keyer.Tokens(len(s.r.Prompt)))
		if s.step.TargetObserver != nil {
			s.step.TargetObserver.OnDispatch(t.ID)
		}
	}
	s.step.Asserter.Check(asserter.NoWorkWhenLeaving, !t.Target.Leaving && !t.Status.Leaving, "run %s sent to leaving target %s", s.r.RunID, t.ID)
	s.r.Target = t
	if v := t.Version(s.r.Chat.Model); v != 0 && v != s.r.Scope.Version && s.nextOffset == 0 {
		// Blocks of another weight version must not be used.
		s.r.Import = nil
		identifier.SetScope(s.r, v)
	}
	checkImport(s.step.Asserter, s.r)
	s.in = runRequest(s.r)
	s.in.DeadlineMs = int(max(1, deadline.Sub(s.step.Now()).Milliseconds()))
}

// attach continues an existing run at its target.
func (s *stream) attach(ctx context.Context) error {
	body, err := s.step.Client.Resume(ctx, s.r.Target.Address, s.r.RunID, s.nextOffset)
	if ctx.Err() == nil {
		s.step.RetryState.recordResult(s.r.Target.ID, isHealthy(err), s.step.Now())
	}
	if err != nil {
		return err
	}
	s.onOpened(body)
	return nil
}

func (s *stream) onOpened(body *dialer.RunStream) {
	s.transition("opened")
	s.body = body
	s.assembler = streamer.NewAssembler(s.nextOffset, streamer.DefaultWindow)
	s.next, s.stop = iter.Pull2(body.Events())
}

// recover opens the stream again after it broke: at the same target while that makes progress, else at another one.
func (s *stream) recover(ctx context.Context, cause error) error {
	s.closeBody()
	s.transition("broken")
	for s.reconnects < maxReconnects && !errors.Is(cause, errCancelled) {
		s.reconnects++
		if s.reconnects > 1 && !sleeper.Sleep(ctx, retrier.Backoff(s.reconnects, uint64(s.nextOffset))) {
			return ctx.Err()
		}
		err := s.attach(ctx)
		if err == nil {
			return nil
		}
		cause = errors.Join(cause, err)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if outcome(err) == retrier.NotRun {
			break // The engine or its run is gone.
		}
	}
	return s.rerunElsewhere(ctx, cause)
}

// rerunElsewhere runs the answer again at another target, from the offset that the caller has.
func (s *stream) rerunElsewhere(ctx context.Context, cause error) error {
	if s.reruns++; s.reruns > maxReruns {
		return cause
	}
	if s.nextOffset > 0 && !deterministic(s.r) {
		if s.r.Chat.Stream {
			return errors.Join(cause, errors.New("the answer has no seed and cannot be continued elsewhere"))
		}
		// The caller has nothing of a whole answer yet, so it may begin anew.
		s.nextOffset = 0
	}
	ts := s.otherTargets()
	if len(ts) == 0 {
		return errors.Join(cause, errors.New("no other target serves the model and version"))
	}
	s.step.cancelAfter(s.r, 0)
	if s.machine.State() == "reopening" {
		s.transition("moved")
	}
	if err := s.open(ctx, ts, s.step.Now(), true); err != nil {
		return errors.Join(cause, err)
	}
	s.reconnects = 0
	return nil
}

// deterministic reports whether another engine gives the same answer.
func deterministic(r *request.Request) bool { return r.Chat.Seed != 0 }

// otherTargets returns the targets at which the answer can be run again. Once the caller has a part of it, only targets with
// the same weight version give the same rest.
func (s *stream) otherTargets() []*view.Target {
	ts := s.r.Alternatives
	if len(ts) == 0 {
		ts = s.r.View.ModelTargets(s.r.Chat.Model)
	}
	var out []*view.Target
	for _, t := range ts {
		v := t.Version(s.r.Chat.Model)
		if t.ID == s.r.Target.ID || !t.Usable() || s.nextOffset > 0 && v != 0 && v != s.r.Scope.Version {
			continue
		}
		out = append(out, t)
	}
	return out
}

// Next implements request.Pieces.
func (s *stream) Next(ctx context.Context) ([]dialer.RunPiece, *dialer.RunEnd, error) {
	for {
		if s.end != nil && s.assembler.Complete() {
			s.transition("ended")
			return nil, s.end, nil
		}
		ps, err := s.readEvent()
		if err == nil && len(ps) == 0 {
			continue
		}
		if err == nil {
			return s.recordDelivered(ps), nil, nil
		}
		if ctx.Err() == nil {
			err = s.recover(ctx, err)
		}
		if ctx.Err() != nil {
			s.transition("left")
			return nil, nil, ctx.Err()
		}
		if err != nil {
			s.transition("lost")
			return nil, nil, err
		}
	}
}

// readEvent takes one event.
func (s *stream) readEvent() ([]dialer.RunPiece, error) {
	ev, err, ok := s.next()
	if !ok && err == nil {
		err = errors.New("stream ended before the answer was whole")
	}
	switch {
	case err != nil:
		return nil, err
	case ev.Start != nil && s.start == nil:
		s.start = ev.Start
		checkRunVersion(s.step.Asserter, s.r, ev.Start)
	case ev.End != nil && (ev.End.Finish == finishCancelled || ev.End.Offset < s.nextOffset):
		return nil, errCancelled
	case ev.End != nil:
		s.end = ev.End
		s.assembler.End(*ev.End)
	case ev.Piece != nil:
		return s.assembler.Add(*ev.Piece)
	}
	return nil, nil
}

// recordDelivered notes the pieces that go to the caller.
func (s *stream) recordDelivered(ps []dialer.RunPiece) []dialer.RunPiece {
	for _, p := range ps {
		s.step.Asserter.Check(asserter.WholeAnswer, p.Offset == s.nextOffset, "run %s: piece %d instead of %d", s.r.RunID, p.Offset, s.nextOffset)
		s.nextOffset++
		s.r.OutputTokens += p.Tokens
	}
	s.reconnects = 0
	return ps
}

// RunStart implements request.Pieces.
func (s *stream) RunStart() *dialer.RunStart { return s.start }

// closeBody ends the reading at the present target.
func (s *stream) closeBody() {
	if s.body != nil {
		s.body.Close()
		s.stop()
		s.body = nil
	}
}

// Close implements request.Pieces. A caller that went away before the end leaves a run that is cancelled.
func (s *stream) Close() {
	s.closeBody()
	if !s.machine.Final() {
		s.transition("left")
	}
	if s.machine.State() != "ended" {
		s.step.cancelAfter(s.r, s.step.Grace)
	}
}

// cancelAfter cancels the run at its present target after a time, unless somebody reads it by then: the caller may
// have come back to another instance. A target takes a moment to notice that a reader is gone, so it is asked again.
func (s *Step) cancelAfter(r *request.Request, grace time.Duration) {
	addr, run := r.Target.Address, r.RunID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), grace+cancelTimeout)
		defer cancel()
		var err error
		for i := 0; i < cancelAttempts && sleeper.Sleep(ctx, max(grace, cancelInterval)); i++ {
			grace = 0
			if err = s.Client.CancelIdle(ctx, addr, run); err == nil {
				return
			}
			var refused *dialer.StatusError
			if !errors.As(err, &refused) || refused.Status != http.StatusConflict {
				break
			}
		}
		if err != nil {
			logger.WithError(s.Log, err).Debug("run was not cancelled")
		}
	}()
}
