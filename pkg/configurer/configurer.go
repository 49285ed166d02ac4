// Package configurer defines the settings of an instance and the published
// configuration of a deployment, decodes both strictly and validates them.
//
// Settings apply to one process: its name, data centre, addresses and keys.
// They are read once from a file. The configuration applies to the whole
// deployment: models, targets, stores, client accounts, services. It is
// published on the platform's log as TOML text, and every instance adopts the
// same version of it. Both use camelCase keys; an unknown key is an error.
//
// # Usage
//
//	s, err := configurer.LoadSettings("instance.toml")
//	cfg, err := configurer.Parse("config.toml", text) // decodes, sets defaults, validates
//
// Decoding and validation report all faults at once as a [Faults] error. Each
// fault has the path of the key, its value, what is allowed and, if known, the
// file and line.
package configurer

import "time"

// Settings are the settings of one instance.
type Settings struct {
	Instance      Instance `toml:"instance" comment:"Who this process is and where it listens."`
	Platform      Platform `toml:"platform" comment:"Addresses of the platform's services."`
	TLS           TLS      `toml:"tls" comment:"Certificates between instances; all empty: the instance joins no other one."`
	Keys          Keys     `toml:"keys" comment:"Keys of the tokens that callers carry."`
	Logging       Logging  `toml:"logging" comment:"Logs and time-line events."`
	Configuration string   `toml:"configuration" comment:"File with a first configuration, used until one was read from the log or a peer; may be empty."`
}

// Instance identifies the process and its addresses.
type Instance struct {
	ID         string   `toml:"id" comment:"Name of the instance, unique in the deployment; no spaces, slashes or quotes."`
	DataCentre string   `toml:"dataCentre" comment:"Data centre that the instance is in; one of dataCentres of the configuration."`
	Listen     string   `toml:"listen" comment:"IP address and port for callers and admin pages."`
	PeerListen string   `toml:"peerListen" comment:"IP address and UDP port for other instances; empty: the instance joins no other one."`
	Seeds      []string `toml:"seeds" comment:"peerListen of some other instances, to join by while the platform's list is not reachable."`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log  string `toml:"log" comment:"IP address and port of the platform's log; empty: no configuration is followed and calls that may not be repeated are refused."`
	List string `toml:"list" comment:"IP address and port of the platform's list of instances and targets; may be empty."`
}

// TLS has the PEM files for mutual TLS between instances. If all are empty, the instance does not join any other
// instance.
type TLS struct {
	Certificate string `toml:"certificate" comment:"PEM file of the instance's certificate."`
	Key         string `toml:"key" comment:"PEM file of its private key."`
	Authority   string `toml:"authority" comment:"PEM file of the authority that signs the certificates of all instances."`
}

// Keys holds the hexadecimal signing keys of the tokens issued to callers. The first key signs; every key verifies, which
// allows key rotation.
type Keys struct {
	Token []string `toml:"token" comment:"Secret keys of at least 32 bytes in hexadecimal, the same at every instance; the first signs, all verify."`
}

// Logging configures the log level and the event file.
type Logging struct {
	Level     string `toml:"level" comment:"debug, info, warning or error."`
	EventFile string `toml:"eventFile" comment:"File to which time-line events are appended, one JSON object a line; may be empty."`
}

// Config is the published configuration of a deployment.
type Config struct {
	Deployment  Deployment   `toml:"deployment" comment:"The deployment as a whole."`
	DataCentres []DataCentre `toml:"dataCentres" comment:"The data centres."`
	Models      []Model      `toml:"models" comment:"The models that engines serve."`
	Stores      []Store      `toml:"stores" comment:"The stores that keep context."`
	Targets     []Target     `toml:"targets" comment:"The targets: model engines and machines of plain services."`
	Services    []Service    `toml:"services" comment:"The plain services."`
	Accounts    []Account    `toml:"accounts" comment:"The client accounts."`
	Limits      Limits       `toml:"limits" comment:"Bounds of one request."`
	Ledger      Ledger       `toml:"ledger" comment:"The ledger of calls that may not be repeated."`
	Timing      Timing       `toml:"timing" comment:"Periods of control work."`
}

