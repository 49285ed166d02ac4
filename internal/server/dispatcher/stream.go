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
	// maxReconnects bounds the number of times that a stream is reopened without progress.
	maxReconnects = 5
	// maxReruns bounds the number of reruns of a request at other targets.
	maxReruns = 3
	// cancelTimeout bounds the total time of the attempts to cancel a run, cancelAttempts their number; cancelInterval
	// is the time between them.
	cancelTimeout  = 5 * time.Second
	cancelAttempts = 10
	cancelInterval = 100 * time.Millisecond
	// finishCancelled is the finish reason of a cancelled run, whose response is incomplete.
	finishCancelled = "cancelled"
)

// errCancelled means that the engine cancelled the run, or that the run ended before the caller's offset.
var errCancelled = errors.New("run was cancelled by the engine")

// stream reads the chunks of a run in order, reopens the stream when it breaks, and reruns the request at another target
// if that fails or the engine cancelled the run. It is used by one goroutine and follows the state chart stream.toml.
type stream struct {
	step *Step
	r    *request.Request
	// in is the run request for the current target; nil for a resumed stream until the request is rerun at another target.
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
	// nextOffset is the offset of the next chunk for the caller.
	nextOffset int
}

func (s *Step) newStream(r *request.Request) *stream {
	st := &stream{step: s, r: r, machine: charter.MustLoad("stream").Start(), nextOffset: r.ResumeFrom}
	st.assembler = streamer.NewAssembler(r.ResumeFrom, streamer.DefaultWindow)
	return st
}

// transition fires an event of the state chart; an event without a transition violates an invariant.
func (s *stream) transition(ev charter.Event) {
	m, err := s.machine.Next(ev)
	if err != nil {
		s.step.Asserter.Check(asserter.CompleteResponse, false, "stream of run %s: %v", s.r.RunID, err)
		return
	}
	s.machine = m
}

// open starts the run at the first target that accepts it. The account's deadline counts from the given time; rerun
// reports whether the request was dispatched before.
func (s *stream) open(ctx context.Context, ts []*view.Target, from time.Time, rerun bool) error {
	deadline := from.Add(configurer.Milliseconds(s.r.Account.DeadlineMs))
	attempts := 0
	return s.step.tryTargets(ctx, ts, deadline, rerun, func(ctx context.Context, t *view.Target) (retrier.Outcome, error) {
		if attempts++; attempts > 1 {
			s.transition("moved")
		}
		s.prepare(t, deadline)
		body, err := s.step.Client.Run(ctx, t.Address, s.in, s.nextOffset)
		if s.step.TargetObserver != nil && dialer.IsDraining(err) {
			s.step.TargetObserver.OnLeavingRefusal(t.ID)
		}
		if err != nil {
			return outcome(err), err
		}
		s.onOpened(body)
		return retrier.Done, nil
	})
}

// prepare makes t the target of the request and builds its run request.
func (s *stream) prepare(t *view.Target, deadline time.Time) {
	if t != s.r.Target {
		// The selector recorded the dispatch to the first target.
		t.Dispatches.Record(s.step.Now(), keyer.EstimateTokens(len(s.r.Prompt)))
		if s.step.TargetObserver != nil {
			s.step.TargetObserver.OnDispatch(t.ID)
		}
	}
	s.step.Asserter.Check(asserter.NoDispatchWhenLeaving, !t.Target.Leaving && !t.Status.Leaving, "run %s sent to leaving target %s", s.r.RunID, t.ID)
	s.r.Target = t
	if v := t.Version(s.r.Chat.Model); v != 0 && v != s.r.Scope.Version && s.nextOffset == 0 {
		// Blocks of another weight version must not be imported.
		s.r.Import = nil
		identifier.SetScope(s.r, v)
	}
	checkImport(s.step.Asserter, s.r)
	s.in = runRequest(s.r)
	s.in.DeadlineMs = int(max(1, deadline.Sub(s.step.Now()).Milliseconds()))
}

// attach opens a stream of an existing run at its target, from the caller's offset.
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

