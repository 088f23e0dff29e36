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

// votersCmd is what operators ask of a fleet's voters, at one of them.
type votersCmd struct {
	List   votersListCmd   `cmd:"" help:"Print the voters as one of them knows them."`
	Add    votersAddCmd    `cmd:"" help:"Add a voter, which was started with join; it votes once it has caught up."`
	Remove votersRemoveCmd `cmd:"" help:"Remove a voter for good: it may come back under another name only."`
}

type votersListCmd struct{ voter }

// Run implements the sub-command.
func (c *votersListCmd) Run() error {
	var voters []fleet.VoterStatus
	if err := c.call(http.MethodGet, admin.PathVoters, nil, nil, &voters); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0) // keeps an error until Flush
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
	voter
	Name string `required:"" help:"Its name in its configuration."`
	Raft string `required:"" help:"Where the other voters reach it, HOST:PORT."`
}

// Run implements the sub-command.
func (c *votersAddCmd) Run() error {
	return c.call(http.MethodPost, admin.PathVoters, nil, admin.VoterRequest{Name: c.Name, Address: c.Raft}, nil)
}

type votersRemoveCmd struct {
	voter
	Name string `required:"" help:"Its name."`
}

// Run implements the sub-command.
func (c *votersRemoveCmd) Run() error {
	return c.call(http.MethodDelete, admin.PathVoters, url.Values{"name": {c.Name}}, nil, nil)
}
