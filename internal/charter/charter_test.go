package charter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against embedded charts with unreachable or dead-end states, both of which Load rejects.
func TestEmbeddedChartsAreSound(t *testing.T) {
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			c, err := Load(name)
			require.NoError(t, err)
			require.Equal(t, name, c.Name)
			for _, tr := range c.Transitions {
				m, err := Machine{chart: c, state: tr.From}.Next(tr.Event)
				require.NoError(t, err)
				require.Equal(t, tr.To, m.State())
			}
		})
	}
}

// Guards against validation that accepts invalid charts, and against events that are silently ignored.
func TestParseRejectsInvalidCharts(t *testing.T) {
	tests := map[string]string{
		"unreachable": "name='x'\ninitial='a'\nfinal=['b']\n[[transitions]]\nfrom='a'\nevent='e'\nto='b'\n[[transitions]]\nfrom='c'\nevent='e'\nto='b'",
		"dead end":    "name='x'\ninitial='a'\n[[transitions]]\nfrom='a'\nevent='e'\nto='b'",
		"ambiguous":   "name='x'\ninitial='a'\nfinal=['b']\n[[transitions]]\nfrom='a'\nevent='e'\nto='b'\n[[transitions]]\nfrom='a'\nevent='e'\nto='a'",
		"no final":    "name='x'\ninitial='a'\nfinal=['b']\n[[transitions]]\nfrom='a'\nevent='e'\nto='b'\n[[transitions]]\nfrom='a'\nevent='f'\nto='c'\n[[transitions]]\nfrom='c'\nevent='f'\nto='c'",
		"unknown key": "name='x'\ninitial='a'\nfinal=['a']\ncolour='red'",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(text)
			require.Error(t, err)
		})
	}
	m := MustLoad("request").Start()
	same, err := m.Next("delivered")
	require.Error(t, err)
	require.Equal(t, m, same)
}
