package fairshare

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Times and bounds of the shares.
const (
	// demandTime is the time constant of the present demand. It spans several requests of a small team.
	demandTime = time.Second
	// lackingTime is the time constant of the work without room. It is short, so that a surge is not counted after its end.
	lackingTime = 250 * time.Millisecond
	// usualTime is the time constant of the usual demand, by which the room is divided.
	usualTime = time.Minute
	// maxGrowth is how many times its usual demand a team's present demand counts as usual, once that has been learnt for learnTime.
	// The beginning of a surge must not raise the share that the team gets in it.
	maxGrowth = 1.5
	learnTime = 3 * time.Second
	// minSpan is the time over which rates are averaged at least.
	minSpan = 500 * time.Millisecond
	// adjustInterval is the time between two computations of the level.
	adjustInterval = 100 * time.Millisecond
	// calmTime is how long after the last request without room the level begins to rise, offTime how long until it limits no team.
	// riseTime is the time constant of the rise.
	calmTime = 300 * time.Millisecond
	riseTime = 250 * time.Millisecond
	offTime  = 800 * time.Millisecond
	// targetShare is the share of what was served that the teams' parts add up to. The rest takes up how demands vary, so that few
	// requests within a team's part find no room.
	targetShare = 0.95
	// minLacking is the share of the work without room from which on teams are limited. A service that is full for a moment is not.
	minLacking = 0.05
	// minWeight is the smallest weight of a team, as a share of the mean usual demand. It leaves room to a team that was quiet.
	minWeight = 0.5
	// minShare is the smallest share of a team's requests as a multiple of the share of all requests. It starves no team.
	minShare = 0.4
	// chance is by how many standard deviations of random arrivals a team's demand may exceed its part without being limited.
	chance = 2
	// maxTeams bounds the teams of one service and rank.
	maxTeams = 4096
)

// group holds the requests of one rank of a service.
type group struct {
	teams map[settings.TeamID]*team
	// served is the work that found room, lacking that which did not.
	served, lacking rate
	// unit is the work of the latest request.
	unit float64
	// level is the weighted fair level, infinite while there is room for all.
	level                     float64
	adjusted, noRoom, changed clock.Instant
}

// team holds the present and the usual demand of a team.
type team struct {
	present, usual rate
}

// groupID identifies a group.
type groupID struct {
	service settings.ServiceName
	rank    int
}

// Tracker divides the room of each service among teams; the zero value is ready to use. It answers one team that sends many times its
// usual: while requests of a rank find no room, each team gets its part by its usual demand, and what a team leaves goes to the others.
// Clients of all teams come to all routers, so that each router can decide by what it sees, and all of them decide nearly alike.
type Tracker struct {
	mu     sync.Mutex
	groups map[groupID]*group
}

// Admit records that a team wants work done, and reports whether the request is within the team's share. Requests with the same key are
// decided alike while the share lasts, so that a chat is served whole.
func (t *Tracker) Admit(now clock.Instant, service settings.ServiceName, rank int, id settings.TeamID, key uint64, work float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(service, rank)
	member := g.teams[id]
	if member == nil {
		if len(g.teams) >= maxTeams {
			g.forget(now)
		}
		member = &team{}
		g.teams[id] = member
	}
	g.unit = work
	member.present.add(now, work, demandTime)
	g.rise(now)
	if math.IsInf(g.level, 1) {
		// What a team wants in an overload is not its usual demand. While nothing is added, all weights decay alike.
		member.usual.add(now, work*member.usualPart(now), usualTime)
	}
	return position(id, key) < g.share(now, member)
}

// Served records that work of a rank has found room.
func (t *Tracker) Served(now clock.Instant, service settings.ServiceName, rank int, work float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.group(service, rank).served.add(now, work, demandTime)
}

// NoRoom records that work of a rank has found no room. It reports whether the teams are limited from now on.
func (t *Tracker) NoRoom(now clock.Instant, service settings.ServiceName, rank int, work float64) (began bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(service, rank)
	g.noRoom, g.changed = now, now
	g.lacking.add(now, work, lackingTime)
	if g.adjusted != 0 && now.Sub(g.adjusted) < adjustInterval {
		return false
	}
	served, lacking := g.served.perSecond(now, demandTime, minSpan), g.lacking.perSecond(now, lackingTime, lackingTime)
	wasLimited := !math.IsInf(g.level, 1)
	if !wasLimited && lacking < minLacking*(served+lacking) {
		return false
	}
	g.adjusted = now
	g.level = level(g.demands(now), targetShare*served)
	return !wasLimited && !math.IsInf(g.level, 1)
}

