package sloper

import (
	"slices"
	"strings"

	"coltsfootwick.example/shared/store/keeper"
	"coltsfootwick.example/shared/store/storer"
	"coltsfootwick.example/standin/internal/launcher"
)

// The roles of processes, which end their names.
const (
	roleEntry   = "entry"
	roleSteward = "steward"
	// roleStandby is a steward beside the one that holds the duties.
	roleStandby = "standby"
)

// anonymousBytes names the memory without the pages of files among the metrics.
const anonymousBytes = "anonymousBytes"

const nanosecondsPerSecond = 1e9

// listedFleet returns the VMs of all zones.
func listedFleet(zones []string, vms int) []storer.VM {
	var listed []storer.VM
	for _, zone := range zones {
		listed = append(listed, listedVMs(zone, vms)...)
	}
	return listed
}

// zoneSeries returns what all processes together call, and what one sends and
// receives, as availability zones grow.
func (cd *Command) zoneSeries(sites []*site) []*series {
	var list []*series
	for _, role := range []string{roleEntry, roleSteward} {
		for _, kind := range usedKinds(sites, role) {
			calls := &series{name: role + title(string(kind)) + "Calls", unit: "calls/s", per: "zone"}
			for _, st := range sites {
				before := kindsOf(st.before.calls, role)[kind]
				after := kindsOf(st.after.calls, role)[kind]
				calls.add(float64(st.size), float64(after-before)/cd.Window.Seconds())
			}
			list = append(list, calls)
		}
		list = append(list, cd.trafficOf(sites, role, "zone"))
	}
	changes := &series{name: "settingsChangeWatchCalls", unit: "calls", per: "zone"}
	spread := &series{name: "settingsInForce", unit: "ms", per: "zone"}
	for _, st := range sites {
		changes.add(float64(st.size), float64(st.changed[keeper.KindWatch]))
		spread.add(float64(st.size), float64(st.spread.Milliseconds()))
	}
	return append(list, changes, spread)
}

// vmSeries returns what one process costs as the VMs of the fleet grow.
func (cd *Command) vmSeries(sites []*site) []*series {
	var list []*series
	for _, role := range []string{roleEntry, roleSteward, roleStandby} {
		processor := &series{name: role + "ProcessorAtRest", unit: "ns/s", per: "VM"}
		resident := &series{name: role + "ResidentMemory", unit: "B", per: "VM"}
		anonymous := &series{name: role + "AnonymousMemory", unit: "B", per: "VM"}
		for _, st := range sites {
			at := float64(st.size)
			used := st.metric(role, launcher.ProcessorSeconds, true) / cd.Window.Seconds()
			processor.add(at, used*nanosecondsPerSecond)
			resident.add(at, st.metric(role, launcher.ResidentBytes, false))
			anonymous.add(at, st.metric(role, anonymousBytes, false))
		}
		list = append(list, processor, resident, anonymous, cd.trafficOf(sites, role, "VM"))
	}
	return list
}

// trafficOf returns the bytes that one process of a role exchanges with the
// platform, as HTTP without the headers of TCP and IP.
func (cd *Command) trafficOf(sites []*site, role, per string) *series {
	traffic := &series{name: role + "PlatformTrafficBy" + title(per), unit: "B/s", per: per}
	for _, st := range sites {
		total, processes := 0.0, 0.0
		for _, ps := range st.processes {
			if strings.HasSuffix(ps.Name, role) {
				total += float64(st.after.bytes[ps.Name] - st.before.bytes[ps.Name])
				processes++
			}
		}
		traffic.add(float64(st.size), total/processes/cd.Window.Seconds())
	}
	return traffic
}

// metric returns the mean of a metric over the processes of a role: its rise
// between the snapshots, or its value at the second.
func (st *site) metric(role, name string, isRise bool) float64 {
	total, processes := 0.0, 0.0
	for _, ps := range st.processes {
		if !strings.HasSuffix(ps.Name, role) {
			continue
		}
		processes++
		total += st.after.metrics[ps.Name][name]
		if isRise {
			total -= st.before.metrics[ps.Name][name]
		}
	}
	return total / processes
}

// usedKinds returns the kinds of calls that a role made, ordered by name.
func usedKinds(sites []*site, role string) []keeper.Kind {
	var kinds []keeper.Kind
	for _, st := range sites {
		before := kindsOf(st.before.calls, role)
		for kind, calls := range kindsOf(st.after.calls, role) {
			if calls > before[kind] && !slices.Contains(kinds, kind) {
				kinds = append(kinds, kind)
			}
		}
	}
	slices.Sort(kinds)
	return kinds
}

func title(text string) string { return strings.ToUpper(text[:1]) + text[1:] }
