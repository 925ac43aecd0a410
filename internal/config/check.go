package config

import (
	"encoding/hex"
	"net"
	"net/url"
	"strings"

	"sassafrasplank.example/sassafrasplank/pkg/finding"
)

const sha256Bytes = 32

// locator returns the place of a JSON pointer in the settings.
type locator func(pointer string) finding.Place

// checker collects the findings about one set of settings.
type checker struct {
	locate   locator
	findings finding.List
}

func (c *Config) check(locate locator) finding.List {
	k := &checker{locate: locate}
	k.require(c.Host != "", "/host", "host: a name is required")
	k.require(c.FailureDomain != "", "/failureDomain", "failureDomain: a name is required")
	k.require(knownLevel(c.LogLevel), "/logLevel", "logLevel: want debug, info, warn or error, got %q", c.LogLevel)
	c.checkListeners(k)
	c.checkPlatform(k)
	c.checkLimits(k)
	c.checkTimes(k)
	k.findings.Sort()
	return k.findings
}

func (c *Config) checkListeners(k *checker) {
	k.address(c.Callers.Listen, "/callers/listen")
	k.address(c.Operators.Listen, "/operators/listen")
	k.address(c.Peers.Listen, "/peers/listen")
	if c.Peers.Advertise != "" {
		k.url(c.Peers.Advertise, "/peers/advertise")
	}
	fixedPort := !strings.HasSuffix(c.Callers.Listen, ":0")
	sameAddress := c.Callers.Listen == c.Operators.Listen
	k.require(!fixedPort || !sameAddress, "/operators/listen", "operators.listen: is the same as callers.listen, %s", c.Callers.Listen)
	for i, key := range c.Operators.Keys {
		raw, err := hex.DecodeString(key.SHA256)
		valid := err == nil && len(raw) == sha256Bytes && key.Name != ""
		k.require(valid, "/operators/keys", "operators.keys[%d]: want a name and 64 hexadecimal digits", i)
	}
}

func (c *Config) checkPlatform(k *checker) {
	k.url(c.Platform.TableURL, "/platform/tableURL")
	k.url(c.Platform.ObjectURL, "/platform/objectURL")
	k.url(c.Platform.HostListURL, "/platform/hostListURL")
	k.positive(c.Platform.ReadsPerSecond, "/platform/readsPerSecond", "reads per second")
	k.positive(c.Platform.WritesPerSecond, "/platform/writesPerSecond", "writes per second")
	k.positive(float64(c.Platform.BreakerFailures), "/platform/breakerFailures", "calls")
}

func (c *Config) checkLimits(k *checker) {
	k.positive(float64(c.Callers.BodyBytes), "/callers/bodyBytes", "bytes")
	k.positive(float64(c.Callers.PromptTokens), "/callers/promptTokens", "tokens")
	k.positive(float64(c.Admission.QueuePerAccount), "/admission/queuePerAccount", "requests")
	k.positive(c.Admission.FillFactor, "/admission/fillFactor", "requests per slot")
	k.positive(float64(c.Placement.BlockTokens), "/placement/pieceTokens", "tokens")
	k.positive(float64(c.Placement.PreferredCount), "/placement/preferredCount", "targets")
	k.positive(float64(c.Placement.IndexEntries), "/placement/indexEntries", "entries")
	k.positive(float64(c.Peers.FanOut), "/peers/fanOut", "peers")
	k.positive(c.Ledger.WritesPerSecond, "/ledger/writesPerSecond", "writes per second")
	k.positive(float64(c.Ledger.BatchRows), "/ledger/batchRows", "rows")
	k.percent(c.Admission.ReservePercent, "/admission/reservePercent")
	k.percent(c.Slowness.HedgePercent, "/slowness/hedgePercent")
	k.percent(c.Retries.BudgetPercent, "/retries/budgetPercent")
	k.percent(c.Retention.LinkSharePercent, "/retention/linkSharePercent")
	k.percent(c.Placement.LongSlotPercent, "/placement/longSlotPercent")
	k.require(c.Slowness.SlowRatio > 1, "/slowness/slowRatio", "slowness.slowRatio: want a ratio above 1, got %g", c.Slowness.SlowRatio)
	k.require(c.Ledger.BufferRows >= c.Ledger.BatchRows, "/ledger/bufferRows",
		"ledger.bufferRows: %d rows are fewer than ledger.batchRows, %d", c.Ledger.BufferRows, c.Ledger.BatchRows)
}

func (c *Config) checkTimes(k *checker) {
	durations := []struct {
		pointer string
		value   Duration
	}{
		{"/callers/headerTimeout", c.Callers.HeaderTimeout},
		{"/callers/bodyTimeout", c.Callers.BodyTimeout},
		{"/callers/streamIdle", c.Callers.StreamIdle},
		{"/callers/requestDeadline", c.Callers.RequestDeadline},
		{"/peers/interval", c.Peers.Interval},
		{"/peers/configPoll", c.Peers.RevisionPoll},
		{"/platform/callTimeout", c.Platform.CallTimeout},
		{"/admission/queueWait", c.Admission.QueueWait},
		{"/placement/loadPoll", c.Placement.LoadPoll},
		{"/placement/cacheEventPoll", c.Placement.CacheEventPoll},
		{"/ledger/flushEvery", c.Ledger.FlushEvery},
		{"/placement/ownerTimeout", c.Placement.OwnerTimeout},
		{"/stopWithin", c.ShutdownTimeout},
	}
	for _, d := range durations {
		k.require(d.value.Duration > 0, d.pointer, "%s: want a duration above zero", fieldName(d.pointer))
	}
	k.require(c.Peers.SuspicionTimeout.Duration > c.Peers.Interval.Duration, "/peers/suspectAfter",
		"peers.suspectAfter: %s is not longer than peers.interval, %s", c.Peers.SuspicionTimeout, c.Peers.Interval)
	k.require(c.Peers.CutOffAfter.Duration > c.Peers.RevisionPoll.Duration, "/peers/cutOffAfter",
		"peers.cutOffAfter: %s is not longer than peers.configPoll, %s", c.Peers.CutOffAfter, c.Peers.RevisionPoll)
	k.require(c.Admission.QueueWait.Duration <= c.Callers.RequestDeadline.Duration, "/admission/queueWait",
		"admission.queueWait: %s is longer than callers.requestDeadline, %s", c.Admission.QueueWait, c.Callers.RequestDeadline)
}

func (k *checker) require(ok bool, pointer, format string, args ...any) {
	if !ok {
		k.findings.Add(k.locate(pointer), format, args...)
	}
}

func (k *checker) positive(value float64, pointer, unit string) {
	k.require(value > 0, pointer, "%s: want a number of %s above zero, got %g", fieldName(pointer), unit, value)
}

func (k *checker) percent(value float64, pointer string) {
	k.require(value >= 0 && value <= 100, pointer, "%s: want 0 to 100 per cent, got %g", fieldName(pointer), value)
}

func (k *checker) address(value, pointer string) {
	host, _, err := net.SplitHostPort(value)
	k.require(err == nil && net.ParseIP(host) != nil, pointer,
		"%s: want an IP address and a port such as 127.0.0.1:8080, got %q", fieldName(pointer), value)
}

func (k *checker) url(value, pointer string) {
	u, err := url.Parse(value)
	k.require(err == nil && u.Scheme != "" && u.Host != "", pointer,
		"%s: want a URL such as http://127.0.0.1:9000, got %q", fieldName(pointer), value)
}

func fieldName(pointer string) string {
	return strings.ReplaceAll(strings.TrimPrefix(pointer, "/"), "/", ".")
}

func knownLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	default:
		return false
	}
}
