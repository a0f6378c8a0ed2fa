package commander

import (
	"time"

	"coltsfootwick.example/cfw/internal/printer"
)

const description = `Operates coltsfootwick: settings, pools, VMs, maintenance waves, status, keys and audit trail.

Exit codes: 0 done, 1 failed with the numbered result code shown (see docs/ERRORS.md), 2 wrong usage.`

// commandLine is the command line of cfw.
type commandLine struct {
	globals

	Settings settingsCommands `cmd:"" help:"Show and change the settings that operators share."`
	Pool     poolCommands     `cmd:"" help:"Show pools."`
	VM       vmCommands       `cmd:"" name:"vm" help:"Show and move VMs."`
	Wave     waveCommands     `cmd:"" help:"Plan and command maintenance waves."`
	Service  serviceCommands  `cmd:"" help:"Show services."`
	Status   statusCommand    `cmd:"" help:"Show the nodes and the settings revision that each has in force."`
	Keys     keysCommands     `cmd:"" help:"Make and show the authority and the certificates of nodes."`
	Audit    auditCommand     `cmd:"" help:"Show the audit trail of settings and fleet, newest first."`
	Version  versionCommand   `cmd:"" help:"Show the version of cfw."`
}

// globals are the flags of all commands.
type globals struct {
	Platform string         `env:"CFW_PLATFORM" placeholder:"URL" help:"Address of the platform's key-value service, such as http://127.0.0.1:7000."`
	Output   printer.Format `enum:"table,json" default:"table" help:"Form of the output: table or json."`
	Author   string         `env:"CFW_AUTHOR,USER" placeholder:"NAME" help:"Name that the audit trail shows for changes."`
	Timeout  time.Duration  `default:"30s" help:"Time for the whole command."`
}

// settingsCommands are the commands below cfw settings.
type settingsCommands struct {
	Get      settingsGetCommand      `cmd:"" help:"Print the settings as TOML."`
	Check    settingsCheckCommand    `cmd:"" help:"Check a settings file without applying it."`
	Diff     settingsDiffCommand     `cmd:"" help:"Show what a file or a revision changes."`
	Apply    settingsApplyCommand    `cmd:"" help:"Put a settings file in force on all nodes."`
	Explain  settingsExplainCommand  `cmd:"" help:"Tell where each effective value comes from."`
	History  settingsHistoryCommand  `cmd:"" help:"List the revisions, newest first."`
	Rollback settingsRollbackCommand `cmd:"" help:"Put an earlier revision in force again, as a new revision."`
	Keys     settingsKeysCommand     `cmd:"" help:"List all keys with type, range and default."`
}

// poolCommands are the commands below cfw pool.
type poolCommands struct {
	List poolListCommand `cmd:"" help:"List the pools with their VMs."`
}

// vmCommands are the commands below cfw vm.
type vmCommands struct {
	List    vmListCommand    `cmd:"" help:"List the VMs with pool and state."`
	Move    vmMoveCommand    `cmd:"" help:"Give a VM to another pool."`
	Cancel  vmCancelCommand  `cmd:"" help:"Call off a move or maintenance."`
	Release vmReleaseCommand `cmd:"" help:"Let a quarantined VM return."`
}

// waveCommands are the commands below cfw wave.
type waveCommands struct {
	Plan   wavePlanCommand   `cmd:"" help:"Write down a wave."`
	Start  waveStartCommand  `cmd:"" help:"Start a planned wave."`
	Pause  wavePauseCommand  `cmd:"" help:"Pause a running wave."`
	Resume waveResumeCommand `cmd:"" help:"Let a paused wave go on."`
	Cancel waveCancelCommand `cmd:"" help:"End a wave."`
	Status waveStatusCommand `cmd:"" help:"Show waves and their progress."`
}

// serviceCommands are the commands below cfw service.
type serviceCommands struct {
	List serviceListCommand `cmd:"" help:"List the services with their main settings."`
}

// keysCommands are the commands below cfw keys.
type keysCommands struct {
	Authority keysAuthorityCommand `cmd:"" help:"Make the authority of an organisation."`
	Issue     keysIssueCommand     `cmd:"" help:"Make the key and the certificate of a node."`
	Show      keysShowCommand      `cmd:"" help:"Show certificates and warn of those that expire."`
}
