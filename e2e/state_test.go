package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/merlinpost/merlinpost/internal/adminapi/command"
	"github.com/merlinpost/merlinpost/internal/adminapi/query"
	"github.com/merlinpost/merlinpost/internal/agent"
	"github.com/merlinpost/merlinpost/internal/operator"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/standin/engine"
)

// applyConfig applies the configuration of the deployment through the operators' API of the first router.
func (c *cluster) applyConfig() error {
	if err := waitFor("router-0 ready", func() error {
		var s query.Status
		if err := c.getJSON("http://"+c.operatorAddress("router-0")+"/v1/status", &s); err != nil {
			return err
		}
		if !s.Ready {
			return fmt.Errorf("not ready")
		}
		return nil
	}); err != nil {
		return err
	}
	document, err := c.configDocument()
	if err != nil {
		return err
	}
	desired, err := resource.ParseDocument("seed", []byte(document))
	if err != nil {
		return err
	}
	client := operator.New(c.operatorAddress("router-0"), operatorKey)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	set, _, err := client.Plan(ctx, desired)
	if err != nil {
		return err
	}
	_, err = client.Change(ctx, set, "")
	return err
}

// configDocument returns the configuration of the deployment in the operators' format.
func (c *cluster) configDocument() (string, error) {
	var b strings.Builder
	b.WriteString(`
[[resource]]
kind = "class"
name = "helpline"
spec = { tier = 0, first_token_ms = 400, between_tokens_ms = 49, max_wait_ms = 20000, max_run_ms = 60000, max_tokens = 4096 }
[[resource]]
kind = "class"
name = "alert"
spec = { tier = 1, first_token_ms = 2000, max_wait_ms = 20000, max_run_ms = 60000, max_tokens = 4096, preemptible = true, floor = 0.05 }
[[resource]]
kind = "class"
name = "report"
spec = { tier = 3, max_wait_ms = 600000, max_run_ms = 600000, max_tokens = 8192, preemptible = true, floor = 0.1 }
`)
	if err := c.writePool(&b, "engines", "engine", c.Engines); err != nil {
		return "", err
	}
	if c.Engines > 0 {
		b.WriteString("[[resource]]\nkind = \"model\"\nname = \"advisory\"\nspec = { pool = \"engines\" }\n")
	}
	if err := c.writePool(&b, "workers", "service", c.Services); err != nil {
		return "", err
	}
	if c.Services > 0 {
		fmt.Fprintf(&b, "[[resource]]\nkind = \"service\"\nname = \"receipts\"\nspec = { pool = \"workers\", path = \"/receipts\", key_window_ms = %d }\n", c.KeyWindowMS)
		b.WriteString("[[resource]]\nkind = \"service\"\nname = \"status\"\nspec = { pool = \"workers\", path = \"/status\", may_repeat = true }\n")
	}
	fmt.Fprintf(&b, "[[resource]]\nkind = \"team\"\nname = \"small\"\nspec = { keys_sha256 = [%q], default_class = \"helpline\", rate = 20, burst = 20, concurrency = 6 }\n",
		resource.HashAPIKey(smallTeamKey))
	fmt.Fprintf(&b, "[[resource]]\nkind = \"team\"\nname = \"board\"\nspec = { keys_sha256 = [%q], default_class = \"alert\", classes = [\"helpline\", \"report\"] }\n",
		resource.HashAPIKey(teamKey))
	return b.String(), nil
}

// writePool writes the resource of a pool with n servers.
func (c *cluster) writePool(b *strings.Builder, name, server string, n int) error {
	if n == 0 {
		return nil
	}
	fmt.Fprintf(b, "[[resource]]\nkind = \"pool\"\nname = %q\n", name)
	for i := range n {
		s := fmt.Sprintf("%s-%d", server, i)
		address, err := c.viaProxy(s, c.address("agent-"+s)+":7300", "7300")
		if err != nil {
			return err
		}
		fmt.Fprintf(b, "[[resource.spec.servers]]\nname = %q\nagent = %q\nfailure_domain = %q\n", s, address, c.failureDomain(i))
	}
	return nil
}

// status reads the status of a router.
func (c *cluster) status(router string) (s query.Status, err error) {
	return s, c.getJSON("http://"+c.operatorAddress(router)+"/v1/status", &s)
}

