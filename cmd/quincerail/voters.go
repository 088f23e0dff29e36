package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"

	"quincerail.example/quincerail/admin"
	"quincerail.example/quincerail/fleet"
)

// votersCmd has the sub-commands that list and change a fleet's voters. Each sends a request to one of the voters.
type votersCmd struct {
	List   votersListCmd   `cmd:"" help:"Print the voters that one of them knows."`
	Add    votersAddCmd    `cmd:"" help:"Add a voter that was started with join; it votes once it has caught up with the log."`
	Remove votersRemoveCmd `cmd:"" help:"Remove a voter permanently: it can rejoin only under another name."`
}

type votersListCmd struct{ voterClient }

// Run prints a table of the voters that the called voter knows.
func (c *votersListCmd) Run() error {
	var voters []fleet.VoterStatus
	if err := c.call(http.MethodGet, admin.PathVoters, nil, nil, &voters); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0) // Flush returns the first write error
	_, _ = fmt.Fprintln(w, "voter\taddress\talive\t")
	for _, v := range voters {
		remark := ""
		if v.Learner {
			remark = "copies the log, has no vote yet"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%v\t%s\n", v.Name, v.Address, v.Alive, remark)
	}
	return w.Flush()
}

type votersAddCmd struct {
	voterClient
	Name string `required:"" help:"Name of the new voter in its configuration."`
	Raft string `required:"" help:"HOST:PORT at which the other voters reach it."`
}

// Run asks the called voter to add a voter.
func (c *votersAddCmd) Run() error {
	return c.call(http.MethodPost, admin.PathVoters, nil, admin.VoterRequest{Name: c.Name, Address: c.Raft}, nil)
}

type votersRemoveCmd struct {
	voterClient
	Name string `required:"" help:"Name of the voter."`
}

// Run asks the called voter to remove a voter.
func (c *votersRemoveCmd) Run() error {
	return c.call(http.MethodDelete, admin.PathVoters, url.Values{"name": {c.Name}}, nil, nil)
}
