package configurer

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// validator collects the faults of values that have the right type.
type validator struct {
	file   string
	faults Faults
}

func (v *validator) add(key string, value any, allowed string) {
	v.faults = append(v.faults, Fault{File: v.file, Key: key, Value: fmt.Sprintf("%#v", value), Allowed: allowed})
}

func (v *validator) atLeast(key string, n, minimum int) {
	if n < minimum {
		v.add(key, n, fmt.Sprintf("must be at least %d", minimum))
	}
}

func (v *validator) name(key, s string) {
	if s == "" || strings.ContainsAny(s, " \t\n/\"") {
		v.add(key, s, "must be a name without spaces, slashes or quotes")
	}
}

func (v *validator) address(key, s string) {
	if _, err := netip.ParseAddrPort(s); err != nil {
		v.add(key, s, "must be an IP address with a port, such as 127.0.0.1:8080")
	}
}

func (v *validator) oneOf(key, s string, allowed []string) {
	if !slices.Contains(allowed, s) {
		v.add(key, s, "must be one of "+strings.Join(allowed, ", "))
	}
}

func (v *validator) unique(seen map[string]bool, key, s string) {
	if seen[s] {
		v.add(key, s, "must be unique")
	}
	seen[s] = true
}

// Validate returns all faults of the settings; file is used only in them.
func (s *Settings) Validate(file string) Faults {
	v := &validator{file: file}
	v.name("instance.id", s.Instance.ID)
	v.name("instance.dataCentre", s.Instance.DataCentre)
	v.address("instance.listen", s.Instance.Listen)
	if s.Instance.PeerListen != "" {
		v.address("instance.peerListen", s.Instance.PeerListen)
	}
	for i, a := range s.Instance.Seeds {
		v.address(fmt.Sprintf("instance.seeds[%d]", i), a)
	}
	if s.Platform.Log != "" {
		v.address("platform.log", s.Platform.Log)
	}
	if s.Platform.List != "" {
		v.address("platform.list", s.Platform.List)
	}
	v.oneOf("logging.level", s.Logging.Level, []string{"debug", "info", "warning", "error"})
	if len(s.Keys.Token) == 0 {
		v.add("keys.token", s.Keys.Token, "must contain at least one key of at least 32 bytes in hexadecimal, the same at every instance")
	}
	for i, k := range s.Keys.Token {
		if raw, err := hex.DecodeString(k); err != nil || len(raw) < 32 {
			v.add(fmt.Sprintf("keys.token[%d]", i), "(secret)", "must be at least 32 bytes in hexadecimal")
		}
	}
	given := 0
	for _, f := range []string{s.TLS.Certificate, s.TLS.Key, s.TLS.Authority} {
		if f != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		v.add("tls", "", "certificate, key and authority must be given together")
	}
	return v.faults
}

// Validate returns all faults of the configuration; file is used only in them.
func (c *Config) Validate(file string) Faults {
	v := &validator{file: file}
	v.name("deployment.name", c.Deployment.Name)
	centres := c.validateDataCentres(v)
	models := c.validateModels(v)
	stores := c.validateStores(v, centres)
	services := c.validateServices(v)
	c.validateTargets(v, centres, models, stores, services)
	c.validateAccounts(v)
	v.atLeast("limits.maxBodyBytes", c.Limits.MaxBodyBytes, 1024)
	v.atLeast("limits.maxOutputTokens", c.Limits.MaxOutputTokens, 1)
	v.atLeast("limits.streamBufferBytes", c.Limits.StreamBufferBytes, 4096)
	if c.Ledger.Partitions < 1 || c.Ledger.Partitions > 256 {
		v.add("ledger.partitions", c.Ledger.Partitions, "must be from 1 to 256")
	}
	v.atLeast("ledger.retentionMinutes", c.Ledger.RetentionMinutes, 20)
	v.atLeast("ledger.appendsPerSecond", c.Ledger.AppendsPerSecond, 1)
	v.atLeast("timing.gossipMs", c.Timing.GossipMs, 10)
	v.atLeast("timing.loadReportMs", c.Timing.LoadReportMs, 10)
	v.atLeast("timing.listMs", c.Timing.ListMs, 10)
	v.atLeast("timing.leaseMs", c.Timing.LeaseMs, 500)
	v.atLeast("timing.drainMs", c.Timing.DrainMs, 1000)
	v.atLeast("timing.snapshotHours", c.Timing.SnapshotHours, 1)
	return v.faults
}

func (c *Config) validateDataCentres(v *validator) []string {
	seen, names := map[string]bool{}, []string{}
	for i, d := range c.DataCentres {
		key := fmt.Sprintf("dataCentres[%d].", i)
		v.name(key+"name", d.Name)
		v.name(key+"region", d.Region)
		v.unique(seen, key+"name", d.Name)
		names = append(names, d.Name)
	}
	if len(names) == 0 {
		v.add("dataCentres", "[]", "must name at least one data centre")
	}
	return names
}