// Deployment identifies the deployment.
type Deployment struct {
	Name string `toml:"name" comment:"Name of the deployment."`
}

// DataCentre is one data centre and its region.
type DataCentre struct {
	Name   string `toml:"name" comment:"Name of the data centre, unique."`
	Region string `toml:"region" comment:"Region that it is in."`
}

// Model is one model with the desired weight version of its targets.
type Model struct {
	Name                   string `toml:"name" comment:"Name that callers give in model, unique."`
	Version                int64  `toml:"version" comment:"Weight version that the engines should serve, from 1."`
	PrefillTokensPerSecond int    `toml:"prefillTokensPerSecond" comment:"Tokens of a prompt that one engine computes in a second."`
	DecodeTokensPerSecond  int    `toml:"decodeTokensPerSecond" comment:"Tokens of one answer that an engine writes in a second."`
	ContextTokens          int    `toml:"contextTokens" comment:"Tokens that a prompt and its answer may have together."`
	BytesPerToken          int    `toml:"bytesPerToken" comment:"Bytes of cache that one token takes."`
	LoadMs                 int    `toml:"loadMs" comment:"Milliseconds in which an engine loads the weights."`
}

// Store is one KV store instance with its capacity and transfer rates.
type Store struct {
	ID             string `toml:"id" comment:"Name of the store, unique."`
	Address        string `toml:"address" comment:"IP address and port."`
	DataCentre     string `toml:"dataCentre" comment:"Data centre that it is in."`
	MemoryMiB      int    `toml:"memoryMiB" comment:"MiB of its memory tier."`
	DiskMiB        int    `toml:"diskMiB" comment:"MiB of its disk tier."`
	LinkMiBPerSec  int    `toml:"linkMiBPerSecond" comment:"MiB a second of the link in front of it."`
	DiskMiBPerSec  int    `toml:"diskMiBPerSecond" comment:"MiB a second of its disk."`
	DisabledReason string `toml:"disabledReason" comment:"Why it is not used; empty: it is used."`
}

// The kinds of targets.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Target is one back end: a model engine or a plain service.
type Target struct {
	ID             string   `toml:"id" comment:"Name of the target, unique."`
	Address        string   `toml:"address" comment:"IP address and port."`
	DataCentre     string   `toml:"dataCentre" comment:"Data centre that it is in."`
	Kind           string   `toml:"kind" comment:"engine or service."`
	Models         []string `toml:"models" comment:"Models that an engine serves; at least one."`
	Services       []string `toml:"services" comment:"Plain services that a service target offers; at least one."`
	Store          string   `toml:"store" comment:"Store beside it; may be empty."`
	Slots          int      `toml:"slots" comment:"Requests that it works on at a time."`
	CacheBlocks    int      `toml:"cacheBlocks" comment:"Blocks of about 2,000 tokens that an engine's cache holds."`
	ChecksFencing  bool     `toml:"checksFencing" comment:"Whether it refuses commands with an old fencing number."`
	Leaving        bool     `toml:"leaving" comment:"Whether it gets no new work, because it will be stopped or replaced."`
	MaxQueueLength int      `toml:"maxQueueLength" comment:"Requests that may wait at it."`
}

// Service is one plain service and its operations.
type Service struct {
	Name       string      `toml:"name" comment:"Name in /v1/services/NAME, unique."`
	Operations []Operation `toml:"operations" comment:"The operations of the service."`
}

// Operation is one operation of a plain service.
type Operation struct {
	Name       string `toml:"name" comment:"Name of the operation, unique in the service."`
	Repeatable bool   `toml:"repeatable" comment:"Whether it may run twice without harm; if not, callers must send an Idempotency-Key."`
	DeadlineMs int    `toml:"deadlineMs" comment:"Milliseconds that a call may take."`
}

