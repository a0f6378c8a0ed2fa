package commander

import (
	"fmt"
	"strconv"

	"coltsfootwick.example/cfw/internal/printer"
	"coltsfootwick.example/shared/process/classifier"
	"coltsfootwick.example/shared/process/reporter"
	"coltsfootwick.example/shared/settings/configurer"
)

// statusCommand shows the status of the nodes.
type statusCommand struct{}

// nodeState is the state of a node with regard to the settings in force.
type nodeState string

// The states of nodes.
const (
	nodeInForce nodeState = "inForce"
	nodeBehind  nodeState = "behind"
	nodeUnheard nodeState = "unheard"
)

// wireStatus is the output of cfw status as JSON.
type wireStatus struct {
	SettingsRevision uint64     `json:"settingsRevision"`
	Nodes            []wireNode `json:"nodes"`
}

// wireNode is a node as JSON.
type wireNode struct {
	Name             string `json:"name"`
	Role             string `json:"role"`
	Zone             string `json:"zone"`
	OperatorsAddress string `json:"operatorsAddress"`
	State            string `json:"state"`
	SettingsRevision uint64 `json:"settingsRevision"`
	Detail           string `json:"detail,omitempty"`
}

// Help returns examples.
func (statusCommand) Help() string {
	return `Asks every node that is a member for its status. A node is inForce if it has the settings revision that the platform's service holds, behind if it has a lower one, and unheard if it doesn't answer; a node that was stopped or cut off from the platform disappears after its lease has ended.

Examples:

    cfw status
    cfw status --output json`
}

// Run implements the command.
func (statusCommand) Run(se *session) error {
	store, _, err := se.store()
	if err != nil {
		return err
	}
	rp, err := se.repository()
	if err != nil {
		return err
	}
	before, err := headOrEmpty(se, rp)
	if err != nil {
		return err
	}
	collector := reporter.NewStatusCollector(store)
	members, err := collector.Members(se.ctx)
	if err != nil {
		return err
	}
	se.progressf("fetching the status of %s", plural(len(members), "node"))
	return se.showStatus(before, collector.Collect(se.ctx, members))
}

func (se *session) showStatus(before configurer.Record, answers []reporter.StatusResult) error {
	wire := wireStatus{
		SettingsRevision: before.Revision,
		Nodes:            []wireNode{},
	}
	view := printer.View{
		Header: []string{"NODE", "ROLE", "ZONE", "ADDRESS", "STATE", "SETTINGS", "DETAIL"},
	}
	counts := map[string]int{}
	for _, answer := range answers {
		node := newWireNode(before.Revision, answer)
		counts[node.State]++
		wire.Nodes = append(wire.Nodes, node)
		view.Rows = append(view.Rows, nodeRow(node))
	}
	view.Above = []string{
		headLine(before),
		fmt.Sprintf("%s: %d in force, %d behind, %d unheard", plural(len(answers), "node"),
			counts[string(nodeInForce)], counts[string(nodeBehind)], counts[string(nodeUnheard)]),
	}
	view.Wire = wire
	return se.printer.Show(view)
}

func headLine(before configurer.Record) string {
	if before.Revision == 0 {
		return "no settings have been applied yet"
	}
	return fmt.Sprintf("settings revision %d by %s at %s: %s", before.Revision, before.Author, timeText(before.Time), before.Reason)
}

func newWireNode(revision uint64, answer reporter.StatusResult) wireNode {
	node := wireNode{
		Name:             answer.Member.Name,
		Role:             string(answer.Member.Role),
		Zone:             answer.Member.Zone,
		State:            string(nodeInForce),
		SettingsRevision: answer.Status.SettingsRevision,
	}
	if answer.Member.OperatorsAddress.IsValid() {
		node.OperatorsAddress = answer.Member.OperatorsAddress.String()
	}
	switch {
	case answer.Err != nil:
		node.State = string(nodeUnheard)
		node.Detail = classifier.CodeOf(answer.Err).String()
	case answer.Status.SettingsRevision < revision:
		node.State = string(nodeBehind)
	}
	return node
}

func nodeRow(node wireNode) []string {
	settings := strconv.FormatUint(node.SettingsRevision, 10)
	if node.State == string(nodeUnheard) {
		settings = ""
	}
	return []string{node.Name, node.Role, node.Zone, node.OperatorsAddress, node.State, settings, node.Detail}
}
