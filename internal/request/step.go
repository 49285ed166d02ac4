package request

import "context"

// Stage is one step of a pipeline for requests of type R.
type Stage[R any] interface {
	// String returns the step's name for logs, errors and events.
	String() string
	// Run processes the request; an error ends it.
	Run(ctx context.Context, r R) error
}

// RunStages runs the steps in order until one of them fails. It returns the name and the error of that step, or an empty
// name and nil.
func RunStages[R any, S Stage[R]](ctx context.Context, steps []S, r R) (string, error) {
	for _, st := range steps {
		if err := st.Run(ctx, r); err != nil {
			return st.String(), err
		}
	}
	return "", nil
}
