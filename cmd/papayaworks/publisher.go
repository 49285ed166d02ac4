package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/versioner"
)

// logPublisher is a publishFunc that publishes on the platform's log.
func logPublisher(ctx context.Context, log string, base int64, author, text string) (int64, error) {
	version, err := versioner.Publish(ctx, &appender.Client{Addr: log}, base, author, text)
	var conflict *versioner.BaseConflictError
	if errors.As(err, &conflict) {
		return 0, fmt.Errorf("%w: %w", errBaseConflict, conflict)
	}
	return version, err
}
