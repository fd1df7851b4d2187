package placement

import (
	"time"

	"kingcupcourse/internal/core"
	"kingcupcourse/internal/decision/placement"
	"kingcupcourse/internal/decision/spill"
)

const (
	// maxRelayedRooms bounds the rooms of other shards in a Choice.
	maxRelayedRooms = 3
	// roomPeriod is how long a count of a shard's room is used for the answers to
	// updates.
	roomPeriod = 50 * time.Millisecond
	// bytesPerOutputToken is the assumed size of an output token in the answer.
	bytesPerOutputToken = 8
	// linkMaxAge is how long a measured time of a link is used. Afterwards the link
	// is tried again.
	linkMaxAge = 5 * time.Second
	// linkWeight is the weight of a new measurement in the mean.
	linkWeight = 0.2
)

// Causes for endpoints in other zones that the room of the shards does not decide.
const (
	// causeShard means that the shard has endpoints of more than one zone.
	causeShard spill.Cause = "shard_spans_zones"
	// causeAlone means that the host chose without a coordinator.
	causeAlone spill.Cause = "placed_alone"
)

// countedRoom is the room of a shard and the time at which it was counted.
type countedRoom struct {
	spill.Room
	at time.Time
}

// aged returns the room with its age.
func (r countedRoom) aged(now time.Time) spill.Room {
	r.Room.Age = max(0, now.Sub(r.at))
	return r.Room
}

// learn keeps what was heard of a shard's room unless something newer is known.
// Shards that this host does not know are ignored.
func (s *shards) learn(shard int, room countedRoom) {
	if _, ok := s.Zones[shard]; ok && !room.at.Before(s.rooms[shard].at) {
		s.rooms[shard] = room
	}
}

// links holds the mean time of a call to each zone.
type links struct {
	times map[core.AvailabilityZone]linkTime
}

type linkTime struct {
	mean time.Duration
	at   time.Time
}

func newLinks() *links { return &links{times: map[core.AvailabilityZone]linkTime{}} }

func (l *links) observe(zone core.AvailabilityZone, took time.Duration, now time.Time) {
	known, ok := l.times[zone]
	if !ok || now.Sub(known.at) > linkMaxAge {
		known.mean = took
	}
	l.times[zone] = linkTime{known.mean + time.Duration(linkWeight*float64(took-known.mean)), now}
}

// extra returns the additional time of a call to each zone, compared with a call
// within the home zone.
func (l *links) extra(home core.AvailabilityZone, now time.Time) map[core.AvailabilityZone]time.Duration {
	extra := map[core.AvailabilityZone]time.Duration{}
	for zone, link := range l.times {
		if zone != home && now.Sub(link.at) <= linkMaxAge {
			extra[zone] = max(0, link.mean-l.times[home].mean)
		}
	}
	return extra
}

// zoneFilter reports whether a request may go to an availability zone.
type zoneFilter func(req Request, zone core.AvailabilityZone) bool

// isZoneOpen is the zoneFilter of the operator's orders.
func (d *Duty) isZoneOpen(req Request, zone core.AvailabilityZone) bool {
	return !d.evacuations.Evacuated(zone) && d.zones.Permits(req.AllowedRegions, zone)
}

// targetsByRoom returns the coordinators to ask by the room of their shards. Shards
// of zones that are closed to the request are not asked.
func (d *directory) targetsByRoom(s *shards, req Request, maxWait time.Duration, isOpen zoneFilter, now time.Time) []target {
	known := make([]spill.Shard, 0, len(s.numbers))
	for _, shard := range s.numbers {
		if zone := s.Zones[shard]; zone != "" && !isOpen(req, zone) {
			continue
		}
		known = append(known, spill.Shard{Number: shard, Zone: s.Zones[shard], Room: s.rooms[shard].aged(now)})
	}
	steps := s.decider.Order(spill.Request{
		MaxWait: maxWait, Bytes: req.BodyBytes + bytesPerOutputToken*req.OutputTokens, Draw: uniform(req.Attempt),
	}, s.home, known, d.links.extra(s.Zones[s.home], now))
	found := make([]target, 0, len(steps))
	for _, step := range steps {
		t := d.target(req.Service, step.Shard, now)
		t.cause, t.onlyIfSilent = step.Cause, step.OnlyIfSilent
		found = append(found, t)
	}
	return found
}

