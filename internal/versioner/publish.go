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
	// publishPollTimeout is the long-poll wait of a read while a publisher waits for its own record.
	publishPollTimeout = 2 * time.Second
	publishRetryDelay  = 100 * time.Millisecond
)

// BaseConflictError reports that a configuration was not published because its base is not the current version, or
// because its record was read back and not accepted.
type BaseConflictError struct {
	Base   int64
	Reason string
	// Current is the current version when the conflict was found; nil if there is none.
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

// ErrNoSnapshot is returned if records have expired from the log and it holds no snapshot to start from.
var ErrNoSnapshot = errors.New("the log holds no snapshot of the configuration; ask an instance for its version")

// Publish publishes a configuration text that is based on version base and returns the new version. It appends a record
// and reads the stream back until it finds it. After a [*BaseConflictError] or an invalid text nothing was published; any
// other error leaves open whether the configuration was published.
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

// publisher is the state of one publication.
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
		found, readErr := p.readBack(ctx, err == nil)
		switch {
		case found && readErr != nil:
			return 0, readErr
		case found:
			return p.record.Version, nil
		case readErr != nil:
			return 0, failer.Wrap(readErr, "publish configuration", "", "read back")
		}
		// The response was lost and the record is not on the log yet. Appending it again is safe: of two copies only
		// one is accepted.
		t := time.NewTimer(publishRetryDelay)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return 0, failer.Wrap(err, "publish configuration", "", "append")
		}
	}
}

// checkBase reads to the head of the stream and rejects a base that is not the current version.
func (p *publisher) checkBase(ctx context.Context) error {
	for {
		b, err := p.log.Read(ctx, Stream, p.state.NextOffset(), maxReadRecords, 0)
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

// readBack applies the stream until it contains the publisher's own record. If the append was not confirmed, readBack
// stops at the head of the stream.
func (p *publisher) readBack(ctx context.Context, confirmed bool) (bool, error) {
	for {
		wait := time.Duration(0)
		if confirmed {
			wait = publishPollTimeout
		}
		b, err := p.log.Read(ctx, Stream, p.state.NextOffset(), maxReadRecords, wait)
		if err != nil {
			if ctx.Err() != nil {
				return false, err
			}
			return false, nil // the log is unavailable; run retries
		}
		if found, err := p.findOwnRecord(p.state.Apply(b)); found {
			return true, err
		}
		if len(b.Records) > 0 {
			continue
		}
		if p.state.HasGap() {
			return false, ErrNoSnapshot
		}
		if !confirmed {
			return false, nil
		}
	}
}

func (p *publisher) findOwnRecord(results []RecordResult) (bool, error) {
	for _, r := range results {
		if r.Record == nil || r.Record.Snapshot || r.Record.ID != p.record.ID {
			continue
		}
		if r.Config != nil {
			return true, nil
		}
		return true, &BaseConflictError{Base: p.record.Base, Reason: r.Reason, Current: p.state.Current().Record}
	}
	return false, nil
}
