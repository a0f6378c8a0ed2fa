package configurer

// maxPoolVMs bounds the numbers of VMs that a pool may ask for.
const maxPoolVMs = 10_000

// builtInPool holds the values of a pool for which the organisation and the
// pool itself say nothing.
var builtInPool = Pool{
	Spare:       false,
	MinVMs:      1,
	MaxVMs:      100,
	MaxDraining: 0.25,
}

var vmCount = integerRule{
	least:    0,
	greatest: maxPoolVMs,
}

// poolSpecs are the keys of [pools.NAME] and, but for own keys, of [poolDefaults].
var poolSpecs = []keySpec[Pool]{
	{
		name:    "spare",
		summary: "Whether the pool holds the spare VMs; at most one pool does.",
		own:     true,
		rule:    flagRule{},
		field:   func(pl *Pool) any { return &pl.Spare },
	},
	{
		name:    "minVMs",
		summary: "The least number of VMs over all availability zones.",
		rule:    vmCount,
		field:   func(pl *Pool) any { return &pl.MinVMs },
	},
	{
		name:    "maxVMs",
		summary: "The greatest number of VMs over all availability zones; at least minVMs.",
		rule:    vmCount,
		field:   func(pl *Pool) any { return &pl.MaxVMs },
	},
	{
		name:    "maxDraining",
		summary: "The greatest share of the VMs in an availability zone out of service for maintenance at once.",
		rule:    share,
		field:   func(pl *Pool) any { return &pl.MaxDraining },
	},
}
