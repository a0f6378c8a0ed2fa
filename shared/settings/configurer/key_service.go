package configurer

import (
	"regexp"
	"time"

	"coltsfootwick.example/shared/settings/loader"
)

// builtInService contains the built-in defaults, which apply to values that
// neither the organisation nor the service sets.
var builtInService = Service{
	MinInService:         0.7,
	SlotsPerTarget:       8,
	ConnectionsPerTarget: 64,
	RequestTimeout:       10 * time.Second,
	LongTimeout:          120 * time.Second,
	MostUrgent:           0,
	DefaultUrgency:       3,
	LongFrom:             5,
	LongShare:            0.25,
	MaxQueued:            512,
	MaxQueuedBytes:       int64(16 * loader.Mebibyte),
	MaxQueueDelay:        time.Second,
	TargetQueueDelay:     100 * time.Millisecond,
	MaxRequestBytes:      int64(1 * loader.Mebibyte),
	MaxAnswerBytes:       int64(16 * loader.Mebibyte),
	MaxBufferedBytes:     int64(1 * loader.Mebibyte),
	RetryShare:           0.08,
	HedgeAfter:           0,
	MaxEjectedShare:      0.3,
	NotRepeatable:        false,
	KeyRetention:         24 * time.Hour,
}

var (
	namePattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]{0,62}$`)
	pathPattern = regexp.MustCompile(`^/([A-Za-z0-9_~-][A-Za-z0-9._~-]*/)*$`)
)

const expectedName = "a letter and up to 62 letters, digits or hyphens"

var shareRange = shareRule{
	least:    0,
	greatest: 1,
}

var urgencyRange = integerRule{
	least:    0,
	greatest: 7,
}

// serviceSpecs are the keys of [services.NAME] and, except for those that are
// notInherited, of [defaults].
var serviceSpecs = []keySpec[Service]{
	{
		name:         "pathPrefix",
		summary:      "The path prefix that selects the service.",
		notInherited: true,
		required:     true,
		rule: stringRule{
			pattern:  pathPattern,
			expected: "a path that begins and ends with a slash, such as /claims/",
		},
		field: func(sv *Service) any { return &sv.PathPrefix },
	},
	{
		name:         "pool",
		summary:      "The pool whose VMs run the service.",
		notInherited: true,
		required:     true,
		rule: stringRule{
			pattern:  namePattern,
			expected: expectedName,
		},
		field: func(sv *Service) any { return &sv.Pool },
	},
	{
		name:    "minInService",
		summary: "Availability budget: the minimum share of the pool's VMs in service in each availability zone.",
		rule:    shareRange,
		field:   func(sv *Service) any { return &sv.MinInService },
	},
	{
		name:    "slotsPerTarget",
		summary: "The number of requests that a target runs concurrently.",
		rule: integerRule{
			least:    1,
			greatest: 1024,
		},
		field: func(sv *Service) any { return &sv.SlotsPerTarget },
	},
	{
		name:    "connectionsPerTarget",
		summary: "The number of connections that a target accepts; at least slotsPerTarget.",
		rule: integerRule{
			least:    1,
			greatest: 65536,
		},
		field: func(sv *Service) any { return &sv.ConnectionsPerTarget },
	},
	{
		name:    "requestTimeout",
		summary: "The maximum time from a request's arrival to its complete answer, unless the caller sets an earlier deadline.",
		rule: durationRule{
			least:    10 * time.Millisecond,
			greatest: time.Hour,
		},
		field: func(sv *Service) any { return &sv.RequestTimeout },
	},
	{
		name:    "longTimeout",
		summary: "Replaces requestTimeout for long work; at least requestTimeout.",
		rule: durationRule{
			least:    10 * time.Millisecond,
			greatest: 24 * time.Hour,
		},
		field: func(sv *Service) any { return &sv.LongTimeout },
	},
	{
		name:    "mostUrgent",
		summary: "The most urgent urgency that callers may request (0 is the most urgent).",
		rule:    urgencyRange,
		field:   func(sv *Service) any { return &sv.MostUrgent },
	},
	{
		name:    "defaultUrgency",
		summary: "The urgency of requests that specify none; not more urgent than mostUrgent.",
		rule:    urgencyRange,
		field:   func(sv *Service) any { return &sv.DefaultUrgency },
	},
	{
		name:    "longFrom",
		summary: "The urgency from which a request counts as long work; 8 for none.",
		rule: integerRule{
			least:    0,
			greatest: 8,
		},
		field: func(sv *Service) any { return &sv.LongFrom },
	},
	{
		name:    "longShare",
		summary: "The share of the slots that is reserved for long work while urgent work waits.",
		rule:    shareRange,
		field:   func(sv *Service) any { return &sv.LongShare },
	},
	{
		name:    "maxQueued",
		summary: "The maximum number of requests that wait for a slot in an entry.",
		rule: integerRule{
			least:    0,
			greatest: 1_000_000,
		},
		field: func(sv *Service) any { return &sv.MaxQueued },
	},
	{
		name:    "maxQueuedBytes",
		summary: "The maximum total size of the bodies of waiting requests; at least maxRequestBytes.",
		rule: sizeRule{
			least:    loader.Kibibyte,
			greatest: 4 * loader.Gibibyte,
		},
		field: func(sv *Service) any { return &sv.MaxQueuedBytes },
	},
	{
		name:    "maxQueueDelay",
		summary: "The maximum time that an urgent request waits for a slot; at most requestTimeout.",
		rule: durationRule{
			least:    time.Millisecond,
			greatest: time.Minute,
		},
		field: func(sv *Service) any { return &sv.MaxQueueDelay },
	},
	{
		name:    "targetQueueDelay",
		summary: "The queue delay above which less urgent work is shed; at most maxQueueDelay.",
		rule: durationRule{
			least:    time.Millisecond,
			greatest: time.Minute,
		},
		field: func(sv *Service) any { return &sv.TargetQueueDelay },
	},
	{
		name:    "maxRequestBytes",
		summary: "The maximum size of a request body.",
		rule: sizeRule{
			least:    1,
			greatest: 1 * loader.Gibibyte,
		},
		field: func(sv *Service) any { return &sv.MaxRequestBytes },
	},
	{
		name:    "maxAnswerBytes",
		summary: "The maximum size of an answer body.",
		rule: sizeRule{
			least:    1,
			greatest: 16 * loader.Gibibyte,
		},
		field: func(sv *Service) any { return &sv.MaxAnswerBytes },
	},
	{
		name:    "maxBufferedBytes",
		summary: "The maximum part of an answer that is buffered until the answer is complete; a longer answer is streamed.",
		rule: sizeRule{
			least:    0,
			greatest: 64 * loader.Mebibyte,
		},
		field: func(sv *Service) any { return &sv.MaxBufferedBytes },
	},
	{
		name:    "retryShare",
		summary: "Retry budget: the maximum number of additional attempts as a share of the requests.",
		rule:    shareRange,
		field:   func(sv *Service) any { return &sv.RetryShare },
	},
	{
		name:    "hedgeAfter",
		summary: "The delay after which a repeatable request is hedged; 0s turns hedging off.",
		rule: durationRule{
			least:    0,
			greatest: time.Minute,
		},
		field: func(sv *Service) any { return &sv.HedgeAfter },
	},
	{
		name:    "maxEjectedShare",
		summary: "The maximum share of the targets that may be ejected as outliers.",
		rule:    shareRange,
		field:   func(sv *Service) any { return &sv.MaxEjectedShare },
	},
	{
		name:    "notRepeatable",
		summary: "Whether requests with unsafe methods (POST, PATCH) must run at most once.",
		rule:    boolRule{},
		field:   func(sv *Service) any { return &sv.NotRepeatable },
	},
	{
		name:    "keyRetention",
		summary: "How long the Idempotency-Key of a finished request is retained.",
		rule: durationRule{
			least:    time.Minute,
			greatest: 30 * 24 * time.Hour,
		},
		field: func(sv *Service) any { return &sv.KeyRetention },
	},
}
