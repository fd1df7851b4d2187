package manifest

import (
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/strictjson"
)

// Limits of the manifest.
const (
	// MaxTiers is the largest number of tiers.
	MaxTiers = 16
	// MaxSlots is the largest number of slots of an endpoint.
	MaxSlots = 65_536
	// MaxJournalSlots is the largest number of journal slots of a pool.
	MaxJournalSlots = 65_536
	// MaxRouteBodyBytes is the largest request body that a route may allow.
	MaxRouteBodyBytes = 64 << 20
)

var (
	// nameForm is what names look like: they are parts of object keys and of
	// fact keys, so they hold no slash.
	nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	// hashForm is a hex SHA-256 hash in lower case.
	hashForm = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checker finds what is wrong with the meaning of a manifest.
type checker struct {
	m      *Manifest
	report *strictjson.Document
	// seen holds the path of each name by what it names.
	seen    map[seenKey]string
	zones   map[core.AvailabilityZone]bool
	regions map[core.Region]bool
	pools   map[string]*Pool
}

// seenKey is a name within its kind of thing.
type seenKey struct{ kind, name string }

func newChecker(m *Manifest, report *strictjson.Document) *checker {
	return &checker{
		m:       m,
		report:  report,
		seen:    map[seenKey]string{},
		zones:   map[core.AvailabilityZone]bool{},
		regions: map[core.Region]bool{},
		pools:   map[string]*Pool{},
	}
}

func (c *checker) run() {
	c.name("deployment", "deployment", c.m.Deployment)
	c.between("tiers", float64(c.m.Tiers), 1, MaxTiers)
	c.each("regions", len(c.m.Regions), true, c.region)
	c.each("pools", len(c.m.Pools), true, c.pool)
	c.each("client_accounts", len(c.m.ClientAccounts), true, c.account)
	c.each("routes", len(c.m.Routes), true, c.route)
	c.each("moves", len(c.m.Moves), false, c.move)
}

// each checks the elements of an array, which must have one if some is set.
func (c *checker) each(path string, count int, some bool, check func(path string, i int)) {
	if some && count == 0 {
		c.report.Add(path, "must not be empty")
	}
	for i := range count {
		check(strictjson.Item(path, i), i)
	}
}

// name checks a name's form, and that no other of its kind has it.
func (c *checker) name(path, kind, value string) {
	if !nameForm.MatchString(value) {
		c.report.Add(path, "must be 1 to 128 letters, digits, dots, dashes or underscores, not %q", value)
		return
	}
	c.unique(path, kind, value)
}

func (c *checker) unique(path, kind, value string) {
	key := seenKey{kind, value}
	if first, ok := c.seen[key]; ok {
		c.report.Add(path, "%s %q is already at %s", kind, value, first)
		return
	}
	c.seen[key] = path
}

func (c *checker) between(path string, value, low, high float64) {
	if value < low || value > high {
		c.report.Add(path, "must be from %v to %v, not %v", low, high, value)
	}
}

func (c *checker) positive(path string, value float64) {
	if value <= 0 {
		c.report.Add(path, "must be above 0, not %v", value)
	}
}

func (c *checker) region(path string, i int) {
	region := c.m.Regions[i]
	c.name(path+".name", "region", string(region.Name))
	c.regions[region.Name] = true
	c.each(path+".availability_zones", len(region.AvailabilityZones), true, func(path string, j int) {
		zone := region.AvailabilityZones[j]
		c.name(path, "availability zone", string(zone))
		c.zones[zone] = true
	})
}

func (c *checker) pool(path string, i int) {
	pool := &c.m.Pools[i]
	c.name(path+".name", "pool", pool.Name)
	c.pools[pool.Name] = pool
	if pool.Kind != core.KindModel && pool.Kind != core.KindService {
		c.report.Add(path+".kind", "must be %q or %q, not %q", core.KindModel, core.KindService, pool.Kind)
	}
	c.positive(path+".queue_requests", float64(pool.QueueRequests))
	c.positive(path+".queue_tokens", float64(pool.QueueTokens))
	c.between(path+".journal_slots", float64(pool.JournalSlots), 1, MaxJournalSlots)
	c.positive(path+".retention_ms", float64(pool.RetentionMS))
	c.positive(path+".clock_skew_ms", float64(pool.ClockSkewMS))
	c.positive(path+".progress_timeout_ms", float64(pool.ProgressTimeoutMS))
	if pool.RetentionMS <= pool.ClockSkewMS {
		c.report.Add(path+".retention_ms", "must be above clock_skew_ms, %d", pool.ClockSkewMS)
	}
	c.each(path+".endpoints", len(pool.Endpoints), true, func(path string, j int) {
		c.endpoint(path, pool.Endpoints[j])
	})
}

func (c *checker) endpoint(path string, e Endpoint) {
	c.name(path+".name", "endpoint", e.Name)
	c.address(path+".address", e.Address)
	if !c.zones[e.AvailabilityZone] {
		c.report.Add(path+".availability_zone", "no region has the availability zone %q", e.AvailabilityZone)
	}
	c.form(path+".version", string(e.Version))
	c.between(path+".slots", float64(e.Slots), 1, MaxSlots)
	c.positive(path+".prefill_rate", e.PrefillRate)
	c.positive(path+".decode_rate", e.DecodeRate)
}

// form checks a name that more than one thing may have.
func (c *checker) form(path, value string) {
	if !nameForm.MatchString(value) {
		c.report.Add(path, "must be 1 to 128 letters, digits, dots, dashes or underscores, not %q", value)
	}
}

func (c *checker) address(path, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.report.Add(path, "must be host:port by IP number, not %q", value)
		return
	}
	c.unique(path, "address", address.String())
}