func (c *Config) validateModels(v *validator) []string {
	seen, names := map[string]bool{}, []string{}
	for i, m := range c.Models {
		key := fmt.Sprintf("models[%d].", i)
		v.name(key+"name", m.Name)
		v.unique(seen, key+"name", m.Name)
		v.atLeast(key+"version", int(m.Version), 1)
		v.atLeast(key+"prefillTokensPerSecond", m.PrefillTokensPerSecond, 1)
		v.atLeast(key+"decodeTokensPerSecond", m.DecodeTokensPerSecond, 1)
		v.atLeast(key+"contextTokens", m.ContextTokens, 1)
		v.atLeast(key+"bytesPerToken", m.BytesPerToken, 1)
		v.atLeast(key+"loadMs", m.LoadMs, 1)
		names = append(names, m.Name)
	}
	return names
}

func (c *Config) validateStores(v *validator, centres []string) []string {
	seen, ids := map[string]bool{}, []string{}
	for i, s := range c.Stores {
		key := fmt.Sprintf("stores[%d].", i)
		v.name(key+"id", s.ID)
		v.unique(seen, key+"id", s.ID)
		v.address(key+"address", s.Address)
		v.oneOf(key+"dataCentre", s.DataCentre, centres)
		v.atLeast(key+"memoryMiB", s.MemoryMiB, 1)
		v.atLeast(key+"diskMiB", s.DiskMiB, 1)
		v.atLeast(key+"linkMiBPerSecond", s.LinkMiBPerSec, 1)
		v.atLeast(key+"diskMiBPerSecond", s.DiskMiBPerSec, 1)
		ids = append(ids, s.ID)
	}
	return ids
}

func (c *Config) validateServices(v *validator) []string {
	seen, names := map[string]bool{}, []string{}
	for i, s := range c.Services {
		key := fmt.Sprintf("services[%d].", i)
		v.name(key+"name", s.Name)
		v.unique(seen, key+"name", s.Name)
		ops := map[string]bool{}
		for j, o := range s.Operations {
			v.name(fmt.Sprintf("%soperations[%d].name", key, j), o.Name)
			v.unique(ops, fmt.Sprintf("%soperations[%d].name", key, j), o.Name)
			v.atLeast(fmt.Sprintf("%soperations[%d].deadlineMs", key, j), o.DeadlineMs, 1)
		}
		names = append(names, s.Name)
	}
	return names
}

func (c *Config) validateTargets(v *validator, centres, models, stores, services []string) {
	seen := map[string]bool{}
	for i, t := range c.Targets {
		key := fmt.Sprintf("targets[%d].", i)
		v.name(key+"id", t.ID)
		v.unique(seen, key+"id", t.ID)
		v.address(key+"address", t.Address)
		v.oneOf(key+"dataCentre", t.DataCentre, centres)
		v.oneOf(key+"kind", t.Kind, []string{KindEngine, KindService})
		for j, m := range t.Models {
			v.oneOf(fmt.Sprintf("%smodels[%d]", key, j), m, models)
		}
		for j, s := range t.Services {
			v.oneOf(fmt.Sprintf("%sservices[%d]", key, j), s, services)
		}
		if t.Store != "" {
			v.oneOf(key+"store", t.Store, stores)
		}
		if t.Kind == KindEngine && len(t.Models) == 0 {
			v.add(key+"models", "[]", "an engine must name at least one model")
		}
		if t.Kind == KindService && len(t.Services) == 0 {
			v.add(key+"services", "[]", "a service target must name at least one service")
		}
		v.atLeast(key+"slots", t.Slots, 1)
		v.atLeast(key+"cacheBlocks", t.CacheBlocks, 1)
		v.atLeast(key+"maxQueueLength", t.MaxQueueLength, 1)
	}
}

func (c *Config) validateAccounts(v *validator) {
	names, keys := map[string]bool{}, map[string]bool{}
	for i, a := range c.Accounts {
		key := fmt.Sprintf("accounts[%d].", i)
		v.name(key+"name", a.Name)
		v.unique(names, key+"name", a.Name)
		if raw, err := hex.DecodeString(a.KeySHA256); err != nil || len(raw) != 32 {
			v.add(key+"keySHA256", a.KeySHA256, "must be the SHA-256 of the account's API key in hexadecimal")
		}
		v.unique(keys, key+"keySHA256", a.KeySHA256)
		v.atLeast(key+"share", a.Share, 1)
		v.atLeast(key+"firstTokenMs", a.FirstTokenMs, 1)
		v.atLeast(key+"deadlineMs", a.DeadlineMs, a.FirstTokenMs)
		v.atLeast(key+"requestsPerSecond", a.RequestsPerSecond, 1)
		v.atLeast(key+"tokensPerSecond", a.TokensPerSecond, 1)
		v.atLeast(key+"streams", a.Streams, 1)
	}
}
