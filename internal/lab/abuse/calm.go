package abuse

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"reachwind/internal/standin/pgclient"
)

// Calm is a group of well-behaved clients: each sends one read after another, with a pause in between.
type Calm struct {
	Addr    string // of the PostgreSQL front
	RESTURL string // of the REST front; not empty: the clients speak REST
	Clients int
	Class   string
	Tenant  string
	Wait    time.Duration // that a client waits for an answer
	Pause   time.Duration // between an answer and the next request
	Prefix  string        // of the ids of requests
}

// Service tells how clients were served.
type Service struct {
	Requests   int
	InTime     int // served within the time that the client waited
	Refused    int // in time
	Failed     int // in time
	Late       int // answered, but after the client's time
	Unanswered int // no answer within lateAnswerWait after the client's time
	Closed     int // the connection ended before an answer to a request on a new connection
	Slowest    time.Duration
}

func (s Service) String() string {
	return fmt.Sprintf("%d requests: %d served in time, %d refused, %d failed, %d late, %d unanswered, %d closed, slowest %v",
		s.Requests, s.InTime, s.Refused, s.Failed, s.Late, s.Unanswered, s.Closed, s.Slowest.Round(time.Millisecond))
}

// lateAnswerWait is the time after its own for which an answer only earns nothing; after it the request counts as lost.
const lateAnswerWait = 500 * time.Millisecond

var errUnanswered = errors.New("no answer")

// Run plays the clients for the given time.
func (c Calm) Run(duration time.Duration) (total Service) {
	var mu sync.Mutex
	var running sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range c.Clients {
		running.Add(1)
		go func() {
			defer running.Done()
			send, closeConn := c.connect()
			defer closeConn()
			for n := 0; time.Now().Before(end); n++ {
				began := time.Now()
				verdict, err := send(fmt.Sprintf("%s%d-%d", c.Prefix, i, n))
				mu.Lock()
				total.count(verdict, err, time.Since(began), c.Wait)
				mu.Unlock()
				time.Sleep(c.Pause)
			}
		}()
	}
	running.Wait()
	return total
}

// count adds one request that took so long.
func (s *Service) count(verdict pgclient.Verdict, err error, took, wait time.Duration) {
	s.Requests++
	s.Slowest = max(s.Slowest, took)
	switch {
	case errors.Is(err, errUnanswered):
		s.Unanswered++
	case err != nil:
		s.Closed++
	case took > wait:
		s.Late++
	case verdict == pgclient.Served:
		s.InTime++
	case verdict == pgclient.Refused:
		s.Refused++
	default:
		s.Failed++
	}
}

// connect returns a function that sends a request with an id and waits for its answer, and one that closes its connection.
func (c Calm) connect() (send func(id string) (pgclient.Verdict, error), closeConn func()) {
	if c.RESTURL != "" {
		return c.connectREST()
	}
	var conn *pgclient.Conn
	closeConn = func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	return func(id string) (verdict pgclient.Verdict, err error) {
		for range 3 { // a gateway may close a connection between requests
			if conn == nil {
				conn, err = pgclient.Dial(c.Addr, c.Wait+lateAnswerWait)
				if errors.Is(err, pgclient.ErrRefused) {
					return pgclient.Refused, nil
				}
				if err != nil {
					continue
				}
			}
			answer, doErr := conn.DoWithin(&pgclient.Request{ID: id, Class: c.Class, Tenant: c.Tenant, Wait: c.Wait, Item: "hut"}, c.Wait+lateAnswerWait)
			if err = doErr; err == nil {
				return answer.Verdict, nil
			}
			closeConn()
			if !errors.Is(err, pgclient.ErrStale) {
				break
			}
		}
		if pgclient.IsTimeout(err) {
			err = errUnanswered
		}
		return pgclient.Broken, err
	}, closeConn
}

// connectREST is connect for clients that speak REST.
func (c Calm) connectREST() (send func(id string) (pgclient.Verdict, error), closeConn func()) {
	transport := &http.Transport{MaxConnsPerHost: 1}
	client := http.Client{Transport: transport, Timeout: c.Wait + lateAnswerWait}
	return func(id string) (pgclient.Verdict, error) {
		request, err := http.NewRequest(http.MethodGet, c.RESTURL+"/v1/clusters/0/items/hut", nil)
		if err != nil {
			return pgclient.Broken, err
		}
		request.Header.Set("Reachwind-Class", c.Class)
		request.Header.Set("Reachwind-Tenant", c.Tenant)
		request.Header.Set("Reachwind-Request-Id", id)
		request.Header.Set("Reachwind-Deadline-Ms", fmt.Sprint(c.Wait.Milliseconds()))
		response, err := client.Do(request)
		if err != nil {
			if pgclient.IsTimeout(err) {
				err = errUnanswered
			}
			return pgclient.Broken, err
		}
		_ = response.Body.Close()
		switch response.StatusCode {
		case http.StatusOK:
			return pgclient.Served, nil
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			return pgclient.Refused, nil
		}
		return pgclient.Failed, nil
	}, transport.CloseIdleConnections
}
