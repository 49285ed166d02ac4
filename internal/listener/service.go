package listener

import "context"

// Service is started and stopped; its background work ends with the context of its start.
type Service interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// Serve starts a service, waits until ctx ends and stops it gracefully.
func Serve(ctx context.Context, s Service) error {
	bg, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := s.Start(bg); err != nil {
		return err
	}
	<-ctx.Done()
	return s.Stop(bg)
}
