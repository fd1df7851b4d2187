package manifest

import (
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/strictjson"
)

// Limits on values in a manifest.
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
	// namePattern matches valid names. Names are parts of object keys and of
	// fact keys, so they must not contain a slash.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	// keyHashPattern matches a hex SHA-256 hash in lower case.
	keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checker validates the decoded values of a manifest.
type checker struct {
	m        *Manifest
	document *strictjson.Document
	// namePaths holds the path where each name was first used.
	namePaths map[nameKey]string
	zones     map[core.AvailabilityZone]bool
	regions   map[core.Region]bool
	pools     map[string]*Pool
}

// nameKey is a name with the kind of object that it names. Names are unique
// within a kind.
type nameKey struct{ kind, name string }

func newChecker(m *Manifest, document *strictjson.Document) *checker {
	return &checker{
		m:         m,
		document:  document,
		namePaths: map[nameKey]string{},
		zones:     map[core.AvailabilityZone]bool{},
		regions:   map[core.Region]bool{},
		pools:     map[string]*Pool{},
	}
}

func (c *checker) run() {
	c.checkName("deployment", "deployment", c.m.Deployment)
	c.checkRange("tiers", float64(c.m.Tiers), 1, MaxTiers)
	c.checkElements("regions", len(c.m.Regions), true, c.checkRegion)
	c.checkElements("pools", len(c.m.Pools), true, c.checkPool)
	c.checkElements("client_accounts", len(c.m.ClientAccounts), true, c.checkAccount)
	c.checkElements("routes", len(c.m.Routes), true, c.checkRoute)
	c.checkElements("moves", len(c.m.Moves), false, c.checkMove)
}

// checkElements checks the elements of an array, which must not be empty if
// required is set.
func (c *checker) checkElements(path string, count int, required bool, check func(path string, i int)) {
	if required && count == 0 {
		c.document.Add(path, "must not be empty")
	}
	for i := range count {
		check(strictjson.Item(path, i), i)
	}
}

// checkName checks that a name is valid and unique within its kind.
func (c *checker) checkName(path, kind, value string) {
	if !namePattern.MatchString(value) {
		c.document.Add(path, "must be 1 to 128 letters, digits, dots, dashes or underscores, not %q", value)
		return
	}
	c.checkUnique(path, kind, value)
}

func (c *checker) checkUnique(path, kind, value string) {
	key := nameKey{kind, value}
	if firstPath, ok := c.namePaths[key]; ok {
		c.document.Add(path, "%s %q is already used at %s", kind, value, firstPath)
		return
	}
	c.namePaths[key] = path
}

func (c *checker) checkRange(path string, value, low, high float64) {
	if value < low || value > high {
		c.document.Add(path, "must be from %v to %v, not %v", low, high, value)
	}
}

func (c *checker) checkPositive(path string, value float64) {
	if value <= 0 {
		c.document.Add(path, "must be above 0, not %v", value)
	}
}

func (c *checker) checkRegion(path string, i int) {
	region := c.m.Regions[i]
	c.checkName(path+".name", "region", string(region.Name))
	c.regions[region.Name] = true
	c.checkElements(path+".availability_zones", len(region.AvailabilityZones), true, func(path string, j int) {
		zone := region.AvailabilityZones[j]
		c.checkName(path, "availability zone", string(zone))
		c.zones[zone] = true
	})
}

func (c *checker) checkPool(path string, i int) {
	pool := &c.m.Pools[i]
	c.checkName(path+".name", "pool", pool.Name)
	c.pools[pool.Name] = pool
	if pool.Kind != core.KindModel && pool.Kind != core.KindService {
		c.document.Add(path+".kind", "must be %q or %q, not %q", core.KindModel, core.KindService, pool.Kind)
	}
	c.checkPositive(path+".queue_requests", float64(pool.QueueRequests))
	c.checkPositive(path+".queue_tokens", float64(pool.QueueTokens))
	c.checkRange(path+".journal_slots", float64(pool.JournalSlots), 1, MaxJournalSlots)
	c.checkPositive(path+".retention_ms", float64(pool.RetentionMS))
	c.checkPositive(path+".clock_skew_ms", float64(pool.ClockSkewMS))
	c.checkPositive(path+".progress_timeout_ms", float64(pool.ProgressTimeoutMS))
	if pool.RetentionMS <= pool.ClockSkewMS {
		c.document.Add(path+".retention_ms", "must be above clock_skew_ms, %d", pool.ClockSkewMS)
	}
	c.checkElements(path+".endpoints", len(pool.Endpoints), true, func(path string, j int) {
		c.checkEndpoint(path, pool.Endpoints[j])
	})
}

