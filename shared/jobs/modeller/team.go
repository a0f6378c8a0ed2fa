package modeller

// Team is a group of callers, whose requests carry one of its keys.
type Team struct {
	// Name is the team's name.
	Name string
	// KeyDigests are the SHA-256 digests of the team's keys. The keys themselves are
	// not kept.
	KeyDigests [][32]byte
	// Priority is the team's priority; zero is the most urgent.
	Priority int
	// Weight is the team's share when all capacity is in use, relative to the weights
	// of the other teams.
	Weight float64
	// Cap limits what the team has running; zero in a resource means no limit.
	Cap Resources
}
