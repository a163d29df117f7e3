//go:build review

package standin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Timeouts of users.
const (
	SubmitTimeout = 5 * time.Second
	PollTimeout   = 2 * time.Second
	retryPause    = time.Second
	retryPeriod   = 60 * time.Second
)

// Submit sends a submission until it is answered for good, as users do: to one controller after
// another, for 60 s at most.
func (d *Deployment) Submit(job Map, first int) Answer {
	body := encode(job)
	var answer Answer
	for from, try := time.Now(), 0; time.Since(from) < retryPeriod; try++ {
		node := d.Nodes[(first+try)%len(d.Nodes)]
		answer = d.SubmitTo(node, job["ref"], body)
		switch answer.Status {
		case http.StatusCreated, http.StatusOK, http.StatusBadRequest, http.StatusUnprocessableEntity:
			return answer
		}
		pause := retryPause
		if s, err := strconv.Atoi(answer.RetryAfter); err == nil {
			pause = max(pause, min(time.Duration(s)*time.Second, 30*time.Second))
		}
		time.Sleep(pause)
	}
	return answer
}

// SubmitTo sends a submission once.
func (d *Deployment) SubmitTo(node *Node, ref any, body []byte) Answer {
	answer := Call(d.Client, http.MethodPost, "http://"+node.Address+"/api/jobs", body, SubmitTimeout)
	d.Record.Logf("user submits %v to %s: %s", ref, node.Label, answer)
	return answer
}

// Poll asks a controller for a job's status once.
func (d *Deployment) Poll(node *Node, ref string) Answer {
	answer := Call(d.Client, http.MethodGet, "http://"+node.Address+"/api/jobs/"+ref, nil, PollTimeout)
	d.Record.Logf("user asks %s for %s: %s", node.Label, ref, answer)
	return answer
}

// Withdraw sends a cancellation once.
func (d *Deployment) Withdraw(node *Node, ref string) Answer {
	answer := Call(d.Client, http.MethodPost, "http://"+node.Address+"/api/jobs/"+ref+"/withdraw", nil, SubmitTimeout)
	d.Record.Logf("user cancels %s at %s: %s", ref, node.Label, answer)
	return answer
}

// String describes an answer for the record.
func (a Answer) String() string {
	switch {
	case a.Status == 0:
		return "no answer"
	case a.Text("error") != "":
		return fmt.Sprintf("%d %s", a.Status, a.Text("error"))
	}
	return fmt.Sprintf("%d %s", a.Status, a.Text("status"))
}

// Ready reports whether a controller answers GET /ready with 200.
func (d *Deployment) Ready(node *Node) bool {
	return Call(d.Client, http.MethodGet, "http://"+node.Address+"/ready", nil, time.Second).Status == http.StatusOK
}

// Encode returns a body as MessagePack.
func Encode(body Map) []byte { return encode(body) }
