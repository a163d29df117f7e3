package wire

import "net/url"

// Resources are quantities of cores and GPUs.
type Resources struct {
	Cores float64 `msgpack:"c,omitempty" json:"Cores"`
	GPUs  float64 `msgpack:"g,omitempty" json:"Cards"` // the name in printed JSON stays
}

// Account is the record of a team's limit and of how it is shared among the shards of the
// site; format 4. What no share holds is the leader's to grant.
type Account struct {
	Version   uint64    `msgpack:"v,omitempty"` // operators' changes so far; 0: the terms are those of the settings
	Limit     Resources `msgpack:"l"`           // 0 means none
	Guarantee Resources `msgpack:"u"`
	Shares    []Share   `msgpack:"s,omitempty"`

	// Unreadable says that the stored bytes are no account. It is not written.
	Unreadable bool `msgpack:"-"`
}

// Share is how much of a team's limit a shard may admit by itself.
type Share struct {
	Shard int     `msgpack:"p"`
	Cores float64 `msgpack:"c,omitempty" json:"Cores"`
	GPUs  float64 `msgpack:"g,omitempty" json:"Cards"` // the name in printed JSON stays
}

// AccountKey is the key of a team's account. Names may hold what keys must not.
func AccountKey(team string) string { return AccountPrefix + url.QueryEscape(team) }

// AccountTeam is the team that a key made by AccountKey belongs to.
func AccountTeam(key string) string {
	team, err := url.QueryUnescape(key[len(AccountPrefix):])
	if err != nil {
		return ""
	}
	return team
}

// decodeAccount reads an account. A damaged one is not skipped as if it were absent: it
// may hold shares, which must not count as free.
func decodeAccount(raw []byte) *Account {
	a := new(Account)
	if err := Decode(raw, a); err != nil {
		return &Account{Unreadable: true}
	}
	return a
}
