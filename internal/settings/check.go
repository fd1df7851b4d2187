package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/strictjson"
)

// Defaults and limits of the settings.
const (
	DefaultDrainMS        = 120_000 // milliseconds
	DefaultDrainDelayMS   = 2_000   // milliseconds
	DefaultLogLevel       = "info"
	DefaultLogFormat      = "json"
	DefaultMaxRequests    = 4096
	DefaultJournalFlushMS = 10    // milliseconds
	DefaultLeaseMS        = 5_000 // milliseconds
	minLeaseMS            = 1_000 // milliseconds

	DefaultWatchMS             = 1_500 // milliseconds
	DefaultStoreTimeoutMS      = 1_000 // milliseconds
	DefaultGatewayDrainDelayMS = 2_500 // milliseconds
	DefaultProcessor           = 1.0   // cores
)

func (c *Common) setDefaults() {
	setDefault(&c.DrainMS, DefaultDrainMS)
	setDefault(&c.DrainDelayMS, DefaultDrainDelayMS)
	setDefault(&c.Log.Level, DefaultLogLevel)
	setDefault(&c.Log.Format, DefaultLogFormat)
}

func (e *Entry) setDefaults() {
	e.Common.setDefaults()
	setDefault(&e.MaxRequests, DefaultMaxRequests)
}

func (s *Scheduler) setDefaults() {
	s.Common.setDefaults()
	setDefault(&s.JournalFlushMS, DefaultJournalFlushMS)
}

func (r *Rollout) setDefaults() {
	r.Common.setDefaults()
	setDefault(&r.LeaseMS, DefaultLeaseMS)
}

func (g *Gateway) setDefaults() {
	setDefault(&g.ProcessorShare, DefaultProcessor)
	setDefault(&g.ProcessorSpeed, DefaultProcessor)
	setDefault(&g.WatchMS, DefaultWatchMS)
	setDefault(&g.StoreTimeoutMS, DefaultStoreTimeoutMS)
	setDefault(&g.DrainDelayMS, DefaultGatewayDrainDelayMS)
	setDefault(&g.Log.Level, DefaultLogLevel)
	setDefault(&g.Log.Format, DefaultLogFormat)
}

func (g *Gateway) check(report *strictjson.Document) {
	checkName(report, "host", g.Host)
	checkName(report, "region", string(g.Region))
	checkName(report, "availability_zone", string(g.AvailabilityZone))
	g.checkZones(report)
	checkAddress(report, "callers", g.Callers)
	checkAddress(report, "readiness", g.Readiness)
	checkPeerAddress(report, "peers", g.Peers)
	checkDistinct(report, "callers", g.Callers, "readiness", g.Readiness)
	checkDistinct(report, "callers", g.Callers, "peers", g.Peers)
	checkBaseURL(report, "store", g.Store)
	if g.ProcessorShare < 0 || g.ProcessorSpeed < 0 {
		report.Add("processor_share", "must not be negative, and neither may processor_speed")
	}
	checkFigure(report, "memory_mb", g.MemoryMB)
	checkFigure(report, "max_files", g.MaxFiles)
	checkFigure(report, "watch_ms", g.WatchMS)
	checkFigure(report, "store_timeout_ms", g.StoreTimeoutMS)
	checkFigure(report, "drain_delay_ms", g.DrainDelayMS)
	checkTime(report, "limit_window", g.LimitWindowS, g.LimitWindowMS)
	if g.LimitOverage < 0 || g.LimitSlack < 0 {
		report.Add("limit_overage", "must not be negative, and neither may limit_slack")
	}
	if g.RepeatShare < 0 || g.RepeatBurst < 0 {
		report.Add("repeat_share", "must not be negative, and neither may repeat_burst")
	}
	for i, share := range g.WaitShares {
		if share < 0 || share > 1 {
			report.Add("wait_shares", "entry %d must be from 0 to 1", i)
		}
	}
	if g.ExposeShare < 0 || g.ExposeShare > 1 {
		report.Add("expose_share", "must be from 0 to 1")
	}
	checkFigure(report, "expose_free", g.ExposeFree)
	if g.ColdOverage < 0 || g.ColdSlack < 0 {
		report.Add("cold_overage", "must not be negative, and neither may cold_slack")
	}
	checkTime(report, "grace", g.GraceS, g.GraceMS)
	if g.Grace() <= g.DrainDelayMS.Duration() {
		report.Add("grace_s", "must be above drain_delay_ms, %v", g.DrainDelayMS.Duration())
	}
	checkLog(report, g.Log)
}

