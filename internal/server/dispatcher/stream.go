package dispatcher

import (
	"context"
	"errors"
	"iter"

	"github.com/papayaworks/papayaworks/internal/dialer"
	"github.com/papayaworks/papayaworks/internal/streamer"
)

// maxResumes bounds how often one stream is opened again without progress.
const maxResumes = 5

// stream reads a run's pieces in order and opens the stream again when it breaks.
type stream struct {
	client *dialer.Client
	addr   string
	run    string
	from   int
	in     *dialer.RunRequest // nil if the run exists already

	body    *dialer.RunStream
	next    func() (dialer.Event, error, bool)
	stop    func()
	asm     *streamer.Assembler
	start   *dialer.RunStart
	end     *dialer.RunEnd
	resumes int
}

// open starts the run or attaches to it.
func (s *stream) open(ctx context.Context) error {
	var err error
	if s.in != nil {
		s.body, err = s.client.Run(ctx, s.addr, s.in, s.from)
	} else {
		s.body, err = s.client.Resume(ctx, s.addr, s.run, s.from)
	}
	if err != nil {
		return err
	}
	s.asm = streamer.NewAssembler(s.from, streamer.DefaultWindow)
	s.next, s.stop = iter.Pull2(s.body.Events())
	return nil
}

// reopen attaches to the run at the next offset after the stream broke.
func (s *stream) reopen(ctx context.Context, cause error) error {
	s.Close()
	if s.resumes++; s.resumes > maxResumes {
		return cause
	}
	from := s.asm.Next()
	body, err := s.client.Resume(ctx, s.addr, s.run, from)
	if err != nil {
		return errors.Join(cause, err)
	}
	s.body = body
	s.asm = streamer.NewAssembler(from, streamer.DefaultWindow)
	s.next, s.stop = iter.Pull2(s.body.Events())
	return nil
}

// Next implements request.Pieces.
func (s *stream) Next(ctx context.Context) ([]dialer.RunPiece, *dialer.RunEnd, error) {
	for {
		if s.end != nil && s.asm.Complete() {
			return nil, s.end, nil
		}
		ev, err, ok := s.next()
		if !ok && err == nil {
			err = errors.New("stream ended before the answer was whole")
		}
		if err != nil {
			if ctx.Err() != nil {
				return nil, nil, ctx.Err()
			}
			if err = s.reopen(ctx, err); err != nil {
				return nil, nil, err
			}
			continue
		}
		switch {
		case ev.Start != nil:
			s.start = ev.Start
		case ev.End != nil:
			s.end = ev.End
			s.asm.End(*ev.End)
		case ev.Piece != nil:
			ps, err := s.asm.Add(*ev.Piece)
			if err != nil {
				return nil, nil, err
			}
			if len(ps) > 0 {
				s.resumes = 0
				return ps, nil, nil
			}
		}
	}
}

// Start implements request.Pieces.
func (s *stream) Start() *dialer.RunStart { return s.start }

// Close implements request.Pieces.
func (s *stream) Close() {
	s.body.Close()
	s.stop()
}
