// Package demonstrator runs a complete deployment with emulated dependencies in one process.
//
// It starts the platform, the KV stores, engines, plain services and entry
// instances of one of the example users. [Demo.Run] plays a seeded workload
// for a set duration, in which idle gaps of hours are shortened to seconds,
// injects faults and summarizes the results as callers saw them. The emulators
// record the ground truth, so that lost responses and duplicate runs are counted
// from what really ran. [Demo.Serve] runs the deployment at real speed until it
// is interrupted.
//
// # Usage
//
//	d := &demonstrator.Demo{User: "trust", Seed: 1, Duration: 40 * time.Second, Out: os.Stdout}
//	sum, err := d.Run(ctx)
package demonstrator

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"time"

	"github.com/papayaworks/papayaworks/internal/asserter"
	"github.com/papayaworks/papayaworks/internal/emulator"
	"github.com/papayaworks/papayaworks/internal/gossiper/certtest"
	"github.com/papayaworks/papayaworks/internal/logger"
	"github.com/papayaworks/papayaworks/internal/questioner"
	"github.com/papayaworks/papayaworks/internal/server"
	"github.com/papayaworks/papayaworks/pkg/configurer"
	"github.com/papayaworks/papayaworks/pkg/recorder"
)

// Spec describes the deployment of a user.
type Spec struct {
	DataCentres         []string
	Instances           int
	Engines             int
	Services            int
	Accounts            []string
	Model               string
	Service             string
	AtMostOnceOperation string
	RetryableOperation  string
	Slots               int
	CacheBlocks         int
	WeightLoadMs        int
	// PrefillTokensPerSec is the rate of an engine, DecodeTokensPerSec the rate of each of its runs.
	PrefillTokensPerSec, DecodeTokensPerSec int
	LinkMiBPerSec                           int
	// Host is the loopback address on which all servers listen; empty means 127.0.0.1.
	Host string

	user func() *questioner.Example
}

// Deployment is a running deployment with its emulators.
type Deployment struct {
	Spec         Spec
	Speed        float64
	Config       *configurer.Config
	Log          *emulator.Log
	InstanceList *emulator.InstanceList
	WeightStore  *emulator.WeightStore
	Network      *emulator.Network
	Engines      []*emulator.Engine
	Services     []*emulator.Service
	Stores       []*emulator.KVStore
	Instances    []*Instance

	tokenKey string
	// authority issues the peer certificates of instances; their files are in the directory certificates.
	authority    *certtest.Authority
	certificates string
	cleanups     []func()
}

// Instance is one entry instance of a [Deployment].
type Instance struct {
	ID       string
	Server   *server.Server
	Recorder *recorder.Recorder
	Asserter *asserter.Asserter
	Settings *configurer.Settings

	ctx    context.Context
	cancel context.CancelFunc
}

// APIKey returns the API key of an account in a demo deployment.
func APIKey(account string) string { return questioner.DemoKey(account) }