func (c *cluster) agentStatus(name string) (s agent.Status, err error) {
	return s, c.getJSON("http://"+c.address(name)+":7301/v1/status", &s)
}

// waitReady waits until every running router is connected to all agents, the agents report that their
// backend servers are serving, and all running agents hold their leases.
func (c *cluster) waitReady() error {
	return waitFor("deployment ready", func() error {
		for i := range c.Routers {
			name := fmt.Sprint("router-", i)
			if p, _ := c.process(name); p == nil || p.hasExited() {
				continue
			}
			s, err := c.status(name)
			if err != nil {
				return err
			}
			serving := 0
			for _, p := range s.Processes {
				if p.Role == "agent" && p.Up && p.Serving && !p.Draining {
					serving++
				}
			}
			if serving != c.Engines+c.Services {
				return fmt.Errorf("%s reaches %d serving agents of %d: %+v", name, serving, c.Engines+c.Services, s.Processes)
			}
		}
		return c.checkLeases()
	})
}

// checkLeases returns an error unless every running agent holds its lease in the log. An agent accepts no
// keyed calls before. The check is skipped if the log is not running.
func (c *cluster) checkLeases() error {
	if p, _ := c.process("log"); p.hasExited() {
		return nil
	}
	for _, n := range c.routersAndAgents() {
		if p, _ := c.process(n); !strings.HasPrefix(n, "agent-") || p.hasExited() {
			continue
		}
		s, err := c.agentStatus(n)
		if err != nil {
			return err
		}
		if s.Fence == 0 {
			return fmt.Errorf("%s has no lease yet", n)
		}
	}
	return nil
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// waitRevision waits until all named routers and agents have reached a revision
// and returns the time that this took.
func (c *cluster) waitRevision(names []string, revision uint64) (time.Duration, error) {
	begin := time.Now()
	err := waitFor(fmt.Sprintf("revision %d everywhere", revision), func() error {
		for _, n := range names {
			got, err := c.revision(n)
			if err != nil {
				return err
			}
			if got < revision {
				return fmt.Errorf("%s has revision %d", n, got)
			}
		}
		return nil
	})
	return time.Since(begin), err
}

func (c *cluster) revision(name string) (uint64, error) {
	if strings.HasPrefix(name, "router-") {
		s, err := c.status(name)
		return s.Revision, err
	}
	s, err := c.agentStatus(name)
	return s.Revision, err
}

// routersAndAgents returns the names of all routers and agents.
func (c *cluster) routersAndAgents() []string {
	var out []string
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := range c.processes {
		if strings.HasPrefix(n, "router-") || strings.HasPrefix(n, "agent-") {
			out = append(out, n)
		}
	}
	return out
}

// setClass writes a class through a router and returns the status of the response
// and the new revision.
func (c *cluster) setClass(router, name, spec, ifMatch string) (int, uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	header := map[string]string{"Authorization": "Bearer " + operatorKey}
	if ifMatch != "" {
		header["If-Match"] = ifMatch
	}
	status, _, data, err := c.request(ctx, http.MethodPut, "http://"+c.operatorAddress(router)+"/v1/class/"+name, header, []byte(spec))
	if err != nil {
		return 0, 0, err
	}
	var a command.Accepted
	if status == http.StatusOK {
		err = json.Unmarshal(data, &a)
	}
	return status, a.Revision, err
}

// executionCounts returns how often the engines began to execute each request, by request ID.
func (c *cluster) executionCounts() (map[string]int, error) {
	out := map[string]int{}
	for i := range c.Engines {
		var list []engine.Execution
		if err := c.getJSON(fmt.Sprintf("http://%s:7100/standin/executions", c.address(fmt.Sprint("engine-", i))), &list); err != nil {
			return nil, err
		}
		for _, x := range list {
			out[x.RequestID] += x.Starts
		}
	}
	return out, nil
}

// runCounts returns how often the services ran each call, by body.
func (c *cluster) runCounts() (map[string]int, error) {
	out := map[string]int{}
	for i := range c.Services {
		var list map[string]int
		if err := c.getJSON(fmt.Sprintf("http://%s:7100/standin/runs", c.address(fmt.Sprint("service-", i))), &list); err != nil {
			return nil, err
		}
		for body, n := range list {
			out[body] += n
		}
	}
	return out, nil
}
