package logger

import (
	"bytes"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/shoenig/test/must"
)

func TestQueuedLinesAreWrittenBeforeCloseReturns(t *testing.T) {
	var output bytes.Buffer
	aw := NewAsyncWriter(&output)
	for range 100 {
		_, err := aw.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	aw.Close()
	must.Eq(t, 500, output.Len())
	must.Eq(t, 0, aw.Dropped())
}

// A goroutine may still log while the process ends.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var output bytes.Buffer
	aw := NewAsyncWriter(&output)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 1000 {
				_, _ = aw.Write([]byte("line\n"))
			}
		})
	}
	aw.Close()
	wg.Wait()
	dropped := aw.Dropped()
	_, err := aw.Write([]byte("late\n"))
	must.NoError(t, err)
	must.Eq(t, dropped+1, aw.Dropped())
	must.StrNotContains(t, output.String(), "late")
}

// blockedOutput blocks writes until it is closed.
type blockedOutput chan struct{}

func (bo blockedOutput) Write(data []byte) (int, error) {
	<-bo
	return len(data), nil
}

func TestCloseReturnsWhileOutputBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := make(blockedOutput)
		defer close(output)
		aw := NewAsyncWriter(output)
		_, err := aw.Write([]byte("line\n"))
		must.NoError(t, err)
		aw.Close()
	})
}
