package demonstrator

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/logger"
)

// Guards against requests that are lost, duplicated or wrongly reported in a complete deployment of each example user.
func TestDemoAnswersEveryRequest(t *testing.T) {
	for user := range Specs {
		t.Run(user, func(t *testing.T) {
			d := &Demo{User: user, Seed: 1, Duration: 2 * time.Second, Out: io.Discard, Log: logger.Discard()}
			sum, err := d.Run(t.Context())
			require.NoError(t, err)
			require.False(t, sum.Failed(), "%+v", sum)
			require.Positive(t, sum.Answered)
		})
	}
}
