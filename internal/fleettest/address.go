package fleettest

// Address returns the address at which a member's latest process takes requests. It returns
// "" before the process has logged its address, and always in a fleet without load.
func (f *Fleet) Address(name string) string {
	if address := f.Children[name].address.Load(); address != nil {
		return *address
	}
	return ""
}
