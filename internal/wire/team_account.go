package wire

// Resources are quantities of cores and GPUs.
type Resources struct {
	Cores float64 `msgpack:"c,omitempty" json:"Cores"`
	GPUs  float64 `msgpack:"g,omitempty" json:"Cards"` // the printed JSON keeps its name
}

// Account is the record of a team's quota and of how its limit is shared among the shards of
// the site. The leader grants from what no share holds. Format 4.
type Account struct {
	Version   uint64    `msgpack:"v,omitempty"` // number of operators' changes; 0: the quota is that of the settings
	Limit     Resources `msgpack:"l"`           // 0: no limit
	Guarantee Resources `msgpack:"u"`           // 0: no guarantee
	Shares    []Share   `msgpack:"s,omitempty"`

	// Unreadable is set if the stored bytes are not an account. It is not stored.
	Unreadable bool `msgpack:"-"`
}

// Share is how much of a team's limit the owner of a shard may admit by itself.
type Share struct {
	Shard int     `msgpack:"p"`
	Cores float64 `msgpack:"c,omitempty" json:"Cores"`
	GPUs  float64 `msgpack:"g,omitempty" json:"Cards"` // the printed JSON keeps its name
}