func (c *checker) checkEndpoint(path string, e Endpoint) {
	c.checkName(path+".name", "endpoint", e.Name)
	c.checkAddress(path+".address", e.Address)
	if !c.zones[e.AvailabilityZone] {
		c.document.Add(path+".availability_zone", "no region has the availability zone %q", e.AvailabilityZone)
	}
	c.checkNameFormat(path+".version", string(e.Version))
	c.checkRange(path+".slots", float64(e.Slots), 1, MaxSlots)
	c.checkPositive(path+".prefill_rate", e.PrefillRate)
	c.checkPositive(path+".decode_rate", e.DecodeRate)
}

// checkNameFormat checks a name that need not be unique.
func (c *checker) checkNameFormat(path, value string) {
	if !namePattern.MatchString(value) {
		c.document.Add(path, "must be 1 to 128 letters, digits, dots, dashes or underscores, not %q", value)
	}
}

func (c *checker) checkAddress(path, value string) {
	address, err := netip.ParseAddrPort(value)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() {
		c.document.Add(path, "must be an IP address with port, not %q", value)
		return
	}
	c.checkUnique(path, "address", address.String())
}

func (c *checker) checkAccount(path string, i int) {
	account := c.m.ClientAccounts[i]
	c.checkName(path+".name", "client account", account.Name)
	c.checkElements(path+".key_sha256", len(account.KeySHA256), true, func(path string, j int) {
		c.checkKeyHash(path, account.KeySHA256[j])
	})
	c.checkRange(path+".max_tier", float64(account.MaxTier), 1, float64(c.m.Tiers))
	c.checkPositive(path+".weight", account.Weight)
	if account.RequestsPerSecond < 0 {
		c.document.Add(path+".requests_per_second", "must not be negative")
	}
	if !c.regions[account.HomeRegion] {
		c.document.Add(path+".home_region", "there is no region %q", account.HomeRegion)
	}
}

func (c *checker) checkKeyHash(path, hash string) {
	if !keyHashPattern.MatchString(hash) {
		c.document.Add(path, "must be a SHA-256 hash of 64 lower-case hex digits")
		return
	}
	c.checkUnique(path, "key hash", hash)
}

func (c *checker) checkRoute(path string, i int) {
	route := c.m.Routes[i]
	c.checkName(path+".name", "route", route.Name)
	if c.pools[route.Pool] == nil {
		c.document.Add(path+".pool", "there is no pool %q", route.Pool)
	}
	for j, method := range route.Methods {
		if !slices.Contains(allowedMethods, method) {
			c.document.Add(strictjson.Item(path+".methods", j), "must be one of %v, not %q", allowedMethods, method)
		}
	}
	c.checkPath(path+".path", route.Path)
	c.checkRange(path+".tier", float64(route.Tier), 1, float64(c.m.Tiers))
	c.checkPositive(path+".deadline_ms", float64(route.DeadlineMS))
	c.checkPositive(path+".output_tokens", float64(route.OutputTokens))
	c.checkRange(path+".max_body_bytes", float64(route.MaxBodyBytes), 1, MaxRouteBodyBytes)
	c.checkShadowed(path, i)
}

// checkPath checks that a route's path has the normal form in which request
// paths are matched: absolute, without empty, dot or escaped segments.
func (c *checker) checkPath(path, value string) {
	if value != cleanPath(value) || strings.ContainsAny(value, "%?#\\") {
		c.document.Add(path, "must be an absolute path without empty, dot or escaped segments, not %q", value)
	}
}

// checkShadowed reports a route that can never match because an earlier route
// matches all its requests.
func (c *checker) checkShadowed(path string, i int) {
	for j := range i {
		if c.m.Routes[j].covers(&c.m.Routes[i]) {
			c.document.Add(path, "never matches: %s matches all its requests", strictjson.Item("routes", j))
			return
		}
	}
}
