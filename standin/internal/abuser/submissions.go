package abuser

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// WholeJobs is the manner of clients that submit one legal job after the other, each on a
// connection that it keeps.
var WholeJobs = Manner{Name: "whole jobs on kept connections", send: sendWholeJobs}

// Mixed is the manner of clients of all other manners that come back at once.
var Mixed = Manner{Name: "all manners, back at once", send: sendMixed, comesBackAtOnce: true}

// legalJob returns a job of 3.9 KB with 8 steps.
var legalJob = sync.OnceValue(func() string {
	const specBytes, steps = 3300, 8
	const step = `{"count":1,"cpu":500,"mem_mb":100,"estimate_ms":100}`
	return fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, strings.Repeat("x", specBytes), strings.TrimSuffix(strings.Repeat(step+",", steps), ","))
})

func sendWholeJobs(conn net.Conn, rq request) error {
	reader := bufio.NewReader(conn)
	for path := rq.path; ; path = rq.next() {
		job := request{
			path: path,
		}
		if _, err := io.WriteString(conn, job.head(fmt.Sprintf("Content-Length: %d\r\n", len(legalJob())))+legalJob()); err != nil {
			return err
		}
		rs, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, rs.Body)
		_ = rs.Body.Close()
		if err != nil || rs.Close {
			return err
		}
	}
}

func sendMixed(conn net.Conn, rq request) error {
	kinds := append(Manners[:len(Manners):len(Manners)], WholeJobs)
	return kinds[rq.number%len(kinds)].send(conn, rq)
}
