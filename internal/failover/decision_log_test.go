package failover

import (
	"fmt"
	"hash/crc32"
	"maps"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"micaport/internal/wire"
)

// leaderClaim is the claim of the leader in the tests of the decision log.
var leaderClaim = Claim{Controller: "a", Incarnation: "a1", Term: 7}

func fact(name string, at int64) wire.Fact {
	return wire.Fact{Kind: wire.FactIdle, Name: name, At: at}
}

// factTimes returns the times of the facts that a replica has stored for a term, by the leader's
// clock. The key is the name of the fact.
func factTimes(r *Replica, term uint64) map[string]int64 {
	facts := map[string]int64{}
	for _, f := range r.FactsOfTerm(term) {
		facts[f.Name] = f.At - r.clockOffset.Milliseconds()
	}
	return facts
}

// The standby receives all facts at first and then each change once.
func TestLogCarriesChanges(t *testing.T) {
	p, r := NewPublisher(), NewReplica()
	p.SetStandby("b", 7)
	// exchange publishes facts and returns how many are sent, or -1 if no message is sent.
	exchange := func(now time.Duration, facts ...wire.Fact) int {
		p.Publish(facts)
		_, m := p.Next(now, "a", "a1")
		if m == nil {
			return -1
		}
		p.ReceiveAck(now, r.Receive(now+time.Hour, leaderClaim, m))
		var sent []wire.Fact
		if err := wire.Decode(m.Facts, &sent); err != nil {
			t.Fatal(err)
		}
		return len(sent)
	}
	for i, c := range []struct {
		facts []wire.Fact
		sent  int
	}{
		{[]wire.Fact{fact("x", 1), fact("y", 2)}, 2}, {[]wire.Fact{fact("x", 1), fact("y", 2)}, -1},
		{[]wire.Fact{fact("x", 1), fact("y", 3), fact("z", 4)}, 2}, {[]wire.Fact{fact("z", 4)}, 2}, {nil, 1}, {nil, -1},
	} {
		if sent := exchange(time.Duration(i)*time.Second, c.facts...); sent != c.sent {
			t.Errorf("step %d: %d facts were sent, want %d", i, sent, c.sent)
		}
		want := map[string]int64{}
		for _, f := range c.facts {
			want[f.Name] = f.At
		}
		if got := factTimes(r, 7); !maps.Equal(got, want) {
			t.Errorf("step %d: the standby holds %v, want %v", i, got, want)
		}
	}
	if facts := r.FactsOfTerm(6); facts != nil {
		t.Errorf("facts of another term: %v", facts)
	}
}

// The times of facts are converted to the standby's clock.
func TestLogConvertsTimes(t *testing.T) {
	p, r := NewPublisher(), NewReplica()
	p.SetStandby("b", 7)
	p.Publish([]wire.Fact{fact("x", 1500), {Kind: wire.FactDraining, Name: "y"}})
	_, m := p.Next(2*time.Second, "a", "a1")
	r.Receive(time.Hour, leaderClaim, m)
	for _, f := range r.FactsOfTerm(7) {
		want := int64(0)
		if f.Kind == wire.FactIdle {
			want = (time.Hour - 500*time.Millisecond).Milliseconds()
		}
		if f.At != want {
			t.Errorf("fact %s has the time %d ms, want %d", f.Name, f.At, want)
		}
	}
}

// While the standby does not answer, the number of pending changes is limited by the number of
// facts. The facts of a large site are sent in several messages.
func TestLogMessagesAreBounded(t *testing.T) {
	p, r := NewPublisher(), NewReplica()
	p.SetStandby("b", 7)
	facts := make([]wire.Fact, 4000)
	for round := range 50 {
		for i := range facts {
			facts[i] = fact(fmt.Sprintf("vm-%d", i), int64(round*5000+i+1))
		}
		p.Publish(facts)
		if p.Next(time.Duration(round)*100*time.Millisecond, "a", "a1"); len(p.changed) > len(facts) {
			t.Fatalf("%d changes of %d facts are pending", len(p.changed), len(facts))
		}
	}
	messages := 0
	for now := time.Minute; ; now += 100 * time.Millisecond {
		_, m := p.Next(now, "a", "a1")
		if m == nil {
			break
		}
		if len(m.Facts) > 64<<10 {
			t.Errorf("a message has %d bytes of facts, want at most %d", len(m.Facts), 64<<10)
		}
		messages++
		p.ReceiveAck(now, r.Receive(now, leaderClaim, m))
	}
	if r.FactCount() != len(facts) || messages != 4 || p.Resyncs() == 0 {
		t.Errorf("%d facts in %d messages after %d resyncs", r.FactCount(), messages, p.Resyncs())
	}
}

