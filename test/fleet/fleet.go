package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"lagoongw/internal/protocol/wire"
	"lagoongw/internal/state/rule"
	"lagoongw/test/standin"
)

// Credentials of every node of a fleet, for tests only.
const (
	OperatorToken = "operator-token-for-tests"
	PeerSecret    = "peer-secret-for-tests"
)

// Settings holds the number of processes of each kind in a fleet and their extra command-line arguments.
type Settings struct {
	Nodes    int
	Engines  int
	Services int
	// NodeArgs and EngineArgs are appended to the arguments of every node and every engine.
	NodeArgs   []string
	EngineArgs []string
	// PlatformArgs are appended to the arguments of the platform.
	PlatformArgs []string
}

// Fleet is a set of running processes: a platform, engines, order services and nodes.
type Fleet struct {
	Platform *Process
	Engines  []*Process
	Services []*Process
	Nodes    []*Process

	settings  Settings
	dir       string
	processes []*Process
	machines  []wire.Machine
}

type location struct {
	zone   string
	region string
}

// locations are assigned to the processes of each kind in turn.
var locations = []location{
	{zone: "lom-a", region: "lombardia"},
	{zone: "lom-b", region: "lombardia"},
	{zone: "ven-a", region: "veneto"},
}

// Start builds the programs into dir, starts a fleet and waits until it is ready; the caller must call Stop even if
// Start returns an error.
func Start(ctx context.Context, dir string, settings Settings) (*Fleet, error) {
	f := &Fleet{
		dir:      dir,
		settings: settings,
	}
	steps := []func(context.Context) error{
		f.build,
		f.startPlatform,
		f.startUpstreams,
		f.startNodes,
		f.waitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

// Stop kills every process that the fleet started.
func (f *Fleet) Stop() {
	for _, p := range f.processes {
		p.Kill()
	}
}

func (f *Fleet) build(ctx context.Context) error {
	root, err := moduleRoot(ctx)
	if err != nil {
		return err
	}
	for name, pkg := range map[string]string{
		"lagoongw": ".",
		"standin":  "./test/standin/program",
	} {
		command := exec.CommandContext(ctx, "go", "build", "-o", filepath.Join(f.dir, name), pkg)
		command.Dir = root
		if out, err := command.CombinedOutput(); err != nil {
			return fmt.Errorf("build %s: %w\n%s", pkg, err, out)
		}
	}
	return nil
}

func moduleRoot(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	return filepath.Dir(strings.TrimSpace(string(out))), err
}

// start starts a program of the fleet on a free address; args returns its command-line arguments for that address.
func (f *Fleet) start(name, program string, args func(address string) []string) (*Process, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	p, err := startProcess(f.dir, name, filepath.Join(f.dir, program), args(address)...)
	if err != nil {
		return nil, err
	}
	p.Address = address
	f.processes = append(f.processes, p)
	return p, nil
}

func (f *Fleet) startPlatform(context.Context) error {
	p, err := f.start("platform", "standin", func(address string) []string {
		return append(
			[]string{"--kind", "platform", "--listen", address, "--list-lag", "200ms"},
			f.settings.PlatformArgs...,
		)
	})
	f.Platform = p
	return err
}

func (f *Fleet) startUpstreams(context.Context) error {
	for i := range f.settings.Engines {
		name := fmt.Sprintf("engine-%d", i+1)
		p, err := f.start(name, "standin", func(address string) []string {
			args := []string{
				"--kind", "engine", "--listen", address, "--name", name, "--model", "planner", "--report-lag", "200ms",
			}
			return append(args, f.settings.EngineArgs...)
		})
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, p)
		f.addMachine(p, "engine", "engines", locations[i%len(locations)], []string{"planner"})
	}
	for i := range f.settings.Services {
		name := fmt.Sprintf("order-desk-%d", i+1)
		p, err := f.start(name, "standin", func(address string) []string {
			return []string{"--kind", "service", "--listen", address, "--slots", "64"}
		})
		if err != nil {
			return err
		}
		f.Services = append(f.Services, p)
		f.addMachine(p, "service", "orders", locations[i%len(locations)], nil)
	}
	return nil
}

func (f *Fleet) addMachine(p *Process, kind, pool string, loc location, models []string) {
	f.machines = append(f.machines, wire.Machine{
		Name:             p.Name,
		Kind:             kind,
		Pool:             pool,
		Address:          p.Address,
		PeerAddress:      p.PeerAddress,
		AvailabilityZone: loc.zone,
		Region:           loc.region,
		State:            "live",
		Slots:            8,
		Models:           models,
	})
}

func (f *Fleet) startNodes(ctx context.Context) error {
	for i := range f.settings.Nodes {
		if _, err := f.StartNode(i + 1); err != nil {
			return err
		}
	}
	return f.PublishMachines(ctx)
}

// StartNode starts one more node, named entry-NUMBER; the platform lists it after the next PublishMachines.
func (f *Fleet) StartNode(number int) (*Process, error) {
	loc := locations[(number-1)%len(locations)]
	name := fmt.Sprintf("entry-%d", number)
	peerAddress, err := freeAddress()
	if err != nil {
		return nil, err
	}
	var seeds []string
	if len(f.Nodes) > 0 {
		seeds = []string{"--peer", f.Nodes[0].PeerAddress}
	}
	p, err := f.start(name, "lagoongw", func(address string) []string {
		args := []string{
			"serve", "--name", name,
			"--listen", address, "--address", address,
			"--peer-listen", peerAddress, "--peer-address", peerAddress,
			"--availability-zone", loc.zone, "--region", loc.region,
			"--platform", "http://" + f.Platform.Address,
			"--secret", PeerSecret, "--operator-token-sha256", rule.HashToken(OperatorToken),
			"--keep-answer", "1s",
		}
		return append(append(args, seeds...), f.settings.NodeArgs...)
	})
	if err != nil {
		return nil, err
	}
	p.PeerAddress = peerAddress
	f.Nodes = append(f.Nodes, p)
	f.addMachine(p, "entry", "", loc, nil)
	return p, nil
}

// PublishMachines sends the platform the current list of VMs.
func (f *Fleet) PublishMachines(ctx context.Context) error {
	return retry(ctx, func() error {
		return f.post(ctx, f.Platform.Address, "/control/vms", "", wire.MachineList{Machines: f.machines}, nil)
	})
}

// waitReady waits until every node knows all members, which are the nodes, and all upstreams, which are the engines and
// order services.
func (f *Fleet) waitReady(ctx context.Context) error {
	for _, node := range f.Nodes {
		err := retry(ctx, func() error {
			status, err := f.Status(ctx, node)
			if err != nil {
				return errors.Join(err, node.checkRunning())
			}
			return f.checkReady(node, status)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// checkReady returns an error unless the status of a node shows all members and all upstreams.
func (f *Fleet) checkReady(node *Process, status wire.NodeStatus) error {
	upstreams := 0
	for _, pool := range status.Pools {
		upstreams += len(pool.Replicas)
	}
	if len(status.Members) < len(f.Nodes) || upstreams < len(f.Engines)+len(f.Services) {
		return fmt.Errorf("%s knows only %d members and %d upstreams", node.Name, len(status.Members), upstreams)
	}
	return nil
}

// Status returns the operator's status of a node.
func (f *Fleet) Status(ctx context.Context, node *Process) (wire.NodeStatus, error) {
	var status wire.NodeStatus
	err := f.do(ctx, http.MethodGet, node.Address, "/v1/operator/status", OperatorToken, nil, &status)
	return status, err
}

// Publish publishes a rule file through a node, based on the revision in force there.
func (f *Fleet) Publish(ctx context.Context, node *Process, id, text string) (wire.RuleVerdict, error) {
	var state wire.RuleState
	err := retry(ctx, func() error {
		return f.do(ctx, http.MethodGet, node.Address, "/v1/operator/rules", OperatorToken, nil, &state)
	})
	if err != nil {
		return wire.RuleVerdict{}, err
	}
	return f.PublishWithBase(ctx, node, id, state.Revision, text)
}

// PublishWithBase publishes a rule file through a node, based on the given revision.
func (f *Fleet) PublishWithBase(
	ctx context.Context, node *Process, id string, base int, text string,
) (wire.RuleVerdict, error) {
	var verdict wire.RuleVerdict
	err := f.post(ctx, node.Address, "/v1/operator/rules", OperatorToken, wire.PublishRequest{
		PublishID: id,
		Base:      base,
		Text:      text,
	}, &verdict)
	return verdict, err
}

// WaitRevision waits until every given node has the revision, or a later one, in force.
func (f *Fleet) WaitRevision(ctx context.Context, revision int, nodes ...*Process) error {
	for _, node := range nodes {
		err := retry(ctx, func() error {
			status, err := f.Status(ctx, node)
			if err == nil && status.Revision < revision {
				err = fmt.Errorf("%s still has revision %d in force", node.Name, status.Revision)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// SetFault sets a fault of a stand-in, or clears it when Times is 0.
func (f *Fleet) SetFault(ctx context.Context, p *Process, fault standin.Fault) error {
	return f.post(ctx, p.Address, "/control/fault", "", fault, nil)
}

// Executions returns the number of executions by idempotency key, or by request body for orders without a key, summed
// over all order services.
func (f *Fleet) Executions(ctx context.Context) (map[string]int, error) {
	sum := map[string]int{}
	for _, service := range f.Services {
		var counts map[string]int
		if err := f.do(ctx, http.MethodGet, service.Address, "/control/executions", "", nil, &counts); err != nil {
			return nil, err
		}
		for key, count := range counts {
			sum[key] += count
		}
	}
	return sum, nil
}

func (f *Fleet) post(ctx context.Context, address, path, token string, request, result any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return f.do(ctx, http.MethodPost, address, path, token, body, result)
}

func (f *Fleet) do(ctx context.Context, method, address, path, token string, body []byte, result any) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: %d %s", method, path, response.StatusCode, data)
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}

// retry calls step until it succeeds, ctx is done or the timeout has passed, and returns its last error.
func retry(ctx context.Context, step func() error) error {
	const (
		timeout  = 20 * time.Second
		interval = 50 * time.Millisecond
	)
	deadline := time.Now().Add(timeout)
	for {
		err := step()
		if err == nil || ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(interval)
	}
}

// TempDir creates a temporary directory for the programs and logs of a fleet; the caller removes it.
func TempDir() (string, error) {
	return os.MkdirTemp("", "lagoongw-fleet-")
}
