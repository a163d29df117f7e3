package wire

// Resources are quantities of cores and GPUs.
type Resources struct {
	Cores float64 `msgpack:"c,omitempty" json:"Cores"`
	GPUs  float64 `msgpack:"g,omitempty" json:"Cards"` // printed JSON uses the protocol's name
}

// Account is the record of a team's quota and of the shares of its limit that are assigned to
// shards. The leader grants from the part of the limit that is not in any share. Format 4.
type Account struct {
	Version   uint64    `msgpack:"v,omitempty"` // number of changes by operators; 0: the quota is that of the settings
	Limit     Resources `msgpack:"l"`           // 0: no limit
	Guarantee Resources `msgpack:"u"`           // 0: no guarantee
	Shares    []Share   `msgpack:"s,omitempty"`

	// Unreadable is set if the stored bytes could not be decoded. It is not stored.
	Unreadable bool `msgpack:"-"`
}

// Share is the part of a team's limit within which the owner of a shard may admit tasks itself.
type Share struct {
	Shard int     `msgpack:"p"`
	Cores float64 `msgpack:"c,omitempty" json:"Cores"`
	GPUs  float64 `msgpack:"g,omitempty" json:"Cards"` // printed JSON uses the protocol's name
}
