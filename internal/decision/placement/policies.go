package placement

// The names of the policies.
const (
	PolicyKingcup          = "kingcup"
	PolicyRoundRobin       = "round_robin"
	PolicyLeastOutstanding = "least_outstanding"
	PolicyPrefixAffinity   = "prefix_affinity"
)

// rules are the filters that no policy may leave out.
func rules() []Filter {
	return []Filter{Leaving{}, Ready{}, GoodVersion{}, VersionInForce{}, Excluded{}, VersionShare{}, FreeSlot{}}
}

// NewPolicy returns the policy with the name; an empty name means
// PolicyKingcup. It returns false for an unknown name. The others than
// PolicyKingcup are baselines to compare with.
func NewPolicy(name string) (*Policy, bool) {
	switch name {
	case "", PolicyKingcup:
		return &Policy{Name: PolicyKingcup, Filters: append(rules(), MeetsDeadline{}),
			Scorer: ExpectedFinish{}, Picker: Lowest{}}, true
	case PolicyRoundRobin:
		return &Policy{Name: name, Filters: rules(), Scorer: Constant{}, Picker: &RoundRobin{}}, true
	case PolicyLeastOutstanding:
		return &Policy{Name: name, Filters: rules(), Scorer: LeastOutstanding{}, Picker: Lowest{}}, true
	case PolicyPrefixAffinity:
		return &Policy{Name: name, Filters: rules(), Scorer: CachedPrefix{}, Picker: Lowest{}}, true
	}
	return nil, false
}
