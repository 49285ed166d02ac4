package forwarder

import (
	"github.com/papayaworks/papayaworks/internal/request"
)

// newSteps returns the steps of the pipeline in their order.
func (s *Server) newSteps() []request.Stage[*Call] {
	return []request.Stage[*Call]{
		&readStep{s},
		&identifyStep{s},
		&admitStep{s},
		&dispatchStep{s},
		&deliverStep{s},
	}
}
