package soak

// OneTask returns the steps of a job of one task.
func OneTask() []step {
	return []step{
		{
			Count: 1,
		},
	}
}
