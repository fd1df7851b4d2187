package message

import "kingcupcourse/internal/core"

// EndpointDraining is the value of a FactDraining. The fact's rank is the time
// of its detection in Unix milliseconds. Without a value the endpoint is
// draining.
type EndpointDraining struct {
	// Live revokes the fact: the endpoint accepts requests again.
	Live bool `json:"live,omitempty"`
}

// HostList is the value of the object "hosts" in the platform.
type HostList struct {
	Hosts     []ListedHost     `json:"hosts"`
	Endpoints []ListedEndpoint `json:"endpoints"`
}

// ListedState is the state of an entry of the platform's lists.
type ListedState string

// The states of an entry of the platform's lists.
const (
	ListedLive     ListedState = "live"
	ListedDraining ListedState = "leaving"
)

// ListedHost is an entry host in the platform's list.
type ListedHost struct {
	Name             string                `json:"name"`
	AvailabilityZone core.AvailabilityZone `json:"availability_zone"`
	ControlAddress   string                `json:"control_address"`
	State            ListedState           `json:"state"`
}

// ListedEndpoint is an endpoint in the platform's list.
type ListedEndpoint struct {
	Name  string      `json:"name"`
	State ListedState `json:"state"`
}

// StatusRequest asks a process for its Status at PathStatus.
type StatusRequest struct{}

// Status describes a process and its view of the system for operators.
type Status struct {
	Member
	Ready bool `json:"ready"`
	// PlatformUp reports whether the platform responded recently.
	PlatformUp bool `json:"platform_up"`
	// ManifestVersion is the version that the process applies, zero for none.
	ManifestVersion uint64 `json:"manifest_version"`
	Deployment      string `json:"deployment,omitempty"`
	// RejectedVersion is the highest manifest version that failed validation,
	// zero for none.
	RejectedVersion uint64       `json:"rejected_version,omitempty"`
	Members         []Member     `json:"members"`
	Pools           []PoolStatus `json:"pools,omitempty"`
	Moves           []MoveStage  `json:"moves,omitempty"`
	BadVersions     []BadVersion `json:"bad_versions,omitempty"`
}

// PoolStatus is the state of a pool as known to a process.
type PoolStatus struct {
	Name      string    `json:"name"`
	Kind      core.Kind `json:"kind"`
	Endpoints int       `json:"endpoints"`
	// DrainingEndpoints lists the endpoints that get no new requests.
	DrainingEndpoints []string `json:"leaving,omitempty"`
}
