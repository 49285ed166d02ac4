package questioner

// Answers is a completed questionnaire.
type Answers struct {
	Deployment   Deployment    `toml:"deployment" ask:"The deployment as a whole."`
	Platform     Platform      `toml:"platform" ask:"What the platform offers."`
	DataCentres  []DataCentre  `toml:"dataCentres" ask:"One entry for each data centre."`
	Links        []Link        `toml:"links" ask:"One entry for each pair of data centres."`
	Models       []Model       `toml:"models" ask:"One entry for each model that the engines serve."`
	Services     []Service     `toml:"services" ask:"One entry for each plain service, such as one that orders couriers."`
	Stores       []Store       `toml:"stores" ask:"One entry for each store instance that keeps context."`
	Targets      []Target      `toml:"targets" ask:"One entry for each target: a model engine or a machine of a plain service."`
	Instances    []Instance    `toml:"instances" ask:"One entry for each entry instance of papayaworks."`
	Applications []Application `toml:"applications" ask:"One entry for each kind of work that callers do."`
	Accounts     []Account     `toml:"accounts" ask:"One entry for each client account: a group of callers with one API key."`
}

// Deployment holds the answers about the whole deployment.
type Deployment struct {
	Name            string   `toml:"name" ask:"What is the deployment called? One word."`
	WeighsMost      string   `toml:"weighsMost" ask:"Which counts most: firstToken (callers wait for the beginning of an answer) or recomputedShare (accelerators should not compute the same context twice)?"`
	MustNeverHappen []string `toml:"mustNeverHappen" ask:"What must never happen? Any of lostAnswer, doubledCall, mixedAccounts, mixedWeights, cutOffAtStop. All are checked while the system runs; an operation that may not be repeated needs doubledCall here."`
}

// Platform holds the answers about the platform.
type Platform struct {
	Log                 string  `toml:"log" ask:"At which IP address and port is the platform's log?"`
	List                string  `toml:"list" ask:"At which IP address and port is the platform's list of instances?"`
	LogRetentionHours   float64 `toml:"logRetentionHours" ask:"For how many hours does the log keep records?"`
	LogAppendsPerSecond int     `toml:"logAppendsPerSecond" ask:"How many appends a second does the log take in all? Half of them are planned for."`
	Certificates        string  `toml:"certificates" ask:"In which directory does each instance find instance.crt, instance.key and authority.crt? Empty: the instances do not join each other, for trials only."`
}

// DataCentre holds the answers about one data centre.
type DataCentre struct {
	Name      string  `toml:"name" ask:"What is the data centre called?"`
	Region    string  `toml:"region" ask:"In which region is it?"`
	CallersMs float64 `toml:"callersMs" ask:"How many milliseconds are callers away, one way?"`
}

// Link holds the answers about the link between two data centres.
type Link struct {
	Between  []string `toml:"between" ask:"Which two data centres?"`
	OneWayMs float64  `toml:"oneWayMs" ask:"How many milliseconds apart are they, one way?"`
}

// Model holds the answers about one model.
type Model struct {
	Name                   string  `toml:"name" ask:"What do callers call the model?"`
	Version                int64   `toml:"version" ask:"Which weight version should the engines serve? A whole number from 1."`
	PrefillTokensPerSecond int     `toml:"prefillTokensPerSecond" ask:"How many tokens of a prompt does one engine compute in a second?"`
	DecodeTokensPerSecond  int     `toml:"decodeTokensPerSecond" ask:"How many tokens of one answer does an engine write in a second?"`
	ContextTokens          int     `toml:"contextTokens" ask:"How many tokens may a prompt and its answer have together?"`
	BytesPerToken          int     `toml:"bytesPerToken" ask:"How many bytes of cache does one token take?"`
	LoadSeconds            float64 `toml:"loadSeconds" ask:"How many seconds does an engine take to load the weights?"`
}

// Service holds the answers about one plain service.
type Service struct {
	Name       string      `toml:"name" ask:"What is the service called in /v1/services/NAME?"`
	Operations []Operation `toml:"operations" ask:"One entry for each operation of the service."`
}

// Operation holds the answers about one operation of a plain service.
type Operation struct {
	Name               string  `toml:"name" ask:"What is the operation called?"`
	MayBeRepeated      bool    `toml:"mayBeRepeated" ask:"May it run twice without harm? An order or a payment may not."`
	IdempotencyKeyFrom string  `toml:"idempotencyKeyFrom" ask:"If not: where does the caller take the idempotency key from? It must be made (a UUIDv7) and saved with the order before the first try, and be the same at every retry."`
	DeadlineSeconds    float64 `toml:"deadlineSeconds" ask:"After how many seconds does the caller give up?"`
}

