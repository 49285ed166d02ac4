package versioner

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/failer"
)

const (
	// publishPoll is the wait of one read while the publisher looks for its record.
	publishPoll = 2 * time.Second
	publishTry  = 100 * time.Millisecond
)

// BaseConflictError tells a publisher that its record was read back and not accepted.
type BaseConflictError struct {
	Base   int64
	Reason string
	// Current is the version in force when the record was read; nil if there is none.
	Current *Record
}

// Error implements error.
func (e *BaseConflictError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("configuration based on version %d was not accepted: %s", e.Base, e.Reason)
	}
	return fmt.Sprintf("configuration based on version %d was not accepted: version %d by %s of %s is in force (%s)",
		e.Base, e.Current.Version, e.Current.Author, time.UnixMilli(e.Current.AtMs).UTC().Format(time.RFC3339), e.Reason)
}

// ErrNoSnapshot is returned if the log has dropped records and holds no snapshot to start from.
var ErrNoSnapshot = errors.New("the log holds no snapshot of the configuration; ask an instance for its version")

// Publish publishes a text against the version that its author has seen and returns the new version. It reads the
// stream back; an error other than [*BaseConflictError] leaves open whether the configuration was published.
func Publish(ctx context.Context, log appender.Log, base int64, author, text string) (int64, error) {
	if _, err := Validate(text, nil); err != nil {
		return 0, err
	}
	var id [16]byte
	_, _ = rand.Read(id[:])
	r := &Record{
		Version: base + 1, Base: base, Author: author, AtMs: time.Now().UnixMilli(), Hash: HashText(text), Text: text,
		ID: fmt.Sprintf("%x", id),
	}
	if _, err := Decode(r.Encode()); err != nil {
		return 0, err
	}
	p := &publisher{log: log, record: r}
	return p.run(ctx)
}

// publisher is one publication.
type publisher struct {
	log    appender.Log
	record *Record
	state  State
}

func (p *publisher) run(ctx context.Context) (int64, error) {
	if err := p.checkBase(ctx); err != nil {
		return 0, err
	}
	for {
		_, err := p.log.Append(ctx, Stream, [][]byte{p.record.Encode()})
		if err != nil && !appender.MayHaveAppended(err) {
			return 0, failer.Wrap(err, "publish configuration", "", "append")
		}
		found, verr := p.readBack(ctx, err == nil)
		switch {
		case found && verr != nil:
			return 0, verr
		case found:
			return p.record.Version, nil
		case verr != nil:
			return 0, failer.Wrap(verr, "publish configuration", "", "read back")
		}
		// The response was lost and the record is not on the log. It may still arrive; of two only one is accepted.
		t := time.NewTimer(publishTry)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return 0, failer.Wrap(err, "publish configuration", "", "append")
		}
	}
}

// checkBase reads to the head and refuses a base that is not in force, before anything is appended.
func (p *publisher) checkBase(ctx context.Context) error {
	for {
		b, err := p.log.Read(ctx, Stream, p.state.NextOffset(), readRecords, 0)
		if err != nil {
			return failer.Wrap(err, "publish configuration", "", "read")
		}
		p.state.Apply(b)
		if len(b.Records) > 0 {
			continue
		}
		cur := p.state.Current()
		switch {
		case p.state.HasGap():
			return ErrNoSnapshot
		case cur.Version() != p.record.Base:
			return &BaseConflictError{Base: p.record.Base, Reason: "the base is not in force", Current: cur.Record}
		}
		_, err = Validate(p.record.Text, cur.Config)
		return err
	}
}

// readBack folds the stream until the own record is found; without a certain append it stops at the head.
func (p *publisher) readBack(ctx context.Context, certain bool) (bool, error) {
	for {
		wait := time.Duration(0)
		if certain {
			wait = publishPoll
		}
		b, err := p.log.Read(ctx, Stream, p.state.NextOffset(), readRecords, wait)
		if err != nil {
			if ctx.Err() != nil {
				return false, err
			}
			return false, nil // the log is down; try again
		}
		if found, err := p.find(p.state.Apply(b)); found {
			return true, err
		}
		if len(b.Records) > 0 {
			continue
		}
		if p.state.HasGap() {
			return false, ErrNoSnapshot
		}
		if !certain {
			return false, nil
		}
	}
}

func (p *publisher) find(vs []RecordResult) (bool, error) {
	for _, v := range vs {
		if v.Record == nil || v.Record.Snapshot || v.Record.ID != p.record.ID {
			continue
		}
		if v.Config != nil {
			return true, nil
		}
		return true, &BaseConflictError{Base: p.record.Base, Reason: v.Reason, Current: p.state.Current().Record}
	}
	return false, nil
}