// recordRoom counts the room of a shard that this host coordinates by the
// candidates for a request, before it is placed.
func (d *Duty) recordRoom(req Request, candidates []placement.Candidate, now time.Time) {
	s := d.directory.services[req.Service]
	if !d.directory.zoneAware || s == nil || req.Shard == 0 || len(s.numbers) < 2 {
		return
	}
	room, first := spill.Room{}, true
	for i := range candidates {
		c := &candidates[i]
		if c.Draining || c.Evacuated || c.NotReady || c.NoTraffic || c.AtVersionShare || c.AtColdRate {
			continue
		}
		room.Slots += c.Endpoint.Slots
		room.Free += max(0, c.Endpoint.Slots-c.Running)
		if wait := forecastWait(req, c); first || wait < room.Wait {
			room.Wait, first = wait, false
		}
	}
	s.learn(req.Shard-1, countedRoom{room, now})
}

// forecastWait returns how long a request is predicted to wait at a candidate. A
// plain service works on the requests in its slots, each for the time of one request.
func forecastWait(req Request, c *placement.Candidate) time.Duration {
	if req.PromptTokens > 0 {
		return c.PendingPrefill
	}
	ahead := max(0, c.Running+1-c.Endpoint.Slots)
	return c.RunTime * time.Duration(ahead) / time.Duration(max(1, c.Endpoint.Slots))
}

// roomsFor returns what the answer to a request says about the room of shards: its
// own shard's and that of some others.
func (d *Duty) roomsFor(req Request, now time.Time) []ShardRoom {
	s := d.directory.services[req.Service]
	if !d.directory.zoneAware || s == nil || req.Host == d.host.Name {
		return nil
	}
	var rooms []ShardRoom
	if own, ok := s.rooms[req.Shard-1]; ok {
		rooms = append(rooms, newShardRoom(req.Shard-1, own, now))
	}
	relayed := 0
	for range s.numbers {
		s.relayed = (s.relayed + 1) % len(s.numbers)
		shard := s.numbers[s.relayed]
		room, ok := s.rooms[shard]
		if !ok || shard == req.Shard-1 || now.Sub(room.at) >= spill.MaxAge {
			continue
		}
		rooms = append(rooms, newShardRoom(shard, room, now))
		if relayed++; relayed == maxRelayedRooms {
			break
		}
	}
	return rooms
}

func newShardRoom(shard int, room countedRoom, now time.Time) ShardRoom {
	return ShardRoom{Shard: shard + 1, Free: room.Free, Slots: room.Slots, WaitMS: toMilliseconds(room.Wait),
		AgeMS: max(0, now.Sub(room.at).Milliseconds())}
}

// updatesAnswer returns the room of the shards that this host coordinates and in
// which the other host has attempts.
func (d *Duty) updatesAnswer(updates Updates, now time.Time) UpdatesAnswer {
	if !d.directory.zoneAware || updates.Host == d.host.Name || !updates.Full {
		return UpdatesAnswer{}
	}
	answer, told := UpdatesAnswer{Rooms: map[string][]ShardRoom{}}, map[shardKey]bool{}
	for _, running := range updates.Running {
		s := d.directory.services[running.Service]
		if s == nil || len(s.numbers) < 2 {
			continue
		}
		shard, ok := s.ShardOf[running.Endpoint]
		key := shardKey{running.Service, shard}
		if !ok || told[key] || d.directory.coordinator(running.Service, shard, now).Address != "" {
			continue
		}
		told[key] = true
		if room, counted := s.rooms[shard]; !counted || now.Sub(room.at) > roomPeriod {
			probe := Request{Service: running.Service, Shard: shard + 1, PromptTokens: running.PromptTokens}
			d.recordRoom(probe, d.candidates(probe, now), now)
		}
		answer.Rooms[running.Service] = append(answer.Rooms[running.Service], newShardRoom(shard, s.rooms[shard], now))
	}
	return answer
}

type shardKey struct {
	service string
	shard   int
}

// heard delivers what a coordinator said about the room of shards, by service.
type heard struct {
	rooms map[string][]ShardRoom
	// zone is the zone of the coordinator, and took the time of a call for a
	// placement, zero if it was not one.
	zone core.AvailabilityZone
	took time.Duration
}

func (m heard) handle(d *Duty, now time.Time) {
	if m.took > 0 {
		d.directory.links.observe(m.zone, m.took, now)
	}
	for service, rooms := range m.rooms {
		s := d.directory.services[service]
		if s == nil {
			continue
		}
		for _, r := range rooms {
			room := spill.Room{Free: max(0, r.Free), Slots: max(0, r.Slots), Wait: toDuration(max(0, r.WaitMS))}
			s.learn(r.Shard-1, countedRoom{room, now.Add(-time.Duration(max(0, r.AgeMS)) * time.Millisecond)})
		}
	}
}
