package configurer

import (
	"cmp"
	"maps"
	"slices"

	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/settings/loader"
)

// shareTolerance allows for floating-point error in sums of shares.
const shareTolerance = 1e-9

// checkTree checks the constraints between values of a tree.
func checkTree(settings Settings, rt *loader.Report) {
	for _, name := range slices.Sorted(maps.Keys(settings.Pools)) {
		checkPool(settings.Pools[name], rt)
	}
	checkSparePool(settings.Pools, rt)
	for _, name := range slices.Sorted(maps.Keys(settings.Services)) {
		sv := settings.Services[name]
		checkService(sv, rt)
		checkServicePool(sv, settings.Pools, rt)
	}
	checkPrefixes(settings.Services, rt)
}

func checkPool(pl Pool, rt *loader.Report) {
	key := loader.Key{sectionPools, pl.Name}
	checkOrder(rt, key, "minVMs", pl.MinVMs, "maxVMs", pl.MaxVMs)
}

func checkSparePool(pools map[string]Pool, rt *loader.Report) {
	first := ""
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		if !pools[name].Spare {
			continue
		}
		if first == "" {
			first = name
			continue
		}
		key := loader.Key{sectionPools, name, "spare"}
		rt.Add(classifier.SettingsRange, key, "pool %s is a second spare pool beside %s; at most one is allowed", name, first)
	}
}

func checkService(sv Service, rt *loader.Report) {
	key := loader.Key{sectionServices, sv.Name}
	checkOrder(rt, key, "slotsPerTarget", sv.SlotsPerTarget, "connectionsPerTarget", sv.ConnectionsPerTarget)
	checkOrder(rt, key, "requestTimeout", sv.RequestTimeout, "longTimeout", sv.LongTimeout)
	checkOrder(rt, key, "maxQueueDelay", sv.MaxQueueDelay, "requestTimeout", sv.RequestTimeout)
	checkOrder(rt, key, "targetQueueDelay", sv.TargetQueueDelay, "maxQueueDelay", sv.MaxQueueDelay)
	checkOrder(rt, key, "mostUrgent", sv.MostUrgent, "defaultUrgency", sv.DefaultUrgency)
	checkOrder(rt, key, "maxRequestBytes", loader.Size(sv.MaxRequestBytes), "maxQueuedBytes", loader.Size(sv.MaxQueuedBytes))
	checkOrder(rt, key, "maxBufferedBytes", loader.Size(sv.MaxBufferedBytes), "maxAnswerBytes", loader.Size(sv.MaxAnswerBytes))
}

// checkOrder adds a fault if the value of the key low exceeds that of the key
// high. The fault is reported at the line of high if the section sets only high,
// and otherwise at the line of low.
func checkOrder[T cmp.Ordered](rt *loader.Report, section loader.Key, low string, lowValue T, high string, highValue T) {
	if lowValue <= highValue {
		return
	}
	lowKey := section.Child(low)
	highKey := section.Child(high)
	if !rt.Valid(lowKey...) || !rt.Valid(highKey...) {
		return
	}
	key := lowKey
	if !rt.Has(lowKey...) && rt.Has(highKey...) {
		key = highKey
	}
	rt.Add(classifier.SettingsRange, key, "%s: %s is %v, but must not exceed %s, which is %v", section, low, lowValue, high, highValue)
}

// checkServicePool checks that a service's pool exists, is not the spare pool
// and can meet the service's availability budget.
func checkServicePool(sv Service, pools map[string]Pool, rt *loader.Report) {
	key := loader.Key{sectionServices, sv.Name, "pool"}
	if !rt.Valid(key...) {
		return
	}
	pl, ok := pools[sv.Pool]
	if !ok {
		names := slices.Sorted(maps.Keys(pools))
		rt.Add(classifier.SettingsReference, key, "%s is %q, which is not a pool; the nearest pool name is %q", key, sv.Pool, loader.Nearest(sv.Pool, names))
		return
	}
	if pl.Spare {
		rt.Add(classifier.SettingsReference, key, "%s is %q, the spare pool, which runs no service", key, sv.Pool)
	}
	if sv.MinInService+pl.MaxDraining > 1+shareTolerance {
		budget := loader.Key{sectionServices, sv.Name, "minInService"}
		rt.Add(classifier.SettingsBudget, budget, "%s is %s, but maxDraining of its pool %s is %s; their sum must not exceed 1",
			budget, formatShare(sv.MinInService), pl.Name, formatShare(pl.MaxDraining))
	}
}

func checkPrefixes(services map[string]Service, rt *loader.Report) {
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(services)) {
		prefix := services[name].PathPrefix
		owner, found := owners[prefix]
		if !found {
			owners[prefix] = name
			continue
		}
		key := loader.Key{sectionServices, name, "pathPrefix"}
		if rt.Valid(key...) {
			rt.Add(classifier.SettingsRange, key, "%s is %q, which is already the path prefix of service %s", key, prefix, owner)
		}
	}
}
