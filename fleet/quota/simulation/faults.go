package simulation

// Partition divides the members into groups that do not hear each other.
func (f *Fleet) Partition(group func(i int) int) {
	for i, n := range f.nodes {
		n.partition = group(i)
	}
}

// Pause pauses a member's process, or resumes it.
func (f *Fleet) Pause(i int, paused bool) { f.nodes[i].paused = paused }

// Kill ends a member's process, and what it had in use with it.
func (f *Fleet) Kill(i int) { f.nodes[i].dead, f.nodes[i].inUse = true, 0 }

// Restart begins a new incarnation of a member that was killed.
func (f *Fleet) Restart(i int) error { return f.start(i) }
