package wire

// This file defines the messages between controllers and the cloud API. The field tags and the
// values of the constants are the names that the API uses.

// MachineType is a machine type that the cloud offers.
type MachineType struct {
	Name             string   `msgpack:"sku"`
	Cores            float64  `msgpack:"cores"`
	GPUs             float64  `msgpack:"cards"`
	MemoryGB         float64  `msgpack:"memory_gb"`
	ImageCacheGB     float64  `msgpack:"local_gb"`      // size of the image cache
	FetchGBs         float64  `msgpack:"pull_gb_per_s"` // rate at which images are fetched, in GB per second
	PricePerHour     float64  `msgpack:"hourly"`
	SpotPricePerHour float64  `msgpack:"spot_price"`
	BootS            float64  `msgpack:"boot_s"` // nominal boot time in seconds
	Zones            []string `msgpack:"halls"`  // zones in which it is offered
}

// MachineTypeList is the response to a query for the machine types.
type MachineTypeList struct {
	MachineTypes []MachineType `msgpack:"rigs"`
}

// ProvisionRequest requests machines of one pool from the cloud. Requests are idempotent: the cloud
// repeats its response to a request whose name it has already granted, and provisions nothing more.
type ProvisionRequest struct {
	Name        string `msgpack:"hire"` // unique; never reused for another request
	MachineType string `msgpack:"rig"`
	Zone        string `msgpack:"hall"`
	Spot        bool   `msgpack:"loaner"`
	Count       int    `msgpack:"count"` // machines wanted; fewer may be granted
}

// MachineNames lists the machines granted by the response to a ProvisionRequest, or the machines to
// be deprovisioned.
type MachineNames struct {
	Names []string `msgpack:"hosts"`
}

// States of a machine in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed" // stopped without a request; listed until it is deprovisioned
)

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	Name        string  `msgpack:"ref"`
	Addr        string  `msgpack:"addr"` // host:port of its worker
	MachineType string  `msgpack:"rig"`
	Zone        string  `msgpack:"hall"`
	Spot        bool    `msgpack:"loaner"`
	Status      string  `msgpack:"status"` // MachineBooting, MachineRunning or MachineFailed
	AgeS        float64 `msgpack:"age_s"`  // seconds since the provisioning request, at the time of the listed state
}

// MachineList is a page of the cloud's list, sorted by name. The list may be some seconds out of
// date.
type MachineList struct {
	Machines []CloudMachine `msgpack:"hosts"`
	HasNext  bool           `msgpack:"has_next"` // more machines follow the last one
}
