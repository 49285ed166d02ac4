package configurer

// SetDefaults sets each setting that has a default and is zero.
func (s *Settings) SetDefaults() {
	setDefault(&s.Logging.Level, "info")
	setDefault(&s.Instance.Listen, "127.0.0.1:8080")
}

// SetDefaults sets each value that has a default and is zero.
func (c *Config) SetDefaults() {
	setDefault(&c.Limits.MaxBodyBytes, 4<<20)
	setDefault(&c.Limits.MaxOutputTokens, 4096)
	setDefault(&c.Limits.StreamBufferBytes, 256<<10)
	setDefault(&c.Ledger.Partitions, 1)
	setDefault(&c.Ledger.RetentionMinutes, 24*60)
	setDefault(&c.Ledger.AppendsPerSecond, 200)
	setDefault(&c.Timing.GossipMs, 1000)
	setDefault(&c.Timing.LoadReportMs, 1000)
	setDefault(&c.Timing.ListMs, 5000)
	setDefault(&c.Timing.LeaseMs, 5000)
	setDefault(&c.Timing.DrainMs, 60000)
	setDefault(&c.Timing.SnapshotHours, 12)
	for i := range c.Models {
		setModelDefaults(&c.Models[i])
	}
	for i := range c.Stores {
		s := &c.Stores[i]
		setDefault(&s.MemoryMiB, 1024)
		setDefault(&s.DiskMiB, 8192)
		setDefault(&s.LinkMiBPerSec, 250)
		setDefault(&s.DiskMiBPerSec, 100)
	}
	for i := range c.Targets {
		t := &c.Targets[i]
		setDefault(&t.Slots, 8)
		setDefault(&t.CacheBlocks, 64)
		setDefault(&t.MaxQueueLength, 64)
	}
	for i := range c.Accounts {
		a := &c.Accounts[i]
		setDefault(&a.Share, 1)
		setDefault(&a.FirstTokenMs, 550)
		setDefault(&a.DeadlineMs, 60000)
		setDefault(&a.RequestsPerSecond, 50)
		setDefault(&a.TokensPerSecond, 20000)
		setDefault(&a.Streams, 64)
	}
	for i := range c.Services {
		for j := range c.Services[i].Operations {
			setDefault(&c.Services[i].Operations[j].DeadlineMs, 10000)
		}
	}
}

func setModelDefaults(m *Model) {
	setDefault(&m.Version, 1)
	setDefault(&m.PrefillTokensPerSecond, 20000)
	setDefault(&m.DecodeTokensPerSecond, 50)
	setDefault(&m.ContextTokens, 131072)
	setDefault(&m.BytesPerToken, 2048)
	setDefault(&m.LoadMs, 250)
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
