// Package api defines the request and response bodies of the HTTP interface for
// operators and has a client for it. The paths are listed in
// docs/OPERATIONS.md.
package api

import (
	"time"

	"github.com/spoolsill/spoolsill"
	"github.com/spoolsill/spoolsill/place"
	"github.com/spoolsill/spoolsill/timeline"
)

// A PlanRequest is the body of POST /v1/plans. Exactly one of Submit, Cancel and
// Drain is set.
type PlanRequest struct {
	// Hall is the hall to plan for. If it is empty, the plan is for the hall named
	// in the job file or, without one, for the hall of the host that receives the
	// request.
	Hall spoolsill.HallID `json:"hall,omitempty"`
	// Submit is the text of a job file. FileName is used in error messages.
	Submit   string             `json:"submit,omitempty"`
	FileName string             `json:"name,omitempty"`
	Cancel   []spoolsill.JobID  `json:"cancel,omitempty"`
	Drain    spoolsill.WorkerID `json:"drain,omitempty"`
}

// A ConfirmResponse is the response to POST /v1/plans/ID/confirm.
type ConfirmResponse struct {
	ID   spoolsill.PlanID `json:"id"`
	Hall spoolsill.HallID `json:"hall"`
}

// An ErrorResponse is the body of every response that reports an error.
type ErrorResponse struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

// An UnavailableHall is a hall that did not respond, with the error.
type UnavailableHall struct {
	Hall spoolsill.HallID `json:"hall"`
	Text string           `json:"text"`
}

// A Job is a job with its hall.
type Job struct {
	Hall spoolsill.HallID `json:"hall"`
	place.JobView
}

// Jobs is the response to GET /v1/jobs.
type Jobs struct {
	Jobs             []Job             `json:"jobs"`
	UnavailableHalls []UnavailableHall `json:"missing"`
}

// A JobDetail is the response to GET /v1/jobs/ID.
type JobDetail struct {
	Hall  spoolsill.HallID `json:"hall"`
	Job   place.JobView    `json:"job"`
	Tasks []place.TaskView `json:"tasks"`
}

// A Worker is a worker with its hall.
type Worker struct {
	Hall spoolsill.HallID `json:"hall"`
	place.WorkerView
}

// Workers is the response to GET /v1/workers.
type Workers struct {
	Workers          []Worker          `json:"workers"`
	UnavailableHalls []UnavailableHall `json:"missing"`
}

// A HostStatus is the response to GET /healthz and GET /readyz.
type HostStatus struct {
	ID                spoolsill.HostID  `json:"id"                    msgpack:"i"`
	Hall              spoolsill.HallID  `json:"hall"                  msgpack:"h"`
	HTTPAddress       string            `json:"http"                  msgpack:"a"`
	Started           time.Time         `json:"started"               msgpack:"s"`
	Stopping          bool              `json:"stopping"              msgpack:"x"`
	Degraded          bool              `json:"degraded"              msgpack:"d"` // the platform does not respond
	MembersKnown      bool              `json:"members"               msgpack:"m"` // the list of workers and runners is known
	Config            spoolsill.Version `json:"config"                msgpack:"v"`
	ConfigCurrent     bool              `json:"config_sure"           msgpack:"u"` // no newer version is known to be in force in the hall
	LeaseHolder       spoolsill.HostID  `json:"holder"                msgpack:"o"`
	Epoch             spoolsill.Epoch   `json:"epoch"                 msgpack:"e"`
	HoldsLease        bool              `json:"holds"                 msgpack:"l"` // holds the hall's lease
	Placing           bool              `json:"placing"               msgpack:"p"` // holds it, and serves calls for the hall
	Waiting           int               `json:"waiting"               msgpack:"w"`
	Running           int               `json:"running"               msgpack:"r"`
	UnreachableReason string            `json:"unreachable,omitempty" msgpack:"n"`
}

// Hosts is the response to GET /v1/hosts.
type Hosts struct {
	Hosts []HostStatus `json:"hosts"`
}

// A ConfigRevision is the response to GET /v1/config.
type ConfigRevision struct {
	Version    spoolsill.Version `json:"version"`
	Author     string            `json:"who"`
	AcceptedAt time.Time         `json:"when"`
	Note       string            `json:"note"`
	Text       string            `json:"text"`
}

// A PutConfigRequest is the body of PUT /v1/config. It is rejected unless
// BaseVersion, the version that Text is based on, is still the newest one.
type PutConfigRequest struct {
	BaseVersion spoolsill.Version `json:"base"`
	Author      string            `json:"who"`
	Note        string            `json:"note"`
	Text        string            `json:"text"`
}

// A PutConfigResponse is the response to PUT /v1/config.
type PutConfigResponse struct {
	Version spoolsill.Version `json:"version"`
}

// A ConfigHistory is the response to GET /v1/config/history, newest first.
type ConfigHistory struct {
	Revisions []ConfigRevision `json:"revisions"`
}

// A Timeline is the response to GET /v1/timeline, oldest first.
type Timeline struct {
	Events           []timeline.Event   `json:"events"`
	UnavailableHosts []spoolsill.HostID `json:"missing"`
}
