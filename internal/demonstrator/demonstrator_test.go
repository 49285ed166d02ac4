package demonstrator

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/papayaworks/papayaworks/internal/logger"
)

// Guards against a broken path from caller to engine and back, at the size of each user's deployment.
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