// Share is the part of a team's requests of one rank of a service that is admitted.
type Share struct {
	Service settings.ServiceName `json:"service"`
	Rank    int                  `json:"rank"`
	Team    settings.TeamID      `json:"team"`
	// Wanted and Usual are the present and the usual demand in work per second.
	Wanted float64 `json:"wanted"`
	Usual  float64 `json:"usual"`
	Share  float64 `json:"share"`
}

// maxListed bounds the listed shares.
const maxListed = 64

// Limited returns the teams that are held to a share of their requests, those with the smallest share first.
func (t *Tracker) Limited(now clock.Instant) []Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Share
	for id, g := range t.groups {
		g.rise(now)
		if math.IsInf(g.level, 1) {
			continue
		}
		for name, member := range g.teams {
			if share := g.share(now, member); share < 1 {
				list = append(list, Share{
					Service: id.service, Rank: id.rank, Team: name, Share: share,
					Wanted: member.present.perSecond(now, demandTime, minSpan), Usual: member.usual.perSecond(now, usualTime, minSpan),
				})
			}
		}
	}
	slices.SortFunc(list, func(a, b Share) int { return cmp.Compare(a.Share, b.Share) })
	return list[:min(len(list), maxListed)]
}

// usualPart returns the part of a team's present demand that counts as usual.
func (m *team) usualPart(now clock.Instant) float64 {
	if now.Sub(m.usual.since) < learnTime {
		return 1
	}
	return min(1, maxGrowth*m.usual.perSecond(now, usualTime, minSpan)/m.present.perSecond(now, demandTime, minSpan))
}

// group returns the group of a service's rank; t.mu is held.
func (t *Tracker) group(service settings.ServiceName, rank int) *group {
	id := groupID{service: service, rank: rank}
	g := t.groups[id]
	if g == nil {
		if t.groups == nil {
			t.groups = make(map[groupID]*group)
		}
		g = &group{teams: make(map[settings.TeamID]*team), level: math.Inf(1)}
		t.groups[id] = g
	}
	return g
}

// forget drops the teams without recent requests.
func (g *group) forget(now clock.Instant) {
	for id, member := range g.teams {
		if now.Sub(member.present.at) > usualTime {
			delete(g.teams, id)
		}
	}
}

// rise lets the level rise while requests find room, until it limits no team.
func (g *group) rise(now clock.Instant) {
	since := max(g.changed, g.noRoom.Add(calmTime))
	if math.IsInf(g.level, 1) || now <= since {
		return
	}
	g.level *= math.Exp(now.Sub(since).Seconds() / riseTime.Seconds())
	g.changed = now
	if now.Sub(g.noRoom) >= offTime {
		g.level = math.Inf(1)
	}
}

// demands returns the demands of all teams.
func (g *group) demands(now clock.Instant) []demand {
	floor := g.minWeight(now)
	list := make([]demand, 0, len(g.teams))
	for _, member := range g.teams {
		list = append(list, demand{
			wanted: member.present.perSecond(now, demandTime, minSpan),
			weight: max(floor, member.usual.perSecond(now, usualTime, minSpan)),
		})
	}
	return list
}

// minWeight returns the smallest weight of a team.
func (g *group) minWeight(now clock.Instant) float64 {
	sum := 0.0
	for _, member := range g.teams {
		sum += member.usual.perSecond(now, usualTime, minSpan)
	}
	return max(minWeight*sum/float64(max(1, len(g.teams))), math.SmallestNonzeroFloat32)
}

// share returns the share of a team's requests that are admitted.
func (g *group) share(now clock.Instant, member *team) float64 {
	if math.IsInf(g.level, 1) {
		return 1
	}
	wanted, granted := 0.0, 0.0
	floor := g.minWeight(now)
	own := 1.0
	for _, other := range g.teams {
		w := other.present.perSecond(now, demandTime, minSpan)
		part := g.level * max(floor, other.usual.perSecond(now, usualTime, minSpan))
		if w <= part+chance*math.Sqrt(part*g.unit/demandTime.Seconds()) {
			part = w
		}
		wanted, granted = wanted+w, granted+part
		if other == member && w > 0 {
			own = part / w
		}
	}
	if wanted <= 0 {
		return 1
	}
	return max(own, minShare*granted/wanted)
}

// position returns the place of a request among those of its team, from 0 to 1, which is the same at all routers.
func position(id settings.TeamID, key uint64) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(id))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, key))
	return float64(h.Sum64()>>11) / (1 << 53)
}
