package demonstrator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/papayaworks/papayaworks/internal/ledger"
)

// Serve starts the deployment at real speed, prints its addresses and example commands to Out, and runs until ctx ends. If
// path is not empty, it names a file to which the questionnaire of the deployment is written.
func (d *Demo) Serve(ctx context.Context, path string) error {
	spec, ok := Specs[d.User]
	if !ok {
		return fmt.Errorf("unknown user %q: must be trust or cooperative", d.User)
	}
	dep, err := Start(ctx, spec, 1, d.Log)
	if err != nil {
		return err
	}
	defer dep.Close()
	if path != "" {
		if err := os.WriteFile(path, []byte(dep.Questionnaire()), 0o600); err != nil {
			return err
		}
	}
	fmt.Fprint(d.Out, dep.UsageText())
	if path != "" {
		fmt.Fprintf(d.Out, "\nthe questionnaire of this deployment is in %s\n", path)
	}
	<-ctx.Done()
	return nil
}

// UsageText returns the addresses of the deployment and example commands.
func (d *Deployment) UsageText() string {
	out := "instances:\n"
	for _, in := range d.Instances {
		out += fmt.Sprintf("  %-18s %s\n", in.ID, in.Server.Addr())
	}
	account := d.Spec.Accounts[0]
	url := "http://" + d.Instances[0].Server.Addr()
	return out + fmt.Sprintf(`log of the platform: %s
account: %s, API key: %s

A chat:
  curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"%s","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Dear sirs, my shoes"}]}'

A call that may not be repeated, with its idempotency key; sent again, it gets the first outcome:
  curl %s/v1/services/%s/%s -H 'Authorization: Bearer %s' \
    -H 'Idempotency-Key: %s' -d '{"parcel":1}'
`, d.Log.Addr, account, APIKey(account), url, APIKey(account), d.Spec.Model, url, d.Spec.Service, d.Spec.AtMostOnceOperation, APIKey(account),
		ledger.NewKey(time.Now(), rand.Uint64(), rand.Uint64()))
}