// reopen reopens a broken stream at the same target. If the engine no longer has the run or cancelled it, or after
// maxReconnects attempts without progress, it reruns the request at another target.
func (s *stream) reopen(ctx context.Context, cause error) error {
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
			break // The engine is unreachable, refuses, or no longer has the run.
		}
	}
	return s.rerunElsewhere(ctx, cause)
}

// rerunElsewhere reruns the request at another target, from the caller's offset.
func (s *stream) rerunElsewhere(ctx context.Context, cause error) error {
	if s.reruns++; s.reruns > maxReruns {
		return cause
	}
	if s.nextOffset > 0 && !deterministic(s.r) {
		if s.r.Chat.Stream {
			return errors.Join(cause, errors.New("response without a seed cannot be continued at another target"))
		}
		// Without streaming, the caller has received nothing yet, so the response can start over.
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

// deterministic reports whether another engine generates the same response, which a seed ensures.
func deterministic(r *request.Request) bool { return r.Chat.Seed != 0 }

// otherTargets returns the targets at which the request can be rerun. Once the caller has received a part of the
// response, only targets with the same weight version generate the same remainder; targets that have reported no version
// are assumed to have it.
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

// Next implements request.ChunkStream.
func (s *stream) Next(ctx context.Context) ([]dialer.RunChunk, *dialer.RunEnd, error) {
	for {
		if s.end != nil && s.assembler.Complete() {
			s.transition("ended")
			return nil, s.end, nil
		}
		chunks, err := s.readEvent()
		if err == nil && len(chunks) == 0 {
			continue
		}
		if err == nil {
			return s.recordDelivered(chunks), nil, nil
		}
		if ctx.Err() == nil {
			err = s.reopen(ctx, err)
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

// readEvent reads one event of the stream and returns the chunks that are next in order, if any.
func (s *stream) readEvent() ([]dialer.RunChunk, error) {
	ev, err, ok := s.next()
	if !ok && err == nil {
		err = errors.New("stream ended before the response was complete")
	}
	switch {
	case err != nil:
		return nil, err
	case ev.Start != nil && s.start == nil:
		s.start = ev.Start
		checkRunVersion(s.step.Asserter, s.r, ev.Start)
	case ev.End != nil && (ev.End.FinishReason == finishCancelled || ev.End.Offset < s.nextOffset):
		return nil, errCancelled
	case ev.End != nil:
		s.end = ev.End
		s.assembler.SetEnd(*ev.End)
	case ev.Chunk != nil:
		return s.assembler.Add(*ev.Chunk)
	}
	return nil, nil
}

// recordDelivered advances the caller's offset and counts the output tokens of the chunks, which it returns.
func (s *stream) recordDelivered(chunks []dialer.RunChunk) []dialer.RunChunk {
	for _, c := range chunks {
		s.step.Asserter.Check(asserter.CompleteResponse, c.Offset == s.nextOffset, "run %s: chunk offset is %d, want %d", s.r.RunID, c.Offset, s.nextOffset)
		s.nextOffset++
		s.r.OutputTokens += c.Tokens
	}
	s.reconnects = 0
	return chunks
}

// RunStart implements request.ChunkStream.
func (s *stream) RunStart() *dialer.RunStart { return s.start }

// closeBody closes the stream of the current target.
func (s *stream) closeBody() {
	if s.body != nil {
		s.body.Close()
		s.stop()
		s.body = nil
	}
}

// Close implements request.ChunkStream. If the stream has not ended, its run is cancelled after the grace period.
func (s *stream) Close() {
	s.closeBody()
	if !s.machine.Final() {
		s.transition("left")
	}
	if s.machine.State() != "ended" {
		s.step.cancelAfter(s.r, s.step.Grace)
	}
}

// cancelAfter cancels the run at its current target after the grace period, unless it has a reader by then: the caller
// may have resumed the stream at another instance. A target detects a disconnected reader with a delay, so the request is
// repeated.
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
			logger.WithError(s.Log, err).Debug("cancel run failed")
		}
	}()
}