// Store holds the answers about one store.
type Store struct {
	ID               string `toml:"id" ask:"What is the store called?"`
	Address          string `toml:"address" ask:"At which IP address and port?"`
	DataCentre       string `toml:"dataCentre" ask:"In which data centre?"`
	MemoryMiB        int    `toml:"memoryMiB" ask:"How many MiB of memory does it offer?"`
	DiskMiB          int    `toml:"diskMiB" ask:"How many MiB of disk does it offer?"`
	LinkMiBPerSecond int    `toml:"linkMiBPerSecond" ask:"How many MiB a second does the link in front of it carry?"`
	DiskMiBPerSecond int    `toml:"diskMiBPerSecond" ask:"How many MiB a second does its disk deliver?"`
	DisabledReason   string `toml:"disabledReason" ask:"If it should not be used for now: why? Empty: it is used."`
}

// Target holds the answers about one target.
type Target struct {
	ID            string   `toml:"id" ask:"What is the target called?"`
	Address       string   `toml:"address" ask:"At which IP address and port?"`
	DataCentre    string   `toml:"dataCentre" ask:"In which data centre?"`
	Models        []string `toml:"models" ask:"Which models does it serve? Empty for a plain service."`
	Services      []string `toml:"services" ask:"Which plain services does it offer? Empty for a model engine."`
	Store         string   `toml:"store" ask:"Which store is beside it?"`
	ParallelRuns  int      `toml:"parallelRuns" ask:"How many requests does it work on at a time?"`
	CacheBlocks   int      `toml:"cacheBlocks" ask:"How many blocks of about 2,000 tokens does its cache hold? 0 for a plain service."`
	ChecksFencing bool     `toml:"checksFencing" ask:"Does it refuse commands with an old fencing number?"`
	Leaving       bool     `toml:"leaving" ask:"Should it get no new work, because it will be stopped or replaced?"`
}

// Instance holds the answers about one entry instance.
type Instance struct {
	ID         string `toml:"id" ask:"What is the instance called?"`
	DataCentre string `toml:"dataCentre" ask:"In which data centre?"`
	Listen     string `toml:"listen" ask:"At which IP address and port do callers reach it?"`
	PeerListen string `toml:"peerListen" ask:"At which IP address and port do other instances reach it (UDP)?"`
}

// Application holds the answers about one application: a kind of work with typical request sizes and objectives.
type Application struct {
	Name            string   `toml:"name" ask:"What is the work called?"`
	Does            string   `toml:"does" ask:"What does it do, in a sentence?"`
	Model           string   `toml:"model" ask:"Which model does it use? Empty if it only calls plain services."`
	Operations      []string `toml:"operations" ask:"Which operations does it call, as service/operation?"`
	NewTokens       int      `toml:"newTokens" ask:"How many tokens does a typical request add to its conversation?"`
	ContextTokens   int      `toml:"contextTokens" ask:"How many tokens has the whole conversation, typically?"`
	AnswerTokens    int      `toml:"answerTokens" ask:"How many tokens has a typical answer?"`
	FirstTokenMs    int      `toml:"firstTokenMs" ask:"Within how many milliseconds must the answer begin, for 95 of 100 requests?"`
	DeadlineSeconds float64  `toml:"deadlineSeconds" ask:"After how many seconds is an answer of no use any more?"`
}

// Account holds the answers about one client account.
type Account struct {
	Name                  string   `toml:"name" ask:"What is the account called?"`
	Callers               string   `toml:"callers" ask:"Who are its callers?"`
	KeySHA256             string   `toml:"keySHA256" ask:"What is the SHA-256 of its API key, in hexadecimal? The key itself is never written down here."`
	Applications          []string `toml:"applications" ask:"Which kinds of work does it do? Its requests are taken to be spread over them evenly."`
	SharePercent          float64  `toml:"sharePercent" ask:"Which part of the capacity is it due when everybody wants more than there is? At least 0.01, all accounts together at most 100."`
	RequestsPerSecond     float64  `toml:"requestsPerSecond" ask:"How many requests a second are promised to be on time? All accounts together must fit the engines."`
	PeakRequestsPerSecond float64  `toml:"peakRequestsPerSecond" ask:"How many requests a second may it send while others leave room? More are refused at once."`
}
