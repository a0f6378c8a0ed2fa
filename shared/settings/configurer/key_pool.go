package configurer

// maxPoolVMs is the upper limit of minVMs and maxVMs.
const maxPoolVMs = 10_000

// builtInPool contains the built-in defaults, which apply to values that neither
// the organisation nor the pool sets.
var builtInPool = Pool{
	Spare:       false,
	MinVMs:      1,
	MaxVMs:      100,
	MaxDraining: 0.25,
}

var vmCountRange = integerRule{
	least:    0,
	greatest: maxPoolVMs,
}

// poolSpecs are the keys of [pools.NAME] and, except for those that are
// notInherited, of [poolDefaults].
var poolSpecs = []keySpec[Pool]{
	{
		name:         "spare",
		summary:      "Whether the pool holds the spare VMs; allowed for at most one pool.",
		notInherited: true,
		rule:         boolRule{},
		field:        func(pl *Pool) any { return &pl.Spare },
	},
	{
		name:    "minVMs",
		summary: "The minimum number of VMs in all availability zones together.",
		rule:    vmCountRange,
		field:   func(pl *Pool) any { return &pl.MinVMs },
	},
	{
		name:    "maxVMs",
		summary: "The maximum number of VMs in all availability zones together; at least minVMs.",
		rule:    vmCountRange,
		field:   func(pl *Pool) any { return &pl.MaxVMs },
	},
	{
		name:    "maxDraining",
		summary: "The maximum share of the pool's VMs in an availability zone that may be out of service for maintenance at once.",
		rule:    shareRange,
		field:   func(pl *Pool) any { return &pl.MaxDraining },
	},
}
