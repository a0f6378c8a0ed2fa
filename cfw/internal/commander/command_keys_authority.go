package commander

import "coltsfootwick.example/shared/peers/certifier"

// keysAuthorityCommand creates a certificate authority; it needs no platform.
type keysAuthorityCommand struct {
	keysFlags

	Organisation string `arg:"" help:"Name of the organisation."`
	Days         int    `default:"3650" help:"Days of validity."`
}

// Help returns examples.
func (keysAuthorityCommand) Help() string {
	return `Makes authority.crt, which every node reads, and authority.key, which signs the certificates of nodes and belongs on no node. Needs no platform.

Examples:

    cfw keys authority example --directory keys
    cfw keys authority example --directory keys --days 1825`
}

// Run implements the command.
func (ka *keysAuthorityCommand) Run(se *session) error {
	duration, err := lifetime(ka.Days)
	if err != nil {
		return err
	}
	pr, err := certifier.NewAuthority(ka.Organisation, se.now(), duration)
	if err != nil {
		return err
	}
	return ka.write(se, authorityName, pr)
}
