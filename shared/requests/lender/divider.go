package lender

// divide divides slots among entries in proportion to the wanted slots. Each
// slot goes to the entry with the smallest fraction of its wanted slots. Once
// all demand is met, the remaining slots are spread so that each entry gets
// about the same surplus. On a tie the first entry wins.
func divide(slots int, wanted []int) []int {
	shares := make([]int, len(wanted))
	for range slots {
		best := 0
		for i := 1; i < len(wanted); i++ {
			if isLessSatisfied(shares[i], wanted[i], shares[best], wanted[best]) {
				best = i
			}
		}
		shares[best]++
	}
	return shares
}

func isLessSatisfied(share, wanted, otherShare, otherWanted int) bool {
	unmet := share < wanted
	otherUnmet := otherShare < otherWanted
	switch {
	case unmet != otherUnmet:
		return unmet
	case unmet:
		return share*otherWanted < otherShare*wanted
	default:
		return share-wanted < otherShare-otherWanted
	}
}
