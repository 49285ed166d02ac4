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
	// maxResumes bounds how often one stream is opened again without progress.
	maxResumes = 5
	// maxMoves bounds how often one answer is run again at another target.
	maxMoves = 3
	// cancelTimeout bounds the tries to cancel a run, cancelTries their number, cancelPause is the time between them.
	cancelTimeout = 5 * time.Second
	cancelTries   = 10
	cancelPause   = 100 * time.Millisecond
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

	body    *dialer.RunStream
	next    func() (dialer.Event, error, bool)
	stop    func()
	asm     *streamer.Assembler
	start   *dialer.RunStart
	end     *dialer.RunEnd
	resumes int
	moves   int
	// handed is the offset of the next piece for the caller.
	handed int
}

func (s *Step) newStream(r *request.Request) *stream {
	st := &stream{step: s, r: r, machine: charter.MustLoad("stream").Start(), handed: r.ResumeFrom}
	st.asm = streamer.NewAssembler(r.ResumeFrom, streamer.DefaultWindow)
	return st
}

// event feeds the chart; an event that it does not allow is a fault of the program.
func (s *stream) event(ev charter.Event) {
	m, err := s.machine.Next(ev)
	if err != nil {
		s.step.Asserter.Check(asserter.CompleteResponse, false, "stream of run %s: %v", s.r.RunID, err)
		return
	}
	s.machine = m
}

// open starts the run at the best target that takes it. The deadline counts from the given time.
func (s *stream) open(ctx context.Context, ts []*view.Target, from time.Time, moved bool) error {
	deadline := from.Add(configurer.Milliseconds(s.r.Account.DeadlineMs))
	tried := 0
	return s.step.attempts(ctx, ts, deadline, moved, func(ctx context.Context, t *view.Target) (retrier.Outcome, error) {
		if tried++; tried > 1 {
			s.event("moved")
		}
		s.aim(t, deadline)
		body, err := s.step.Client.Run(ctx, t.Address, s.in, s.handed)
		if s.step.Leaving != nil && dialer.Draining(err) {
			s.step.Leaving.Refused(t.ID)
		}
		if err != nil {
			return outcome(err), err
		}
		s.opened(body)
		return retrier.Done, nil
	})
}

