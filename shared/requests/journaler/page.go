package journaler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// recordBytes is an upper bound of the encoded size of a record without its
	// answer.
	recordBytes = 96
	// headerBytes is an upper bound of the encoding overhead of a stored header
	// line.
	headerBytes = 8
	// maxPageBytes bounds the size of a page. It is below the value size limit
	// of the platform's key-value service.
	maxPageBytes = 900 << 10
	// maxAnswersBytes is the page size above which stored answers are dropped.
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

// prune removes expired records.
func (pe page) prune(now time.Time) {
	maps.DeleteFunc(pe, func(_ ID, rd Record) bool { return !now.Before(rd.Expires) })
}

// dropAnswers drops stored answers in order of expiry until the page size is at
// most maxAnswersBytes or no answers are left.
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
