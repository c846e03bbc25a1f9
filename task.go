package spoolsill

// TaskState says where a task is in its life.
type TaskState string

// The states of a task.
const (
	TaskQueued        TaskState = "queued"
	TaskPlaced        TaskState = "placed"        // has a worker, its start is not confirmed yet
	TaskRunning       TaskState = "running"       // its worker confirmed the start
	TaskCheckpointing TaskState = "checkpointing" // is being preempted
	TaskStopping      TaskState = "stopping"      // its stop is asked, not confirmed
	TaskDone          TaskState = "done"
	TaskFailed        TaskState = "failed"
	TaskCancelled     TaskState = "cancelled"
	TaskLost          TaskState = "lost"          // unrepeatable, and it may have run
	TaskNever         TaskState = "can-never-run" // no worker is large enough
)

// Final reports whether a task in state s never changes again. A task that
// can never run is judged again when workers change, so it is not final.
func (s TaskState) Final() bool {
	switch s {
	case TaskDone, TaskFailed, TaskCancelled, TaskLost:
		return true
	default:
		return false
	}
}

// Holds reports whether a task in state s holds capacity of a worker.
func (s TaskState) Holds() bool {
	switch s {
	case TaskPlaced, TaskRunning, TaskCheckpointing, TaskStopping:
		return true
	default:
		return false
	}
}

// A Worker is a machine that runs tasks.
type Worker struct {
	ID       WorkerID  `json:"id"`
	Hall     HallID    `json:"hall"`
	Rack     RackID    `json:"rack"`
	Capacity Resources `json:"capacity"`
	// Address is the IP and port of the worker's agent.
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// A Runner is an upstream process that answers the requests of one service.
type Runner struct {
	ID      RunnerID  `json:"id"`
	Hall    HallID    `json:"hall"`
	Service ServiceID `json:"service"`
	// Address is the IP and port that it serves HTTP on.
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}
