package model

type (
	// MilliCores is an amount of processors in thousandths of a core.
	MilliCores int64
	// Mebibytes is an amount of memory in MiB.
	Mebibytes int64
)

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	Cores        MilliCores `json:"milli-cores"`
	Memory       Mebibytes  `json:"memory-mib"`
	Accelerators int64      `json:"accelerators,omitempty"`
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Cores + o.Cores, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns the difference, which may be negative in any dimension.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Cores - o.Cores, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Times returns the amount multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.Cores * MilliCores(n), r.Memory * Mebibytes(n), r.Accelerators * int64(n)}
}

// Fits reports whether the amount fits into o, which means that it is at most o in every dimension.
func (r Resources) Fits(o Resources) bool {
	return r.Cores <= o.Cores && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// Negative reports whether any dimension is below zero.
func (r Resources) Negative() bool {
	return r.Cores < 0 || r.Memory < 0 || r.Accelerators < 0
}

// Zero reports whether every dimension is zero.
func (r Resources) Zero() bool { return r == Resources{} }

// DominantShare returns the largest fraction that the amount takes of any dimension of total. Dimensions in which total is
// zero are ignored.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	if total.Cores > 0 {
		share = max(share, float64(r.Cores)/float64(total.Cores))
	}
	if total.Memory > 0 {
		share = max(share, float64(r.Memory)/float64(total.Memory))
	}
	if total.Accelerators > 0 {
		share = max(share, float64(r.Accelerators)/float64(total.Accelerators))
	}
	return share
}