// Start starts the emulators and the entry instances of a deployment. Close stops them.
func Start(ctx context.Context, spec Spec, speed float64, log logger.Logger) (*Deployment, error) {
	d := &Deployment{Spec: spec, Speed: speed, tokenKey: randomKey(), Network: emulator.NewNetwork()}
	if err := d.createAuthority(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.startPlatform(); err != nil {
		d.Close()
		return nil, err
	}
	if err := d.startTargets(); err != nil {
		d.Close()
		return nil, err
	}
	d.Config.SetDefaults()
	if fs := d.Config.Validate("demo"); len(fs) > 0 {
		d.Close()
		return nil, fs
	}
	d.assignSites()
	for i := range spec.Instances {
		if _, err := d.StartInstance(ctx, i, log); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// createAuthority creates the certificate authority of the instances, with a directory that Close removes.
func (d *Deployment) createAuthority() (err error) {
	if d.authority, err = certtest.New("papayaworks demo"); err != nil {
		return err
	}
	if d.certificates, err = os.MkdirTemp("", "papayaworks-demo-"); err != nil {
		return err
	}
	d.cleanups = append(d.cleanups, func() { _ = os.RemoveAll(d.certificates) })
	return nil
}

// platformSite is the network site of the platform.
const platformSite = "platform"

// assignSites assigns the addresses of the platform, the targets and the stores to their network sites.
func (d *Deployment) assignSites() {
	d.Network.SetSite(d.Log.Addr, platformSite)
	d.Network.SetSite(d.InstanceList.Addr, platformSite)
	for _, t := range d.Config.Targets {
		d.Network.SetSite(t.Address, t.DataCentre)
	}
	for _, s := range d.Config.Stores {
		d.Network.SetSite(s.Address, s.DataCentre)
	}
}

// listenAddress returns a listen address with a port that the system chooses.
func (d *Deployment) listenAddress() string { return cmp.Or(d.Spec.Host, "127.0.0.1") + ":0" }

func randomKey() string {
	var k [32]byte
	_, _ = rand.Read(k[:])
	return hex.EncodeToString(k[:])
}

func (d *Deployment) startPlatform() error {
	d.Log = &emulator.Log{Addr: d.listenAddress()}
	d.InstanceList = &emulator.InstanceList{Addr: d.listenAddress(), PropagationDelay: 2 * time.Second}
	d.WeightStore = &emulator.WeightStore{Addr: d.listenAddress(), Speed: d.Speed}
	for _, s := range []interface {
		Start() (string, error)
		Kill()
	}{d.Log, d.InstanceList, d.WeightStore} {
		if _, err := s.Start(); err != nil {
			return err
		}
		d.cleanups = append(d.cleanups, s.Kill)
	}
	return nil
}

func (d *Deployment) startTargets() error {
	if err := d.configure(); err != nil {
		return err
	}
	for i := range d.Config.Stores {
		if err := d.startStore(i); err != nil {
			return err
		}
	}
	for i := range d.Config.Targets {
		start := d.startEngine
		if d.Config.Targets[i].Kind == configurer.KindService {
			start = d.startService
		}
		if err := start(&d.Config.Targets[i]); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) dataCentre(i int) string { return d.Spec.DataCentres[i%len(d.Spec.DataCentres)] }

func (d *Deployment) startStore(i int) error {
	const mib = 1 << 20
	c := &d.Config.Stores[i]
	s := &emulator.KVStore{
		Addr: d.listenAddress(),
		ID:   c.ID, LinkBytesPerSec: float64(c.LinkMiBPerSec) * mib, DiskBytesPerSec: float64(c.DiskMiBPerSec) * mib,
		MemoryBytes: int64(c.MemoryMiB) * mib, DiskBytes: int64(c.DiskMiB) * mib, Speed: d.Speed,
	}
	addr, err := s.Start()
	if err != nil {
		return err
	}
	d.Stores, d.cleanups = append(d.Stores, s), append(d.cleanups, s.Kill)
	c.Address = addr
	return nil
}

func (d *Deployment) startEngine(c *configurer.Target) error {
	e := &emulator.Engine{
		Addr: d.listenAddress(),
		ID:   c.ID, Models: map[string]int64{}, Slots: c.Slots, CacheBlocks: c.CacheBlocks,
		PrefillTokensPerSec: float64(d.Spec.PrefillTokensPerSec), DecodeTokensPerSec: float64(d.Spec.DecodeTokensPerSec),
		WeightLoadMs: d.Spec.WeightLoadMs, WeightStoreAddr: d.WeightStore.Addr, LoadReportLag: time.Second, Speed: d.Speed, ChecksFencing: c.ChecksFencing,
	}
	for _, name := range c.Models {
		m, _ := d.Config.Model(name)
		e.Models[name] = m.Version
	}
	addr, err := e.Start()
	if err != nil {
		return err
	}
	d.Engines, d.cleanups = append(d.Engines, e), append(d.cleanups, e.Kill)
	c.Address = addr
	d.InstanceList.Set(emulator.ListEntry{ID: e.ID, Kind: "target", Address: addr, DataCentre: c.DataCentre})
	return nil
}

func (d *Deployment) startService(c *configurer.Target) error {
	s := &emulator.Service{ID: c.ID, Addr: d.listenAddress()}
	addr, err := s.Start()
	if err != nil {
		return err
	}
	d.Services, d.cleanups = append(d.Services, s), append(d.cleanups, s.Kill)
	c.Address = addr
	d.InstanceList.Set(emulator.ListEntry{ID: s.ID, Kind: "target", Address: addr, DataCentre: c.DataCentre})
	return nil
}

// StartInstance starts entry instance i, or a replacement for it with the same ID.
func (d *Deployment) StartInstance(ctx context.Context, i int, log logger.Logger) (*Instance, error) {
	in := &Instance{ID: fmt.Sprintf("%s-%d", d.dataCentre(i), i/len(d.Spec.DataCentres)+1)}
	in.ctx, in.cancel = context.WithCancel(ctx)
	in.Settings = &configurer.Settings{
		Instance: configurer.Instance{
			ID: in.ID, DataCentre: d.dataCentre(i), Listen: d.listenAddress(), PeerListen: d.listenAddress(), Seeds: d.peerAddresses(),
		},
		Platform: configurer.Platform{Log: d.Log.Addr, List: d.InstanceList.Addr},
		Keys:     configurer.Keys{Token: []string{d.tokenKey}},
	}
	cert, err := d.authority.Issue(d.certificates, in.ID)
	if err != nil {
		in.cancel()
		return nil, err
	}
	in.Settings.TLS = configurer.TLS{Certificate: cert.Certificate, Key: cert.Key, Authority: cert.Authority}
	in.Recorder = recorder.New(recorder.NewClock(time.Now), in.ID, 1<<16, nil)
	in.Asserter = &asserter.Asserter{Log: log, Recorder: in.Recorder}
	in.Server = server.New(in.Settings, d.Config, log.WithField("instance", in.ID), in.Recorder, in.Asserter)
	in.Server.Network = d.Network.Site(d.dataCentre(i))
	if err := in.Server.Start(in.ctx); err != nil {
		in.cancel()
		return nil, err
	}
	d.Network.SetSite(in.Server.PeerAddr(), d.dataCentre(i))
	d.Instances = append(d.Instances, in)
	d.InstanceList.Set(emulator.ListEntry{ID: in.ID, Kind: "instance", Address: in.Server.PeerAddr(), DataCentre: d.dataCentre(i)})
	return in, nil
}

// peerAddresses returns the peer addresses of the instances started so far.
func (d *Deployment) peerAddresses() []string {
	var out []string
	for _, in := range d.Instances {
		out = append(out, in.Server.PeerAddr())
	}
	return out
}

// Kill stops the instance without a graceful shutdown, like the death of its process.
func (in *Instance) Kill() {
	in.cancel()
	in.Server.Kill()
}

// Close stops everything that Start and StartInstance started.
func (d *Deployment) Close() {
	for _, in := range d.Instances {
		in.Kill()
	}
	for _, cleanup := range d.cleanups {
		cleanup()
	}
}

// Addresses returns the addresses at which the instances serve callers.
func (d *Deployment) Addresses() []string {
	var out []string
	for _, in := range d.Instances {
		out = append(out, in.Server.Addr())
	}
	return out
}
