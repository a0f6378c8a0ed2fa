package classifier

// Result codes of the fleet.
const (
	// VMUnknown means that no VM has this name.
	VMUnknown Code = 701
	// PoolUnknown means that no pool has this name.
	PoolUnknown Code = 702
	// BudgetExceeded means that the change would break a service's availability budget.
	BudgetExceeded Code = 703
	// VMBusy means that the VM is in a state that does not allow this change.
	VMBusy Code = 704
	// WaveUnknown means that no wave has this name.
	WaveUnknown Code = 705
	// WaveRefused means that the wave's state does not allow this command.
	WaveRefused Code = 706
	// StaleEpoch means that the duty's holder has been replaced by a later one.
	StaleEpoch Code = 707
	// WaveMismatch means that the VM is not part of the wave.
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
		Remedy:  "Wait until VMs are back in service, or move VMs to the pool first.",
	},
	{
		Code:    VMBusy,
		Name:    "vmBusy",
		Summary: "The VM is in a state that does not allow this change.",
		Remedy:  "Wait until the VM is in service or quarantined.",
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
		Remedy:  "None; the new holder continues the duty.",
	},
	{
		Code:    WaveMismatch,
		Name:    "waveMismatch",
		Summary: "The VM is not part of the wave.",
		Remedy:  "Check the wave's list of VMs.",
	},
}