// checkZones reports zones with two regions, the host's own among them.
func (g *Gateway) checkZones(report *strictjson.Document) {
	regions := map[core.AvailabilityZone]core.Region{g.AvailabilityZone: g.Region}
	for i, zone := range g.Zones {
		path := fmt.Sprintf("zones[%d]", i)
		checkName(report, path+".name", string(zone.Name))
		checkName(report, path+".region", string(zone.Region))
		if region, known := regions[zone.Name]; known && region != zone.Region {
			report.Add(path+".region", "is %q, but the zone %s is in %q", zone.Region, zone.Name, region)
		}
		regions[zone.Name] = zone.Region
	}
}

func checkLog(report *strictjson.Document, log Log) {
	checkOneOf(report, "log.level", log.Level, "debug", "info", "warn", "error")
	checkOneOf(report, "log.format", log.Format, "json", "console")
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c *Common) check(report *strictjson.Document) {
	checkName(report, "host", c.Host)
	checkName(report, "region", string(c.Region))
	checkName(report, "availability_zone", string(c.AvailabilityZone))
	checkPeerAddress(report, "control", c.Control)
	checkAddress(report, "admin", c.Admin)
	for i, peer := range c.Peers {
		checkPeerAddress(report, strictjson.Item("peers", i), peer)
	}
	checkBaseURL(report, "platform", c.Platform)
	checkLog(report, c.Log)
	checkFigure(report, "memory_mb", c.MemoryMB)
	checkFigure(report, "max_files", c.MaxFiles)
	checkFigure(report, "drain_ms", c.DrainMS)
	checkFigure(report, "drain_delay_ms", c.DrainDelayMS)
	checkDistinct(report, "admin", c.Admin, "control", c.Control)
}

func (e *Entry) check(report *strictjson.Document) {
	e.Common.check(report)
	checkAddress(report, "callers", e.Callers)
	checkDistinct(report, "callers", e.Callers, "control", e.Control)
	checkDistinct(report, "callers", e.Callers, "admin", e.Admin)
	checkFigure(report, "max_requests", e.MaxRequests)
	if e.FallbackFraction < 0 || e.FallbackFraction > 1 {
		report.Add("fallback_fraction", "must be from 0 to 1")
	}
}

func (s *Scheduler) check(report *strictjson.Document) {
	s.Common.check(report)
	checkFigure(report, "journal_flush_ms", s.JournalFlushMS)
}

func (r *Rollout) check(report *strictjson.Document) {
	r.Common.check(report)
	checkFigure(report, "lease_ms", r.LeaseMS)
	if r.LeaseMS < minLeaseMS {
		report.Add("lease_ms", "must be at least %d", minLeaseMS)
	}
}

func checkName(report *strictjson.Document, path, value string) {
	if value == "" {
		report.Add(path, "must not be empty")
	}
}

func checkFigure[F ~float64](report *strictjson.Document, path string, value F) {
	if value < 0 || value > maxFigure {
		report.Add(path, "must be from 0 to %v", maxFigure)
	}
}

// checkTime checks a time that is given in seconds or in milliseconds, as two fields.
func checkTime(report *strictjson.Document, name string, seconds Seconds, milliseconds Milliseconds) {
	checkFigure(report, name+"_s", seconds)
	checkFigure(report, name+"_ms", milliseconds)
	if seconds != 0 && milliseconds != 0 {
		report.Add(name+"_ms", "must not be given beside %s_s", name)
	}
}

func checkOneOf(report *strictjson.Document, path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		report.Add(path, "must be one of %v", allowed)
	}
}

func checkAddress(report *strictjson.Document, path, value string) (netip.AddrPort, bool) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 {
		report.Add(path, "must be an IP address with port, not %q", value)
		return address, false
	}
	return address, true
}

// checkPeerAddress checks an address that other processes connect to.
func checkPeerAddress(report *strictjson.Document, path, value string) {
	address, ok := checkAddress(report, path, value)
	if ok && address.Addr().IsUnspecified() {
		report.Add(path, "must be an address that peers can reach, not %q", value)
	}
}

func checkDistinct(report *strictjson.Document, path, value, otherPath, other string) {
	if value != "" && value == other {
		report.Add(path, "is the same address as %s", otherPath)
	}
}

// checkBaseURL checks the base URL of the object API.
func checkBaseURL(report *strictjson.Document, path, value string) {
	base, err := url.Parse(value)
	if err != nil || (base.Scheme != "http" && base.Scheme != "https") {
		report.Add(path, "must be an http or https URL, not %q", value)
		return
	}
	if _, err := netip.ParseAddr(base.Hostname()); err != nil {
		report.Add(path, "must have an IP address as its host, not %q", base.Hostname())
	}
	if base.RawQuery != "" || base.Fragment != "" {
		report.Add(path, "must have no query or fragment")
	}
}
