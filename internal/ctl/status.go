package ctl

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"

	"kingcupcourse/internal/message"
)

// hostsKey is the key of the list of hosts in the platform.
const hostsKey = "hosts"

// statusCommand prints the status of all processes.
type statusCommand struct {
	Address []string `help:"Control address of a process to begin with. Default: those in the platform's list of hosts." placeholder:"HOST:PORT"`
	JSON    bool     `help:"Print JSON." name:"json"`
}

// processStatus is one process in the output.
type processStatus struct {
	Address string          `json:"address"`
	Status  *message.Status `json:"status,omitempty"`
	Error   string          `json:"error,omitempty"`
}

// Run implements the command.
func (c *statusCommand) Run(env *environment) error {
	addresses, err := c.addresses(env)
	if err != nil {
		return err
	}
	processes, err := queryAllMembers(env, addresses)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(processes, func(p processStatus) bool { return p.Status != nil }) {
		return &exitError{ExitUnavailable, fmt.Errorf("none of %d processes answered", len(processes))}
	}
	var text bytes.Buffer
	if c.JSON {
		err = writeJSON(&text, processes)
	} else {
		err = writeStatus(&text, processes)
	}
	if err != nil {
		return err
	}
	return env.print(&text)
}

func (c *statusCommand) addresses(env *environment) ([]string, error) {
	if len(c.Address) > 0 {
		return c.Address, nil
	}
	if err := env.requirePlatform(); err != nil {
		return nil, err
	}
	object, err := env.platform.Get(env.ctx, hostsKey)
	if err != nil {
		return nil, err
	}
	var list message.HostList
	if err := json.Unmarshal(object.Value, &list); err != nil {
		return nil, fmt.Errorf("the platform's list of hosts: %w", err)
	}
	var addresses []string
	for _, host := range list.Hosts {
		addresses = append(addresses, host.ControlAddress)
	}
	if len(addresses) == 0 {
		return nil, errors.New("the platform's list of hosts is empty")
	}
	return addresses, nil
}

// queryAllMembers queries the processes at the addresses, then the members that
// they list, until no reply lists a new member.
func queryAllMembers(env *environment, addresses []string) ([]processStatus, error) {
	var processes []processStatus
	queried := map[string]bool{}
	for len(addresses) > 0 {
		replies, err := env.queriers.queryAll(env.ctx, addresses)
		if err != nil {
			return nil, err
		}
		for _, address := range addresses {
			queried[address] = true
		}
		addresses = nil
		for _, reply := range replies {
			processes = append(processes, newProcessStatus(reply))
			addresses = append(addresses, newMembers(reply, queried)...)
		}
	}
	slices.SortFunc(processes, compareProcesses)
	return processes, nil
}

func newProcessStatus(reply statusReply) processStatus {
	if reply.err != nil {
		return processStatus{Address: reply.address, Error: reply.err.Error()}
	}
	return processStatus{Address: reply.address, Status: reply.status}
}

// newMembers returns the addresses of the members in a reply that have not been
// queried yet, and marks them as queried.
func newMembers(reply statusReply, queried map[string]bool) []string {
	var addresses []string
	if reply.err != nil {
		return nil
	}
	for _, member := range reply.status.Members {
		if !queried[member.Address] {
			queried[member.Address] = true
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// compareProcesses sorts the processes without a reply first, then by host and
// role.
func compareProcesses(a, b processStatus) int {
	if a.Status == nil || b.Status == nil {
		return cmp.Or(cmp.Compare(replyRank(a), replyRank(b)), cmp.Compare(a.Address, b.Address))
	}
	return cmp.Or(cmp.Compare(a.Status.Host, b.Status.Host), cmp.Compare(a.Status.Role, b.Status.Role))
}

func replyRank(p processStatus) int {
	if p.Status == nil {
		return 0
	}
	return 1
}

func writeStatus(out *bytes.Buffer, processes []processStatus) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "HOST\tROLE\tZONE\tADDRESS\tSTATE\tMANIFEST\tMEMBERS\tPLATFORM")
	var newest *message.Status
	for _, p := range processes {
		if p.Status == nil {
			fmt.Fprintf(table, "?\t?\t?\t%s\tno answer\t\t\t\n", p.Address)
			continue
		}
		s := p.Status
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n", s.Host, s.Role, s.AvailabilityZone, p.Address,
			formatState(s), formatManifestVersion(s), len(s.Members), formatUp(s.PlatformUp))
		if newest == nil || s.ManifestVersion > newest.ManifestVersion {
			newest = s
		}
	}
	writePools(table, newest)
	writeBadVersions(table, newest)
	return table.Flush()
}

func writePools(table *tabwriter.Writer, s *message.Status) {
	if s == nil || len(s.Pools) == 0 {
		return
	}
	fmt.Fprintln(table, "\nPOOL\tKIND\tENDPOINTS\tLEAVING")
	for _, pool := range s.Pools {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", pool.Name, pool.Kind, pool.Endpoints, strings.Join(pool.DrainingEndpoints, " "))
	}
}

func writeBadVersions(table *tabwriter.Writer, s *message.Status) {
	if s == nil || len(s.BadVersions) == 0 {
		return
	}
	fmt.Fprintln(table, "\nBAD VERSION\tPOOL\tROUTE\tREASON")
	for _, bad := range s.BadVersions {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", bad.Version, bad.Pool, bad.Route, bad.Reason)
	}
}

func formatState(s *message.Status) string {
	switch {
	case s.Draining:
		return "leaving"
	case s.Ready:
		return "ready"
	default:
		return "not ready"
	}
}

func formatManifestVersion(s *message.Status) string {
	if s.RejectedVersion > s.ManifestVersion {
		return fmt.Sprintf("%d (refused %d)", s.ManifestVersion, s.RejectedVersion)
	}
	return fmt.Sprint(s.ManifestVersion)
}

func formatUp(up bool) string {
	if up {
		return "up"
	}
	return "down"
}