// Account is one client account with its fair-share weight, latency objective and limits.
type Account struct {
	Name              string `toml:"name" comment:"Name of the account, unique."`
	KeySHA256         string `toml:"keySHA256" comment:"SHA-256 of the account's API key in hexadecimal, unique."`
	Share             int    `toml:"share" comment:"Weight of the account when there is less capacity than everybody wants."`
	Priority          int    `toml:"priority" comment:"Engines begin waiting requests with a higher priority earlier."`
	FirstTokenMs      int    `toml:"firstTokenMs" comment:"Target of the time to first token in milliseconds."`
	DeadlineMs        int    `toml:"deadlineMs" comment:"Milliseconds after which an answer is of no use; at least firstTokenMs."`
	RequestsPerSecond int    `toml:"requestsPerSecond" comment:"Requests a second that are accepted in the whole deployment."`
	TokensPerSecond   int    `toml:"tokensPerSecond" comment:"Tokens of prompts and answers a second that are accepted in the whole deployment."`
	Streams           int    `toml:"streams" comment:"Answers at a time."`
}

// Limits bounds the resources of one request.
type Limits struct {
	MaxBodyBytes      int `toml:"maxBodyBytes" comment:"Bytes of a request's body; at least 1024."`
	MaxOutputTokens   int `toml:"maxOutputTokens" comment:"Tokens of an answer; at least 1."`
	StreamBufferBytes int `toml:"streamBufferBytes" comment:"Bytes that a slow reader may be behind before it is disconnected; at least 4096."`
}

// Ledger configures the ledger, which deduplicates calls of non-repeatable operations.
type Ledger struct {
	Partitions       int `toml:"partitions" comment:"Log streams that keys are divided into, from 1 to 256; cannot change while the deployment runs."`
	RetentionMinutes int `toml:"retentionMinutes" comment:"Minutes that the log keeps records; at least 20."`
	AppendsPerSecond int `toml:"appendsPerSecond" comment:"Appends a second that all instances together may send."`
}

// Timing holds the intervals and time-outs of background tasks.
type Timing struct {
	GossipMs      int `toml:"gossipMs" comment:"Milliseconds between two messages of an instance to its peers; at least 10."`
	LoadReportMs  int `toml:"loadReportMs" comment:"Milliseconds between two reads of a target's load; at least 10."`
	ListMs        int `toml:"listMs" comment:"Milliseconds between two reads of the platform's list; at least 10."`
	LeaseMs       int `toml:"leaseMs" comment:"Milliseconds that a lease lasts; at least 500."`
	DrainMs       int `toml:"drainMs" comment:"Milliseconds that a stopping instance waits for its requests; at least 1000."`
	SnapshotHours int `toml:"snapshotHours" comment:"Hours after which the configuration is written to the log again; at least 1."`
}

// Milliseconds converts a setting in milliseconds to a duration.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Account returns the account with the name.
func (c *Config) Account(name string) (Account, bool) {
	return find(c.Accounts, func(a Account) bool { return a.Name == name })
}

// Model returns the model with the name.
func (c *Config) Model(name string) (Model, bool) {
	return find(c.Models, func(m Model) bool { return m.Name == name })
}

// Target returns the target with the id.
func (c *Config) Target(id string) (Target, bool) {
	return find(c.Targets, func(t Target) bool { return t.ID == id })
}

// Store returns the store with the id.
func (c *Config) Store(id string) (Store, bool) {
	return find(c.Stores, func(s Store) bool { return s.ID == id })
}

// Operation returns the operation of the service with the name.
func (c *Config) Operation(service, operation string) (Operation, bool) {
	s, ok := find(c.Services, func(s Service) bool { return s.Name == service })
	if !ok {
		return Operation{}, false
	}
	return find(s.Operations, func(o Operation) bool { return o.Name == operation })
}

func find[T any](list []T, match func(T) bool) (T, bool) {
	for _, v := range list {
		if match(v) {
			return v, true
		}
	}
	var zero T
	return zero, false
}
