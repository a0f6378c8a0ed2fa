package lender

// divide divides slots among parties by what they want: every slot goes to the
// party of which the least part of its want is met, and what nobody wants is
// spread so that each has about the same to spare. Earlier parties win ties.
func divide(slots int, wants []int) []int {
	shares := make([]int, len(wants))
	for range slots {
		best := 0
		for i := 1; i < len(wants); i++ {
			if isNeedier(shares[i], wants[i], shares[best], wants[best]) {
				best = i
			}
		}
		shares[best]++
	}
	return shares
}

func isNeedier(share, want, otherShare, otherWant int) bool {
	unmet := share < want
	otherUnmet := otherShare < otherWant
	switch {
	case unmet != otherUnmet:
		return unmet
	case unmet:
		return share*otherWant < otherShare*want
	default:
		return share-want < otherShare-otherWant
	}
}
