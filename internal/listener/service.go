package listener

import "context"

// Service can be started and stopped. Its background work ends when the context given to Start ends.
type Service interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// Serve starts the service, waits until ctx ends and stops it gracefully. It returns the error of Start or Stop.
func Serve(ctx context.Context, s Service) error {
	bg, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := s.Start(bg); err != nil {
		return err
	}
	<-ctx.Done()
	return s.Stop(bg)
}
