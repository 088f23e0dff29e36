package simulation

// Partition divides the members into groups; messages between groups are lost.
func (f *Fleet) Partition(group func(i int) int) {
	for i, n := range f.nodes {
		n.partition = group(i)
	}
}

// Pause pauses a member's process if paused is true, and resumes it otherwise.
func (f *Fleet) Pause(i int, paused bool) { f.nodes[i].paused = paused }

// Kill kills a member's process, which releases its units.
func (f *Fleet) Kill(i int) { f.nodes[i].killed, f.nodes[i].inUse = true, 0 }

// Restart starts a new incarnation of a killed member.
func (f *Fleet) Restart(i int) error { return f.start(i) }
