package commander

import (
	"coltsfootwick.example/shared/peers/certifier"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
)

// keysIssueCommand issues the certificate of a node; it needs no platform.
type keysIssueCommand struct {
	keysFlags

	Name      string `arg:"" help:"Name of the node, as in the settings file of its process."`
	Role      string `required:"" enum:"entry,steward" help:"Kind of process: entry or steward."`
	Zone      string `required:"" help:"Availability zone of the node."`
	Days      int    `default:"365" help:"Days of validity; ends with the authority at the latest."`
	Authority string `type:"path" placeholder:"DIR" help:"Directory of authority.crt and authority.key; by default that of the new files."`
}

// Help returns examples.
func (keysIssueCommand) Help() string {
	return `Makes NAME.crt and NAME.key, signed by the authority. The node needs both, and authority.crt. Needs no platform.

Examples:

    cfw keys issue entry-a1 --role entry --zone a --directory keys
    cfw keys issue steward-a1 --role steward --zone a --authority keys --directory out --days 90`
}

// Run implements the command.
func (ki *keysIssueCommand) Run(se *session) error {
	duration, err := lifetime(ki.Days)
	if err != nil {
		return err
	}
	if ki.Name == authorityName {
		return classifier.New(classifier.Usage, "a node can't be named %s", authorityName)
	}
	source := keysFlags{
		Directory: ki.Authority,
	}
	if source.Directory == "" {
		source.Directory = ki.Directory
	}
	authority, err := certifier.ReadKeyPair(source.paths(authorityName))
	if err != nil {
		return err
	}
	pr, err := certifier.Issue(authority, certifier.Identity{
		Name: ki.Name,
		Role: reporter.Role(ki.Role),
		Zone: ki.Zone,
	}, se.now(), duration)
	if err != nil {
		return err
	}
	return ki.write(se, ki.Name, pr)
}
