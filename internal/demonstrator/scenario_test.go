package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/papayaworks/papayaworks/internal/appender"
	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/keyer"
	"github.com/papayaworks/papayaworks/internal/ledger"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/swapper"
	"github.com/papayaworks/papayaworks/internal/versioner"
	"github.com/papayaworks/papayaworks/pkg/caller"
	"github.com/papayaworks/papayaworks/pkg/configurer"
)

// scenario is the deployment of one script with its open streams, conversations and orders.
type scenario struct {
	ctx           context.Context
	dep           *Deployment
	mu            sync.Mutex
	streams       map[string]chan error
	conversations map[string][]caller.Message
	keys          map[string]string
	cleanup       []func()
}

// requestTimeout bounds one command of a script, so that a script fails instead of hanging.
const requestTimeout = 60 * time.Second

// Guards against failures that only show in the interaction of instances, engines, stores and the log. Each script injects one
// sequence of faults and checks the reported outcomes against the ground truth of the emulators.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:      "testdata/script",
		Setup:    setupScenario,
		Cmds:     scenarioCommands(),
		TestWork: false,
	})
}

type scenarioKey struct{}

// deploymentCount is the number of deployments that all scripts have started.
var deploymentCount atomic.Int32

// processorsPerDeployment is the number of processors for each deployment that runs at the same time. All of a deployment, stand-ins
// included, runs in this process, and its time limits are real.
const processorsPerDeployment = 4

// deploymentSlots limits the number of deployments that run at the same time.
var deploymentSlots = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/processorsPerDeployment))

func setupScenario(env *testscript.Env) error {
	deploymentSlots <- struct{}{}
	env.Defer(func() { <-deploymentSlots })
	ctx, cancel := context.WithCancel(context.Background())
	s := &scenario{ctx: ctx, streams: map[string]chan error{}, conversations: map[string][]caller.Message{}}
	env.Values[scenarioKey{}] = s
	env.Defer(func() {
		cancel()
		if s.dep != nil {
			s.dep.Close()
		}
		for _, f := range s.cleanup {
			f()
		}
	})
	return nil
}

type scenarioFunc func(s *scenario, args []string) error

// scenarioCommands returns the commands of the scripts. A command that is prefixed with "!" must fail.
func scenarioCommands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, f := range map[string]scenarioFunc{
		"deploy": deploy, "chat": chat, "stream": stream, "finish": finish, "instance": instance,
		"engine": engine, "store": store, "log": logFault, "invariants": invariants,
		"swap": swap, "order": checkOrder, "service": service, "exported": exported, "evict": evict, "imported": imported, "race": race, "network": network, "inforce": inForce,
	} {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := f(ts.Value(scenarioKey{}).(*scenario), args)
			if neg && err == nil {
				ts.Fatalf("%s %v succeeded", name, args)
			}
			if !neg && err != nil {
				ts.Fatalf("%s %v: %v", name, args, err)
			}
			if err != nil {
				fmt.Fprintln(ts.Stderr(), err)
			}
		}
	}
	return out
}

func arg(args []string, i int) string {
	if i < len(args) {
		return args[i]
	}
	return ""
}

func intArg(args []string, i int) int {
	n, err := strconv.Atoi(arg(args, i))
	if err != nil {
		return 0
	}
	return n
}

// deploy USER SPEED starts a deployment.
func deploy(s *scenario, args []string) error {
	spec, ok := Specs[arg(args, 0)]
	if !ok {
		return errors.New("unknown user")
	}
	// Scripts run in parallel. With a shared address, the port of a killed instance could be reused by another deployment.
	spec.Host = fmt.Sprintf("127.0.2.%d", deploymentCount.Add(1))
	var err error
	s.dep, err = Start(s.ctx, spec, float64(max(1, intArg(args, 1))), logger.Discard())
	return err
}

// client returns a client of all instances, or of instance number at only; at may be empty.
func (s *scenario) client(account, at string) *caller.Client {
	c := &caller.Client{Addresses: s.dep.Addresses(), Key: APIKey(account), MaxAttempts: 100}
	if i, err := strconv.Atoi(at); err == nil {
		c.Addresses = c.Addresses[i : i+1]
	}
	return c
}

