package failover

import "micaport/internal/wire"

// The decision log carries what only the leader knows to its standby, as facts. The Publisher is
// its side at the leader, the Replica that at the standby.

// maxMessageFacts is the largest number of facts in a message, some 60 KB. Further facts follow
// in the next message.
const maxMessageFacts = 1000

// factKey identifies a fact.
type factKey struct {
	kind wire.FactKind
	name string
}

func keyOf(fact *wire.Fact) factKey { return factKey{fact.Kind, fact.Name} }
