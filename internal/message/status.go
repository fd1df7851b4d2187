package message

import "kingcupcourse/internal/core"

// EndpointDraining is the value of a FactLeaving. Its rank is the time at which
// it was found, in Unix milliseconds. No value means that the endpoint is
// leaving.
type EndpointDraining struct {
	// Live lifts the fact: the endpoint takes work again.
	Live bool `json:"live,omitempty"`
}

// HostList is the value of the platform's object "hosts".
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

// Status is what a process tells operators about itself and its view.
type Status struct {
	Member
	Ready bool `json:"ready"`
	// PlatformUp tells whether the platform answered the process lately.
	PlatformUp bool `json:"platform_up"`
	// ManifestVersion is the version in force at the process, zero for none.
	ManifestVersion uint64 `json:"manifest_version"`
	Deployment      string `json:"deployment,omitempty"`
	// RejectedVersion is the highest manifest that was refused because of
	// its findings, zero for none.
	RejectedVersion uint64       `json:"rejected_version,omitempty"`
	Members         []Member     `json:"members"`
	Pools           []PoolStatus `json:"pools,omitempty"`
	Moves           []MoveStage  `json:"moves,omitempty"`
	BadVersions     []BadVersion `json:"bad_versions,omitempty"`
}

// PoolStatus is what a process knows about a pool.
type PoolStatus struct {
	Name      string    `json:"name"`
	Kind      core.Kind `json:"kind"`
	Endpoints int       `json:"endpoints"`
	// DrainingEndpoints lists the endpoints that get no new work.
	DrainingEndpoints []string `json:"leaving,omitempty"`
}
