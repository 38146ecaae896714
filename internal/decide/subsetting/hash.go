package subsetting

// Salt returns a hash of a name that is equal in all processes (FNV-1a). It distinguishes things that are divided in
// the same way, such as the budgets of two replicas.
func Salt(name string) (hash uint64) {
	const offsetBasis, prime = 14695981039346656037, 1099511628211
	hash = offsetBasis
	for i := range len(name) {
		hash = (hash ^ uint64(name[i])) * prime
	}
	return hash
}

// mix returns a salt's position on the circle, with the salt's bits mixed (splitmix64's finalizer).
func mix(salt uint64) float64 {
	salt += 0x9e3779b97f4a7c15
	salt = (salt ^ salt>>30) * 0xbf58476d1ce4e5b9
	salt = (salt ^ salt>>27) * 0x94d049bb133111eb
	return float64((salt^salt>>31)>>11) / (1 << 53)
}