func (c *checker) account(path string, i int) {
	account := c.m.ClientAccounts[i]
	c.name(path+".name", "client account", account.Name)
	c.each(path+".key_sha256", len(account.KeySHA256), true, func(path string, j int) {
		c.keyHash(path, account.KeySHA256[j])
	})
	c.between(path+".max_tier", float64(account.MaxTier), 1, float64(c.m.Tiers))
	c.positive(path+".weight", account.Weight)
	if account.RequestsPerSecond < 0 {
		c.report.Add(path+".requests_per_second", "must not be negative")
	}
	if !c.regions[account.HomeRegion] {
		c.report.Add(path+".home_region", "there is no region %q", account.HomeRegion)
	}
}

func (c *checker) keyHash(path, hash string) {
	if !hashForm.MatchString(hash) {
		c.report.Add(path, "must be a SHA-256 hash of 64 lower-case hex digits")
		return
	}
	c.unique(path, "key hash", hash)
}

func (c *checker) route(path string, i int) {
	route := c.m.Routes[i]
	c.name(path+".name", "route", route.Name)
	if c.pools[route.Pool] == nil {
		c.report.Add(path+".pool", "there is no pool %q", route.Pool)
	}
	for j, method := range route.Methods {
		if !slices.Contains(allowedMethods, method) {
			c.report.Add(strictjson.Item(path+".methods", j), "must be one of %v, not %q", allowedMethods, method)
		}
	}
	c.path(path+".path", route.Path)
	c.between(path+".tier", float64(route.Tier), 1, float64(c.m.Tiers))
	c.positive(path+".deadline_ms", float64(route.DeadlineMS))
	c.positive(path+".output_tokens", float64(route.OutputTokens))
	c.between(path+".max_body_bytes", float64(route.MaxBodyBytes), 1, MaxRouteBodyBytes)
	c.shadowed(path, i)
}

// path checks that a route's path is in the form that requests are matched
// in: absolute and without empty or dot segments.
func (c *checker) path(path, value string) {
	if value != cleanPath(value) || strings.ContainsAny(value, "%?#\\") {
		c.report.Add(path, "must be an absolute path without empty, dot or escaped segments, not %q", value)
	}
}

// shadowed reports a route that can never match because an earlier one takes
// all its requests.
func (c *checker) shadowed(path string, i int) {
	for j := range i {
		if c.m.Routes[j].covers(&c.m.Routes[i]) {
			c.report.Add(path, "never matches: %s takes all its requests", strictjson.Item("routes", j))
			return
		}
	}
}
