package spoolsill

// TaskState is the state of a task in its life cycle.
type TaskState string

// The states of a task.
const (
	TaskQueued        TaskState = "queued"
	TaskPlaced        TaskState = "placed"        // assigned to a worker, which has not confirmed the start
	TaskRunning       TaskState = "running"       // the worker has confirmed the start
	TaskCheckpointing TaskState = "checkpointing" // being preempted
	TaskStopping      TaskState = "stopping"      // told to stop; the worker has not confirmed it
	TaskDone          TaskState = "done"
	TaskFailed        TaskState = "failed"
	TaskCancelled     TaskState = "cancelled"
	TaskLost          TaskState = "lost"          // unrepeatable and may have run
	TaskUnschedulable TaskState = "can-never-run" // no worker is large enough, or the hall can't hold all tasks of its gang at once
)

// Final reports whether s is a terminal state. TaskUnschedulable is not, since such tasks are
// evaluated again when the set of workers changes.
func (s TaskState) Final() bool {
	switch s {
	case TaskDone, TaskFailed, TaskCancelled, TaskLost:
		return true
	default:
		return false
	}
}

// HoldsCapacity reports whether a task in state s occupies capacity of a worker.
func (s TaskState) HoldsCapacity() bool {
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

// A Runner is an upstream process that serves the requests of one service.
type Runner struct {
	ID      RunnerID  `json:"id"`
	Hall    HallID    `json:"hall"`
	Service ServiceID `json:"service"`
	// Address is the IP and port on which it serves HTTP.
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}