// aim prepares the request for a target.
func (s *stream) aim(t *view.Target, deadline time.Time) {
	if t != s.r.Target {
		// The first target was counted by the selector.
		t.Dispatches.Record(s.step.Now(), keyer.Tokens(len(s.r.Prompt)))
		if s.step.Leaving != nil {
			s.step.Leaving.Dispatching(t.ID)
		}
	}
	s.step.Asserter.Check(asserter.NoDispatchWhenLeaving, !t.Target.Leaving && !t.Status.Leaving, "run %s sent to leaving target %s", s.r.RunID, t.ID)
	s.r.Target = t
	if v := t.Version(s.r.Chat.Model); v != 0 && v != s.r.Scope.Version && s.handed == 0 {
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
	body, err := s.step.Client.Resume(ctx, s.r.Target.Address, s.r.RunID, s.handed)
	if ctx.Err() == nil {
		s.step.Retries.observe(s.r.Target.ID, healthy(err), s.step.Now())
	}
	if err != nil {
		return err
	}
	s.opened(body)
	return nil
}

func (s *stream) opened(body *dialer.RunStream) {
	s.event("opened")
	s.body = body
	s.asm = streamer.NewAssembler(s.handed, streamer.DefaultWindow)
	s.next, s.stop = iter.Pull2(body.Events())
}

// repair opens the stream again after it broke: at the same target while that makes progress, else at another one.
func (s *stream) repair(ctx context.Context, cause error) error {
	s.release()
	s.event("broken")
	for s.resumes < maxResumes && !errors.Is(cause, errCancelled) {
		s.resumes++
		if s.resumes > 1 && !sleeper.Sleep(ctx, retrier.Backoff(s.resumes, uint64(s.handed))) {
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
	return s.move(ctx, cause)
}

// move runs the answer again at another target, from the offset that the caller has.
func (s *stream) move(ctx context.Context, cause error) error {
	if s.moves++; s.moves > maxMoves {
		return cause
	}
	if s.handed > 0 && !deterministic(s.r) {
		if s.r.Chat.Stream {
			return errors.Join(cause, errors.New("the answer has no seed and cannot be continued elsewhere"))
		}
		// The caller has nothing of a whole answer yet, so it may begin anew.
		s.handed = 0
	}
	ts := s.others()
	if len(ts) == 0 {
		return errors.Join(cause, errors.New("no other target serves the model and version"))
	}
	s.step.cancelLater(s.r, 0)
	if s.machine.State() == "reopening" {
		s.event("moved")
	}
	if err := s.open(ctx, ts, s.step.Now(), true); err != nil {
		return errors.Join(cause, err)
	}
	s.resumes = 0
	return nil
}

// deterministic reports whether another engine gives the same answer.
func deterministic(r *request.Request) bool { return r.Chat.Seed != 0 }

// others returns the targets at which the answer can be run again. Once the caller has a part of it, only targets with
// the same weight version give the same rest.
func (s *stream) others() []*view.Target {
	ts := s.r.Alternatives
	if len(ts) == 0 {
		ts = s.r.View.ModelTargets(s.r.Chat.Model)
	}
	var out []*view.Target
	for _, t := range ts {
		v := t.Version(s.r.Chat.Model)
		if t.ID == s.r.Target.ID || !t.Usable() || s.handed > 0 && v != 0 && v != s.r.Scope.Version {
			continue
		}
		out = append(out, t)
	}
	return out
}

// Next implements request.Pieces.
func (s *stream) Next(ctx context.Context) ([]dialer.RunPiece, *dialer.RunEnd, error) {
	for {
		if s.end != nil && s.asm.Complete() {
			s.event("ended")
			return nil, s.end, nil
		}
		ps, err := s.read()
		if err == nil && len(ps) == 0 {
			continue
		}
		if err == nil {
			return s.hand(ps), nil, nil
		}
		if ctx.Err() == nil {
			err = s.repair(ctx, err)
		}
		if ctx.Err() != nil {
			s.event("left")
			return nil, nil, ctx.Err()
		}
		if err != nil {
			s.event("lost")
			return nil, nil, err
		}
	}
}

// read takes one event.
func (s *stream) read() ([]dialer.RunPiece, error) {
	ev, err, ok := s.next()
	if !ok && err == nil {
		err = errors.New("stream ended before the answer was whole")
	}
	switch {
	case err != nil:
		return nil, err
	case ev.Start != nil && s.start == nil:
		s.start = ev.Start
		checkStart(s.step.Asserter, s.r, ev.Start)
	case ev.End != nil && (ev.End.Finish == finishCancelled || ev.End.Offset < s.handed):
		return nil, errCancelled
	case ev.End != nil:
		s.end = ev.End
		s.asm.End(*ev.End)
	case ev.Piece != nil:
		return s.asm.Add(*ev.Piece)
	}
	return nil, nil
}

// hand notes the pieces that go to the caller.
func (s *stream) hand(ps []dialer.RunPiece) []dialer.RunPiece {
	for _, p := range ps {
		s.step.Asserter.Check(asserter.CompleteResponse, p.Offset == s.handed, "run %s: piece %d instead of %d", s.r.RunID, p.Offset, s.handed)
		s.handed++
		s.r.OutputTokens += p.Tokens
	}
	s.resumes = 0
	return ps
}

// RunStart implements request.Pieces.
func (s *stream) RunStart() *dialer.RunStart { return s.start }

// release ends the reading at the present target.
func (s *stream) release() {
	if s.body != nil {
		s.body.Close()
		s.stop()
		s.body = nil
	}
}

// Close implements request.Pieces. A caller that went away before the end leaves a run that is cancelled.
func (s *stream) Close() {
	s.release()
	if !s.machine.Final() {
		s.event("left")
	}
	if s.machine.State() != "ended" {
		s.step.cancelLater(s.r, s.step.Grace)
	}
}

// cancelLater cancels the run at its present target after a time, unless somebody reads it by then: the caller may
// have come back to another instance. A target takes a moment to notice that a reader is gone, so it is asked again.
func (s *Step) cancelLater(r *request.Request, grace time.Duration) {
	addr, run := r.Target.Address, r.RunID
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), grace+cancelTimeout)
		defer cancel()
		var err error
		for i := 0; i < cancelTries && sleeper.Sleep(ctx, max(grace, cancelPause)); i++ {
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
