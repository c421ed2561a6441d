package control

// random is a multiply-with-carry generator. The package has its own so that a seed always gives the same sequence.
type random struct{ state, carry uint32 }

// newRandom returns a generator for a seed.
func newRandom(seed uint64) random {
	return random{uint32(seed) ^ 0x9e3779b9, uint32(seed>>32)%698769068 + 1}
}

// next returns 32 random bits.
func (r *random) next() uint32 {
	product := uint64(r.state)*698769069 + uint64(r.carry)
	r.state, r.carry = uint32(product), uint32(product>>32)
	return r.state
}

// float returns a number in [0, 1).
func (r *random) float() float64 { return float64(float64(r.next()) / (1 << 32)) }

// hash mixes all 64 bits of a number (the finalizer of SplitMix64).
func hash(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
