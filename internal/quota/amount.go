// Package quota keeps every team's limit while several controllers admit work at once.
//
// It is an escrow: the record of a team's account holds its limit and how much of it each
// shard of the site may admit by itself. The owner of a shard admits within the shard's share
// without asking anyone, the leader within what no share holds. The package has no input
// or output: it is told of records and charges and says what may be admitted and how the
// shares should be distributed. docs/team-limits.md weighs the ways and argues why the limit
// can't be exceeded.
package quota

import "math"

// Amount is a quantity of cores and GPUs. It is kept in whole billionths, so that
// adding and removing the same charges any number of times leaves nothing behind.
type Amount struct{ Cores, GPUs int64 }

// unit is one core or GPU.
const unit = 1_000_000_000

// tolerance is by how much the sum of rounded charges may exceed a limit: a millionth.
const tolerance = unit / 1_000_000

// maxUnits bounds a single quantity, so that sums stay far from overflow.
const maxUnits = 1e9

// Of converts decimal quantities.
func Of(cores, cards float64) Amount { return Amount{toUnits(cores), toUnits(cards)} }

func toUnits(x float64) int64 { return int64(math.Round(x * unit)) }

// Decimal gives the quantities as decimal numbers.
func (a Amount) Decimal() (cores, cards float64) {
	return float64(a.Cores) / unit, float64(a.GPUs) / unit
}

// Plus adds.
func (a Amount) Plus(b Amount) Amount { return Amount{a.Cores + b.Cores, a.GPUs + b.GPUs} }

// Minus subtracts.
func (a Amount) Minus(b Amount) Amount { return Amount{a.Cores - b.Cores, a.GPUs - b.GPUs} }

// Times multiplies by a count.
func (a Amount) Times(count int) Amount {
	return Amount{a.Cores * int64(count), a.GPUs * int64(count)}
}

// max takes the larger of each quantity.
func (a Amount) max(b Amount) Amount { return Amount{max(a.Cores, b.Cores), max(a.GPUs, b.GPUs)} }

// min takes the smaller of each quantity.
func (a Amount) min(b Amount) Amount { return Amount{min(a.Cores, b.Cores), min(a.GPUs, b.GPUs)} }

// within tells whether the amount keeps to a limit, in which 0 means no limit.
func (a Amount) within(limit Amount) bool {
	return (limit.Cores == 0 || a.Cores <= limit.Cores+tolerance) &&
		(limit.GPUs == 0 || a.GPUs <= limit.GPUs+tolerance)
}

// covers tells whether the amount is at least as large as another, up to rounding.
func (a Amount) covers(b Amount) bool {
	return b.Cores <= a.Cores+tolerance && b.GPUs <= a.GPUs+tolerance
}

// whole rounds down to whole cores and GPUs: a fraction of one admits hardly any task.
func (a Amount) whole() Amount { return Amount{a.Cores / unit * unit, a.GPUs / unit * unit} }

// dividedBy gives an equal part of the amount.
func (a Amount) dividedBy(parts int) Amount {
	return Amount{a.Cores / int64(parts), a.GPUs / int64(parts)}
}

// relevant drops the quantities that the limit does not limit.
func (a Amount) relevant(limit Amount) Amount {
	if limit.Cores == 0 {
		a.Cores = 0
	}
	if limit.GPUs == 0 {
		a.GPUs = 0
	}
	return a
}
