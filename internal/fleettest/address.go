package fleettest

// Address returns where callers reach a member, in the latest life of its
// process; "" before it has said so, or where the fleet has no load.
func (f *Fleet) Address(name string) string {
	if address := f.Children[name].address.Load(); address != nil {
		return *address
	}
	return ""
}
