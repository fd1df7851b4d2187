package placement

// Names of the policies.
const (
	PolicyKingcup          = "kingcup"
	PolicyRoundRobin       = "round_robin"
	PolicyLeastOutstanding = "least_outstanding"
	PolicyPrefixAffinity   = "prefix_affinity"
)

// mandatoryFilters returns the filters that every policy must have.
func mandatoryFilters() []Filter {
	return []Filter{NotDraining{}, Ready{}, GoodVersion{}, VersionInForce{}, NotExcluded{}, BelowVersionShare{}, FreeSlot{}}
}

// NewPolicy returns the policy with the name; an empty name means
// PolicyKingcup. It returns false for an unknown name. The policies other than
// PolicyKingcup are baselines for comparison.
func NewPolicy(name string) (*Policy, bool) {
	switch name {
	case "", PolicyKingcup:
		return &Policy{Name: PolicyKingcup, Filters: append(mandatoryFilters(), MeetsDeadline{}),
			Scorer: ExpectedFinish{}, Picker: LowestScore{}}, true
	case PolicyRoundRobin:
		return &Policy{Name: name, Filters: mandatoryFilters(), Scorer: Constant{}, Picker: &RoundRobin{}}, true
	case PolicyLeastOutstanding:
		return &Policy{Name: name, Filters: mandatoryFilters(), Scorer: LeastOutstanding{}, Picker: LowestScore{}}, true
	case PolicyPrefixAffinity:
		return &Policy{Name: name, Filters: mandatoryFilters(), Scorer: CachedPrefix{}, Picker: LowestScore{}}, true
	}
	return nil, false
}