// A message that claims to have more facts than it has is refused, and no memory is allocated for
// them.
func TestLogRefusesInvalidLengths(t *testing.T) {
	for _, raw := range [][]byte{{0xdd, 0xff, 0xff, 0xff, 0xff}, {0xdd, 0, 0xff, 0xff, 0xff}, {0xdc, 0xff, 0xff}, {0x91, 0xdd, 0xff, 0xff, 0xff, 0xff}, {0x80}, nil} {
		r := NewReplica()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		m := &wire.DecisionLog{From: "a", Life: "a1", Term: 7, Sequence: 1, Reset: true, Facts: raw, Checksum: crc32.ChecksumIEEE(raw)}
		ack := r.Receive(time.Second, leaderClaim, m)
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; !ack.Resync || r.RefusedMessages() != 1 || allocated > 1<<20 {
			t.Errorf("%x: acknowledgement %+v, %d refused, %d bytes allocated", raw, ack, r.RefusedMessages(), allocated)
		}
	}
}

// A standby whose replica of the records lags refuses a message. The next message is delayed.
func TestLogDelaysAfterRefusal(t *testing.T) {
	p, r := NewPublisher(), NewReplica()
	p.SetStandby("b", 8)
	p.Publish([]wire.Fact{fact("x", 1)})
	_, m := p.Next(time.Second, "a", "a1")
	p.ReceiveAck(time.Second, r.Receive(time.Second, leaderClaim, m))
	if _, m := p.Next(time.Second+resyncDelay-1, "a", "a1"); m != nil {
		t.Error("the next message is not delayed")
	}
	if _, m := p.Next(time.Second+resyncDelay, "a", "a1"); m == nil || !m.Reset {
		t.Errorf("the next message is %+v, want one with a reset", m)
	}
	if r.RefusedMessages() != 1 {
		t.Errorf("%d messages were refused, want 1", r.RefusedMessages())
	}
}

// Messages and acknowledgements are lost, repeated, late, damaged, or of another incarnation or
// term. Nothing panics, messages that do not belong to the current log are refused, and once
// messages arrive again the standby holds exactly the facts of the leader.
func TestLogRecoversFromFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, r := NewPublisher(), NewReplica()
		p.SetStandby("b", 7)
		now := time.Second
		leaderFacts := map[string]int64{}
		var sent []*wire.DecisionLog
		publish := func() {
			var facts []wire.Fact
			for name, at := range leaderFacts {
				facts = append(facts, fact(name, at))
			}
			p.Publish(facts)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(10, 900).Draw(t, "pause")) * time.Millisecond
			name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "fact"))
			if rapid.Bool().Draw(t, "remove") {
				delete(leaderFacts, name)
			} else {
				leaderFacts[name] = int64(rapid.IntRange(1, 1000).Draw(t, "at"))
			}
			publish()
			if _, m := p.Next(now, "a", "a1"); m != nil {
				sent = append(sent, m)
				switch rapid.IntRange(0, 4).Draw(t, "delivery") {
				case 0: // lost
				case 1: // received, but its acknowledgement is lost
					r.Receive(now, leaderClaim, m)
				default:
					p.ReceiveAck(now, r.Receive(now, leaderClaim, m))
				}
			}
			if len(sent) > 0 && rapid.IntRange(0, 2).Draw(t, "fault") == 0 {
				m := *rapid.SampledFrom(sent).Draw(t, "message")
				switch rapid.IntRange(0, 4).Draw(t, "kind") {
				case 0:
					m.Facts = append([]byte{0xc1}, rapid.SliceOf(rapid.Byte()).Draw(t, "damage")...)
				case 1:
					m.Term -= uint64(rapid.IntRange(1, 6).Draw(t, "term"))
				case 2:
					m.Life = "a0"
				case 3: // not a list of facts, with a valid checksum
					m.Facts = rapid.SliceOf(rapid.Byte()).Draw(t, "invalid facts")
					if _, err := wire.DecodeFacts(m.Facts, maxMessageFacts); err == nil {
						continue // by chance it is a list of facts
					}
					m.Checksum = crc32.ChecksumIEEE(m.Facts)
				}
				p.ReceiveAck(now, r.Receive(now, leaderClaim, &m))
			}
		}
		for range 40 {
			now += time.Second
			publish()
			if _, m := p.Next(now, "a", "a1"); m != nil {
				p.ReceiveAck(now, r.Receive(now, leaderClaim, m))
			}
		}
		if got := factTimes(r, 7); !maps.Equal(got, leaderFacts) {
			t.Fatalf("the standby holds %v, the leader has %v", got, leaderFacts)
		}
	})
}