// messageText returns message n of a conversation, longer than one block. Conversations whose names are equal up to "@" have
// the same messages, so that several accounts can send equal prompts.
func messageText(name string, n int) string {
	base, _, _ := strings.Cut(name, "@")
	line := fmt.Sprintf("%s, letter %d. ", base, n)
	return strings.Repeat(line, keyer.BlockBytes/len(line)+2)
}

// sendMessage sends the next message of a conversation and checks that the response is complete and belongs to it. It calls
// onChunk for each chunk of the response.
func (s *scenario) sendMessage(name, account string, tokens int, at string, onChunk func()) error {
	s.mu.Lock()
	msgs := append(s.conversations[name], caller.Message{Role: "user", Content: messageText(name, len(s.conversations[name]))})
	s.conversations[name] = msgs
	c := s.client(account, at)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	const seed = 7
	c.OnChunk = func(int) { onChunk() }
	res, err := c.Chat(ctx, caller.ChatRequest{Model: s.dep.Spec.Model, Messages: msgs, Stream: true, MaxTokens: tokens, Seed: seed})
	if err != nil {
		return err
	}
	if want := emulator.ResponseText(render(msgs), seed, tokens); res.Text != want {
		return fmt.Errorf("wrong or truncated response: got %d bytes, want %d", len(res.Text), len(want))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conversations[name] = append(msgs, caller.Message{Role: "assistant", Content: res.Text})
	return nil
}

// chat CONVERSATION ACCOUNT TOKENS [INSTANCE] sends one message and waits for the complete response.
func chat(s *scenario, args []string) error {
	return s.sendMessage(arg(args, 0), arg(args, 1), intArg(args, 2), arg(args, 3), func() {})
}

// stream CONVERSATION ACCOUNT TOKENS [INSTANCE] sends one message, returns at the first chunk and continues to receive in the
// background.
func stream(s *scenario, args []string) error {
	done, first := make(chan error, 1), make(chan struct{})
	s.streams[arg(args, 0)] = done
	var once sync.Once
	go func() {
		done <- s.sendMessage(arg(args, 0), arg(args, 1), intArg(args, 2), arg(args, 3), func() { once.Do(func() { close(first) }) })
	}()
	select {
	case <-first:
		return nil
	case err := <-done:
		return fmt.Errorf("response ended before its first chunk: %w", err)
	}
}

// finish CONVERSATION waits for the end of a stream.
func finish(s *scenario, args []string) error { return <-s.streams[arg(args, 0)] }

// instance kill|stop|add|replace [N] acts on entry instances; stop and replace wait for the graceful stop of instance N.
func instance(s *scenario, args []string) error {
	i := intArg(args, 1)
	switch arg(args, 0) {
	case "kill":
		s.dep.Instances[i].Kill()
		return nil
	case "stop":
		return s.dep.Instances[i].Server.Stop(s.ctx)
	case "add":
		_, err := s.dep.StartInstance(s.ctx, len(s.dep.Instances), logger.Discard())
		return err
	case "replace":
		in, err := s.dep.StartInstance(s.ctx, i, logger.Discard())
		if err != nil {
			return err
		}
		old := s.dep.Instances[i]
		s.dep.Instances = s.dep.Instances[:len(s.dep.Instances)-1]
		s.dep.Instances[i] = in
		return old.Server.Stop(s.ctx)
	}
	return os.ErrInvalid
}

// engine kill|leave|shuffle|break|refuse|heal N|all|busy sets the fault of engine N, of all engines, or of the busy
// ones, which have a run in a slot.
func engine(s *scenario, args []string) error {
	for i, e := range s.dep.Engines {
		if arg(args, 1) != strconv.Itoa(i) && arg(args, 1) != "all" && (arg(args, 1) != "busy" || e.RunningCount() == 0) {
			continue
		}
		switch arg(args, 0) {
		case "kill":
			e.Kill()
		case "leave":
			e.SetLeaving(true)
		case "shuffle":
			e.SetFaults(emulator.EngineFaults{ShuffleStream: true})
		case "break":
			e.SetFaults(emulator.EngineFaults{BreakStreamAt: 5})
		case "refuse":
			e.SetFaults(emulator.EngineFaults{RefuseRuns: true})
		case "heal":
			e.SetFaults(emulator.EngineFaults{})
		default:
			return os.ErrInvalid
		}
	}
	return nil
}

// store full|corrupt|truncate|slow|heal|kill sets the fault of all KV stores.
func store(s *scenario, args []string) error {
	faults := map[string]emulator.KVStoreFaults{
		"full": {Full: true}, "corrupt": {CorruptReads: true}, "truncate": {TruncateWrites: true}, "slow": {LinkSlowdown: 50}, "heal": {},
	}
	f, ok := faults[arg(args, 0)]
	for _, st := range s.dep.Stores {
		switch {
		case arg(args, 0) == "kill":
			st.Kill()
		case !ok:
			return os.ErrInvalid
		default:
			st.SetFaults(f)
		}
	}
	return nil
}

// log down|lose|up sets the fault of the platform's log.
func logFault(s *scenario, args []string) error {
	f, ok := map[string]emulator.LogFaults{"down": {Down: true}, "lose": {DropAppendResponses: true}, "up": {}}[arg(args, 0)]
	if !ok {
		return os.ErrInvalid
	}
	s.dep.Log.SetFaults(f)
	return nil
}

// invariants checks the ground truth of the emulators and the violations that the instances detected.
func invariants(s *scenario, _ []string) error {
	sum := (&tally{}).summary(s.dep)
	if sum.Failed() {
		return fmt.Errorf("%+v", *sum)
	}
	return nil
}

// configVersion returns the latest configuration version in force at any instance.
func (s *scenario) configVersion() int64 {
	v := int64(0)
	for _, in := range s.dep.Instances {
		v = max(v, in.Server.View().ConfigVersion)
	}
	return v
}

// swap VERSION [nowait] publishes another desired weight version, waits until every instance uses the configuration and,
// unless "nowait" is given, until every engine serves the version.
func swap(s *scenario, args []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	desired := int64(intArg(args, 0))
	v, err := s.dep.Publish(ctx, s.configVersion(), "operator", func(c *configurer.Config) { c.Models[0].Version = desired })
	if err != nil {
		return err
	}
	if err := s.dep.AwaitConfigVersion(ctx, v); err != nil || arg(args, 1) == "nowait" {
		return err
	}
	if err := s.dep.AwaitWeightVersion(ctx, desired); err != nil {
		return err
	}
	if p := s.dep.WeightStore.PeakLoads(); p > swapper.MaxConcurrentLoads {
		return fmt.Errorf("%d targets loaded weights concurrently", p)
	}
	return nil
}

// race [nowait] publishes two configurations concurrently, based on the same version; exactly one must be accepted. Unless
// "nowait" is given, it waits until every instance uses the accepted one.
func race(s *scenario, args []string) error {
	base := s.configVersion()
	var wg sync.WaitGroup
	errs := make([]error, 2)
	for i := range errs {
		wg.Go(func() {
			text, err := encode(s.dep.Config)
			if err == nil {
				author := fmt.Sprintf("operator-%d", i)
				_, err = versioner.Publish(s.ctx, &appender.Client{Addr: s.dep.Log.Addr}, base, author, text+"# "+author+"\n")
			}
			errs[i] = err
		})
	}
	wg.Wait()
	var conflict *versioner.BaseConflictError
	if (errs[0] == nil) == (errs[1] == nil) || !errors.As(errors.Join(errs...), &conflict) {
		return fmt.Errorf("want exactly one accepted publication: %w", errors.Join(errs...))
	}
	if arg(args, 0) == "nowait" {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	return s.dep.AwaitConfigVersion(ctx, base+1)
}

// network cut|heal SITE partitions a data centre from all others and the platform, or ends the partition.
func network(s *scenario, args []string) error {
	for _, other := range append([]string{platformSite}, s.dep.Spec.DataCentres...) {
		switch {
		case other == arg(args, 1):
		case arg(args, 0) == "cut":
			s.dep.Network.Partition(arg(args, 1), other)
		default:
			s.dep.Network.Heal(arg(args, 1), other)
		}
	}
	return nil
}

// inforce VERSION [once] waits until every instance uses the given or a later version of the configuration; with "once" it
// checks once and does not wait.
func inForce(s *scenario, args []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	if arg(args, 1) == "once" {
		cancel()
	}
	return s.dep.AwaitConfigVersion(ctx, int64(intArg(args, 0)))
}

// evict empties the prefix cache of every engine.
func evict(s *scenario, _ []string) error {
	for _, e := range s.dep.Engines {
		e.Evict()
	}
	return nil
}

// imported CONVERSATION ACCOUNT evicts all blocks and sends a message, repeatedly until an engine has imported context from a
// store. One message may not be enough: the engine recomputes the context if the store's manifest arrives late, as on a loaded
// machine.
func imported(s *scenario, args []string) error {
	total := func() (n int64) {
		for _, e := range s.dep.Engines {
			n += e.GroundTruth().ImportedTokens
		}
		return n
	}
	deadline := time.Now().Add(requestTimeout)
	for before := total(); total() == before; {
		if time.Now().After(deadline) {
			return errors.New("no engine has imported a block")
		}
		if err := evict(s, nil); err != nil {
			return err
		}
		if err := s.sendMessage(arg(args, 0), arg(args, 1), 20, "", func() {}); err != nil {
			return err
		}
	}
	return nil
}

// exported N waits until the KV stores hold at least N manifests, one for each conversation.
func exported(s *scenario, args []string) error {
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	return waitFor(ctx, "context is exported", func() bool {
		n := 0
		for _, st := range s.dep.Stores {
			n += st.ManifestCount()
		}
		return n >= intArg(args, 0)
	})
}

// order NAME answered|notRun|unknown [INSTANCE] sends an order that must run at most once and checks the reported outcome and
// the runs at the services. An order with a name that was used before is a repetition with the same idempotency key. An
// answered order must have run once, and an order that is reported as not run the first time must not have run.
func checkOrder(s *scenario, args []string) error {
	if s.keys == nil {
		s.keys = map[string]string{}
	}
	name := arg(args, 0)
	key, repeated := s.keys[name], true
	if key == "" {
		key, repeated = ledger.NewKey(time.Now(), uint64(len(s.keys)), 1), false
		s.keys[name] = key
	}
	c := s.client(s.dep.Spec.Accounts[0], arg(args, 2))
	c.MaxAttempts = 1
	ctx, cancel := context.WithTimeout(s.ctx, requestTimeout)
	defer cancel()
	_, err := c.Call(ctx, s.dep.Spec.Service, s.dep.Spec.AtMostOnceOperation, key, []byte(name))
	runs := runsByKey(s.dep)[key]
	var r *caller.Refusal
	outcome := "answered"
	switch {
	case errors.As(err, &r) && r.NotRun:
		outcome = "notRun"
	case err != nil:
		outcome = "unknown"
	}
	switch {
	case outcome != arg(args, 1):
		return fmt.Errorf("reported outcome %s: %w", outcome, err)
	case runs > 1, outcome == "answered" && runs != 1, outcome == "notRun" && runs != 0 && !repeated:
		return fmt.Errorf("reported outcome %s, but the services ran it %d times", outcome, runs)
	}
	return nil
}

// service lose|down|heal sets the fault of all plain services.
func service(s *scenario, args []string) error {
	f, ok := map[string]emulator.ServiceFaults{"lose": {DropResponses: true}, "down": {Down: true}, "heal": {}}[arg(args, 0)]
	if !ok {
		return os.ErrInvalid
	}
	for _, sv := range s.dep.Services {
		sv.SetFaults(f)
	}
	return nil
}
