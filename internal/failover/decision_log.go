package failover

import "micaport/internal/wire"

// maxMessageFacts is the maximum number of facts in a message of the decision log, about 60 KB.
// Further facts are sent in the next message.
const maxMessageFacts = 1000

// factKey identifies a fact of the decision log, which the Publisher of the leader sends and the
// Replica of the standby stores.
type factKey struct {
	kind wire.FactKind
	name string
}

func keyOf(fact *wire.Fact) factKey { return factKey{fact.Kind, fact.Name} }
