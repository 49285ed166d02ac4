package request

import "context"

// Stage is one step of a path whose requests are of type R.
type Stage[R any] interface {
	// String names the step in logs, errors and events.
	String() string
	// Run does the step's part of the request.
	Run(ctx context.Context, r R) error
}

// RunStages takes a request through the steps in order and returns the name and the error of the one that ended it.
func RunStages[R any, S Stage[R]](ctx context.Context, steps []S, r R) (string, error) {
	for _, st := range steps {
		if err := st.Run(ctx, r); err != nil {
			return st.String(), err
		}
	}
	return "", nil
}
