package classifier

// Result codes of the fleet.
const (
	// VMUnknown means: no VM has this name.
	VMUnknown Code = 701
	// PoolUnknown means: no pool has this name.
	PoolUnknown Code = 702
	// BudgetExceeded means: the change would break a service's availability budget.
	BudgetExceeded Code = 703
	// VMBusy means: the VM is in a state that does not allow this change.
	VMBusy Code = 704
	// WaveUnknown means: no wave has this name.
	WaveUnknown Code = 705
	// WaveRefused means: the wave's state does not allow this command.
	WaveRefused Code = 706
	// StaleEpoch means: the duty's holder has been replaced.
	StaleEpoch Code = 707
	// WaveMismatch means: the VM is not part of the wave.
	WaveMismatch Code = 708
)

var fleetCodes = []Description{
	{
		Code:    VMUnknown,
		Name:    "vmUnknown",
		Summary: "No VM has this name.",
		Remedy:  "See cfw vm list.",
	},
	{
		Code:    PoolUnknown,
		Name:    "poolUnknown",
		Summary: "No pool has this name.",
		Remedy:  "See cfw pool list.",
	},
	{
		Code:    BudgetExceeded,
		Name:    "budgetExceeded",
		Summary: "The change would break a service's availability budget.",
		Remedy:  "Wait until VMs return, or move VMs to the pool first.",
	},
	{
		Code:    VMBusy,
		Name:    "vmBusy",
		Summary: "The VM is in a state that does not allow this change.",
		Remedy:  "Wait until it is in service or quarantined.",
	},
	{
		Code:    WaveUnknown,
		Name:    "waveUnknown",
		Summary: "No wave has this name.",
		Remedy:  "See cfw wave status.",
	},
	{
		Code:    WaveRefused,
		Name:    "waveRefused",
		Summary: "The wave's state does not allow this command.",
		Remedy:  "See cfw wave status.",
	},
	{
		Code:    StaleEpoch,
		Name:    "staleEpoch",
		Summary: "The duty's holder has been replaced.",
		Remedy:  "None; the new holder goes on.",
	},
	{
		Code:    WaveMismatch,
		Name:    "waveMismatch",
		Summary: "The VM is not part of the wave.",
		Remedy:  "Check the wave's list of VMs.",
	},
}
