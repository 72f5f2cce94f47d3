package membership

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"spurtrestle/core/clock"
)

// randomFleet generates members and heartbeats. A name may have several processes; an incarnation identifies one process, and a
// sequence number one heartbeat of it.
func randomFleet(random *rand.Rand) (members []Member, heartbeats []Heartbeat) {
	var candidates []Member
	for i := range 1 + random.IntN(5) {
		name := Name(strconv.Itoa(i))
		for range 1 + random.IntN(2) {
			id := Incarnation(10 + random.IntN(40))
			candidates = append(candidates, Member{Name: name, Site: "s", Incarnation: id, StartedAt: int64(id), Addr: fmt.Sprint(id)})
			for seq := range uint64(3) {
				heartbeats = append(heartbeats, Heartbeat{Incarnation: id, Seq: seq + 2, Accepting: random.IntN(2) == 0,
					PolicyRevision: uint64(random.IntN(2))})
			}
		}
	}
	seen := map[Incarnation]bool{}
	for _, member := range candidates {
		if !seen[member.Incarnation] {
			seen[member.Incarnation] = true
			members = append(members, member)
		}
	}
	last := map[Incarnation]Heartbeat{}
	for i, heartbeat := range heartbeats {
		if earlier, ok := last[heartbeat.Incarnation]; ok && earlier.Seq >= heartbeat.Seq {
			heartbeats[i] = earlier
			continue
		}
		last[heartbeat.Incarnation] = heartbeat
	}
	return members, heartbeats
}

// describeContent returns the part of a view that the digest is computed over.
func describeContent(view *View) string {
	text := ""
	for _, router := range view.Snapshot(1).Routers {
		text += fmt.Sprintln(router.Name, router.Site, router.Incarnation, router.Accepting, router.Draining, router.NameConflict, router.PolicyRevision)
	}
	return text
}

// The same alive routers give the same digest, in whatever order and however often members and heartbeats arrive, and different
// contents give different digests.
func TestDigest_DependsOnContentOnly(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	contentOf := map[uint64]string{}
	for range 300 {
		members, heartbeats := randomFleet(random)
		firstDigest := uint64(0)
		for attempt := range 3 {
			view := New(0, testConfig(), Member{Name: "me", Incarnation: 1})
			var inputs []func()
			for _, member := range members {
				inputs = append(inputs, func() { view.MemberJoined(1, member) })
			}
			for _, heartbeat := range append(heartbeats, heartbeats...) {
				inputs = append(inputs, func() { view.ReceiveHeartbeat(1, heartbeat) })
			}
			random.Shuffle(len(inputs), func(i, j int) { inputs[i], inputs[j] = inputs[j], inputs[i] })
			for _, input := range inputs {
				input()
			}
			if attempt == 0 {
				firstDigest = view.digest
			}
			if view.digest != firstDigest {
				t.Fatalf("digest after another order: got %x, want %x; members %v, heartbeats %v", view.digest, firstDigest, members, heartbeats)
			}
			content := describeContent(view)
			if other, ok := contentOf[view.digest]; ok && other != content {
				t.Fatalf("two contents have the digest %x:\n%s\nand\n%s", view.digest, other, content)
			}
			contentOf[view.digest] = content
		}
	}
}

// The records of unknown processes are bounded, and a process can join again once they are forgotten.
func TestView_BoundsFloodOfHeartbeats(t *testing.T) {
	config := testConfig()
	view := New(0, config, parseMember([]string{"me/1"}))
	for i := range Incarnation(100_000) {
		view.ReceiveHeartbeat(clock.Second, Heartbeat{Incarnation: 10 + i, Seq: 1})
	}
	if got, want := len(view.processes), 4*config.MaxReconnectAddrs; got > want {
		t.Errorf("processes after the flood: got %d, want at most %d", got, want)
	}
	view.Tick(clock.Second + config.ForgetAfter + 1)
	view.MemberJoined(clock.Second+config.ForgetAfter+2, parseMember([]string{"a/7"}))
	if got := len(view.AliveMembers()); got != 2 {
		t.Errorf("alive members after a join that follows the flood: got %d, want 2", got)
	}
}
