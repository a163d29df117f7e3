package quota

import "math"

// Amount is a quantity of cores and GPUs, in billionths. Integers keep sums exact, so that adding
// and removing the same charges any number of times leaves no rounding error.
type Amount struct{ Cores, GPUs int64 }

const (
	// scale is one core or GPU, in billionths.
	scale = 1_000_000_000
	// tolerance is how far a sum of rounded charges may exceed a limit: a millionth of a core
	// or GPU.
	tolerance = scale / 1_000_000
	// maxQuantity is the largest valid decimal quantity; it keeps sums from overflowing.
	maxQuantity = 1e9
)

// NewAmount returns the amount for decimal quantities, rounded to billionths.
func NewAmount(cores, gpus float64) Amount { return Amount{toBillionths(cores), toBillionths(gpus)} }

func toBillionths(quantity float64) int64 { return int64(math.Round(quantity * scale)) }

// Decimal returns the quantities as decimal numbers.
func (a Amount) Decimal() (cores, gpus float64) {
	return float64(a.Cores) / scale, float64(a.GPUs) / scale
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount { return Amount{a.Cores + b.Cores, a.GPUs + b.GPUs} }

// Minus returns the difference of two amounts, which may be negative.
func (a Amount) Minus(b Amount) Amount { return Amount{a.Cores - b.Cores, a.GPUs - b.GPUs} }

// Times returns the amount multiplied by a count.
func (a Amount) Times(count int) Amount {
	return Amount{a.Cores * int64(count), a.GPUs * int64(count)}
}

// max returns, for each resource, the larger of the two quantities.
func (a Amount) max(b Amount) Amount { return Amount{max(a.Cores, b.Cores), max(a.GPUs, b.GPUs)} }

// min returns, for each resource, the smaller of the two quantities.
func (a Amount) min(b Amount) Amount { return Amount{min(a.Cores, b.Cores), min(a.GPUs, b.GPUs)} }

// nonNegative returns the amount with negative quantities replaced by 0.
func (a Amount) nonNegative() Amount { return a.max(Amount{}) }

// within reports whether the amount does not exceed a limit, apart from rounding. A quantity of 0
// in the limit means that the resource is not limited.
func (a Amount) within(limit Amount) bool {
	return (limit.Cores == 0 || a.Cores <= limit.Cores+tolerance) &&
		(limit.GPUs == 0 || a.GPUs <= limit.GPUs+tolerance)
}

// covers reports whether both quantities are at least as large as those of another amount, apart
// from rounding.
func (a Amount) covers(b Amount) bool {
	return b.Cores <= a.Cores+tolerance && b.GPUs <= a.GPUs+tolerance
}

// roundedDown returns the amount rounded down to whole cores and GPUs; few tasks fit into a
// fraction of one.
func (a Amount) roundedDown() Amount { return Amount{a.Cores / scale * scale, a.GPUs / scale * scale} }

// dividedBy returns the amount divided by a number of parts, rounded to billionths towards 0.
func (a Amount) dividedBy(parts int) Amount {
	return Amount{a.Cores / int64(parts), a.GPUs / int64(parts)}
}

// limitedResources returns the amount with 0 for the resources that a limit does not limit.
func (a Amount) limitedResources(limit Amount) Amount {
	if limit.Cores == 0 {
		a.Cores = 0
	}
	if limit.GPUs == 0 {
		a.GPUs = 0
	}
	return a
}
