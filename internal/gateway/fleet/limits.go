package fleet

import (
	"iter"
	"maps"

	"kingcupcourse/internal/decision/catalog"
	"kingcupcourse/internal/decision/quota"
)

// accountLimits holds the limits of the accounts: those of this host's configuration,
// and those that hosts with a newer configuration, or with other accounts, have sent.
// The zero value knows no account.
type accountLimits struct {
	// version is that of this host's configuration. known holds its accounts,
	// configured the limits of those that have one.
	version    uint64
	known      map[string]bool
	configured map[string]quota.Limit
	learned    map[string]learnedLimit
}

// learnedLimit is a limit that another host has sent.
type learnedLimit struct {
	quota.Limit
	version uint64 // of the sender's configuration
}

// replace applies a new configuration of this host. It forgets the limits of older
// ones.
func (a *accountLimits) replace(configuration *catalog.Configuration, tolerance Tolerance) {
	a.configured, a.known = Limits(configuration, tolerance), map[string]bool{}
	if configuration == nil {
		return
	}
	a.version = configuration.Version
	for _, account := range configuration.Accounts {
		a.known[account.Name] = true
	}
	maps.DeleteFunc(a.learned, func(_ string, limit learnedLimit) bool { return limit.version <= a.version })
}

// learn takes over a limit that another host enforces by the configuration of the given
// version, unless this host knows a newer one. It reports whether it did, and whether
// it is known if the account has a limit.
func (a *accountLimits) learn(account string, limit quota.Limit, version uint64) (learned, known bool) {
	before, isLearned := a.learned[account]
	known = a.known[account] || isLearned
	switch {
	case limit.Rate <= 0, a.known[account] && version <= a.version, isLearned && version <= before.version:
		return false, known
	case a.learned == nil:
		a.learned = map[string]learnedLimit{}
	}
	a.learned[account] = learnedLimit{limit, version}
	return before.Limit != limit, true
}

// all returns the limits by account.
func (a *accountLimits) all() iter.Seq2[string, quota.Limit] {
	return func(yield func(string, quota.Limit) bool) {
		for account, limit := range a.configured {
			if _, isLearned := a.learned[account]; !isLearned && !yield(account, limit) {
				return
			}
		}
		for account, limit := range a.learned {
			if !yield(account, limit.Limit) {
				return
			}
		}
	}
}
