package journaler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// recordBytes is more than a record takes without its answer.
	recordBytes = 96
	// headerBytes is more than a stored header line takes beside its text.
	headerBytes = 8
	// maxPageBytes bounds a page below what the platform's service holds.
	maxPageBytes = 900 << 10
	// maxAnswersBytes is the size of a page above which answers are dropped.
	maxAnswersBytes = 600 << 10
)

// page is the content of one shard.
type page map[ID]Record

func (rd Record) size() int {
	size := recordBytes
	if rd.Answer == nil {
		return size
	}
	for name, values := range rd.Answer.Header {
		for _, value := range values {
			size += headerBytes + len(name) + len(value)
		}
	}
	return size + len(rd.Answer.Body)
}

func (pe page) size() int {
	size := 0
	for _, rd := range pe {
		size += rd.size()
	}
	return size
}

// prune removes what has expired.
func (pe page) prune(now time.Time) {
	maps.DeleteFunc(pe, func(_ ID, rd Record) bool { return !now.Before(rd.Expires) })
}

// dropAnswers drops stored answers, those that expire first before others,
// until the page is small enough or has none left.
func (pe page) dropAnswers() {
	size := pe.size()
	if size <= maxAnswersBytes {
		return
	}
	var stored []ID
	for id, rd := range pe {
		if rd.Answer != nil {
			stored = append(stored, id)
		}
	}
	slices.SortFunc(stored, func(a, b ID) int {
		return cmp.Or(pe[a].Expires.Compare(pe[b].Expires), slices.Compare(a[:], b[:]))
	})
	for _, id := range stored {
		if size <= maxAnswersBytes {
			return
		}
		rd := pe[id]
		size -= rd.size() - recordBytes
		rd.Answer = nil
		pe[id] = rd
	}
}
