package control

// random is a multiply-with-carry generator, started from the dispatcher's seed.
type random struct{ x, c uint32 }

func newRandom(seed uint64) random {
	return random{uint32(seed) ^ 0x9e3779b9, uint32(seed>>32)%698769068 + 1}
}

func (r *random) next() uint32 {
	t := uint64(r.x)*698769069 + uint64(r.c)
	r.x, r.c = uint32(t), uint32(t>>32)
	return r.x
}

// float returns a number from 0 up to 1.
func (r *random) float() float64 { return float64(r.next()) / (1 << 32) }

// hash spreads a number over all bits (the finalizer of SplitMix64).
func hash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
