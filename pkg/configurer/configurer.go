// Package configurer holds the types of the settings of an instance and of the
// published configuration, decodes both strictly and validates them.
//
// Settings belong to one process: its name, data centre, addresses and keys.
// They are read once from a file. The configuration belongs to the whole
// deployment: models, targets, stores, client accounts, services. It is
// published on the platform's log as TOML text, and every instance adopts the
// same version of it. Both use camelCase keys; an unknown key is an error.
//
// # Usage
//
//	s, err := configurer.LoadSettings("instance.toml")
//	cfg, err := configurer.Parse("answers.toml", text) // decodes, sets defaults, validates
//
// Validation reports every fault at once, each with the key's path, the value,
// what is allowed and, where it is known, the file and line.
package configurer

import "time"

// Settings are the settings of one instance.
type Settings struct {
	Instance Instance `toml:"instance" comment:"Who this process is and where it listens."`
	Platform Platform `toml:"platform" comment:"Addresses of the platform's services."`
	TLS      TLS      `toml:"tls" comment:"Certificates between instances."`
	Keys     Keys     `toml:"keys" comment:"Keys of the tokens that callers carry."`
	Logging  Logging  `toml:"logging" comment:"Logs and time-line events."`
	// Configuration is a file with a first configuration, used until one was read from the log or a peer.
	Configuration string `toml:"configuration"`
}

// Instance names the process and its addresses.
type Instance struct {
	ID         string   `toml:"id"`
	DataCentre string   `toml:"dataCentre"`
	Listen     string   `toml:"listen"`
	PeerListen string   `toml:"peerListen"`
	Seeds      []string `toml:"seeds"`
}

// Platform holds the addresses of the platform's services.
type Platform struct {
	Log  string `toml:"log"`
	List string `toml:"list"`
}

// TLS names the files of the certificates between instances; all empty means a fresh self-signed one for tests.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Keys holds the hexadecimal keys of callers' tokens; the first signs, all verify.
type Keys struct {
	Token []string `toml:"token"`
}

// Logging says what is logged and where events go.
type Logging struct {
	Level     string `toml:"level"`
	EventFile string `toml:"eventFile"`
}

// Config is the published configuration of a deployment.
type Config struct {
	Deployment  Deployment   `toml:"deployment"`
	DataCentres []DataCentre `toml:"dataCentres"`
	Models      []Model      `toml:"models"`
	Stores      []Store      `toml:"stores"`
	Targets     []Target     `toml:"targets"`
	Services    []Service    `toml:"services"`
	Accounts    []Account    `toml:"accounts"`
	Limits      Limits       `toml:"limits"`
	Ledger      Ledger       `toml:"ledger"`
	Timing      Timing       `toml:"timing"`
}

// Deployment names the deployment.
type Deployment struct {
	Name string `toml:"name"`
}

// DataCentre is one data centre and its region.
type DataCentre struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// Model is one model and the weight version that its targets are wanted to serve.
type Model struct {
	Name                   string `toml:"name"`
	Version                int64  `toml:"version"`
	PrefillTokensPerSecond int    `toml:"prefillTokensPerSecond"`
	DecodeTokensPerSecond  int    `toml:"decodeTokensPerSecond"`
	ContextTokens          int    `toml:"contextTokens"`
	BytesPerToken          int    `toml:"bytesPerToken"`
	LoadMs                 int    `toml:"loadMs"`
}

// Store is one store instance with the rate of the link in front of it.
type Store struct {
	ID             string `toml:"id"`
	Address        string `toml:"address"`
	DataCentre     string `toml:"dataCentre"`
	MemoryMiB      int    `toml:"memoryMiB"`
	DiskMiB        int    `toml:"diskMiB"`
	LinkMiBPerSec  int    `toml:"linkMiBPerSecond"`
	DiskMiBPerSec  int    `toml:"diskMiBPerSecond"`
	DisabledReason string `toml:"disabledReason"`
}

// The kinds of targets.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// Target is one back end: a model engine or a plain service.
type Target struct {
	ID             string   `toml:"id"`
	Address        string   `toml:"address"`
	DataCentre     string   `toml:"dataCentre"`
	Kind           string   `toml:"kind"`
	Models         []string `toml:"models"`
	Services       []string `toml:"services"`
	Store          string   `toml:"store"`
	Slots          int      `toml:"slots"`
	CacheBlocks    int      `toml:"cacheBlocks"`
	ChecksFencing  bool     `toml:"checksFencing"`
	Leaving        bool     `toml:"leaving"`
	MaxQueueLength int      `toml:"maxQueueLength"`
}

// Service is one plain service and its operations.
type Service struct {
	Name       string      `toml:"name"`
	Operations []Operation `toml:"operations"`
}

// Operation is one operation of a plain service.
type Operation struct {
	Name       string `toml:"name"`
	Repeatable bool   `toml:"repeatable"`
	DeadlineMs int    `toml:"deadlineMs"`
}

// Account is one client account, its weight under overload and its limits.
type Account struct {
	Name              string `toml:"name"`
	KeySHA256         string `toml:"keySHA256"`
	Share             int    `toml:"share"`
	Priority          int    `toml:"priority"`
	FirstTokenMs      int    `toml:"firstTokenMs"`
	DeadlineMs        int    `toml:"deadlineMs"`
	RequestsPerSecond int    `toml:"requestsPerSecond"`
	TokensPerSecond   int    `toml:"tokensPerSecond"`
	Streams           int    `toml:"streams"`
}

// Limits bounds what one request may use.
type Limits struct {
	MaxBodyBytes      int `toml:"maxBodyBytes"`
	MaxOutputTokens   int `toml:"maxOutputTokens"`
	StreamBufferBytes int `toml:"streamBufferBytes"`
}

// Ledger configures the ledger of calls that may not be repeated.
type Ledger struct {
	Partitions       int `toml:"partitions"`
	RetentionMinutes int `toml:"retentionMinutes"`
	AppendsPerSecond int `toml:"appendsPerSecond"`
}

// Timing holds the periods of control work.
type Timing struct {
	GossipMs      int `toml:"gossipMs"`
	LoadReportMs  int `toml:"loadReportMs"`
	ListMs        int `toml:"listMs"`
	LeaseMs       int `toml:"leaseMs"`
	DrainMs       int `toml:"drainMs"`
	SnapshotHours int `toml:"snapshotHours"`
}

// Milliseconds converts a setting in milliseconds.
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

// Operation returns an operation of a service.
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
