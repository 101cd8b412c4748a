package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/merlinpost/merlinpost/internal/adminapi/query"
	"github.com/merlinpost/merlinpost/internal/configlog"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/operator"
	"github.com/merlinpost/merlinpost/internal/resource"
)

func (f OperatorFlags) client() *operator.Client { return operator.New(f.Operators, f.Key) }

func readDocument(path string) ([]resource.Desired, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.InvalidConfig, "%w", err)
	}
	return resource.ParseDocument(path, data)
}

type applyCmd struct {
	OperatorFlags
	File      string `arg:"-f,--file,required" help:"TOML file of [[resource]] tables"`
	DryRun    bool   `arg:"--dry-run" help:"show and validate the changes without applying them"`
	Operation string `arg:"--operation" help:"operation id, to repeat a change whose response was lost"`
}

func (c *applyCmd) run(ctx context.Context, out io.Writer) error {
	desired, err := readDocument(c.File)
	if err != nil {
		return err
	}
	set, lines, err := c.client().Plan(ctx, desired)
	if err != nil {
		return err
	}
	if len(set.Changes) == 0 {
		_, err := fmt.Fprintln(out, "nothing to change")
		return err
	}
	if _, err := fmt.Fprintln(out, strings.Join(lines, "\n")); err != nil {
		return err
	}
	set.DryRun = c.DryRun
	if c.Operation == "" {
		c.Operation = configlog.NewID()
	}
	accepted, err := c.client().Change(ctx, set, c.Operation)
	if err != nil {
		return c.explain(ctx, out, desired, fault.From(err))
	}
	if accepted.DryRun {
		_, err = fmt.Fprintln(out, "valid; nothing was changed")
		return err
	}
	_, err = fmt.Fprintf(out, "in force: revision %d, operation %s\n", accepted.Revision, accepted.Operation)
	return err
}

// explain adds to a failed change what the operator needs to continue: how to
// repeat it if its outcome is unknown, or, after a conflict, the differences from
// the configuration now in force.
func (c *applyCmd) explain(ctx context.Context, out io.Writer, desired []resource.Desired, e *fault.Error) error {
	switch {
	case e.Outcome == fault.Unknown:
		e.Message += "; repeat with --operation " + c.Operation
	case e.Code == fault.RevisionConflict:
		if _, lines, err := c.client().Plan(ctx, desired); err == nil {
			if _, err := fmt.Fprintln(out, "conflict with an earlier change; differences from the configuration now in force:\n"+strings.Join(lines, "\n")); err != nil {
				return err
			}
		}
	}
	return e
}

type getCmd struct {
	OperatorFlags
	Kind string `arg:"positional,required" help:"class, team, pool, model, service or rollout"`
	Name string `arg:"positional" help:"name of a resource (default all of the kind)"`
}

func (c *getCmd) run(ctx context.Context, out io.Writer) error {
	if c.Name != "" {
		r, err := c.client().Get(ctx, c.Kind, c.Name)
		if err != nil {
			return err
		}
		return printJSON(out, r)
	}
	list, err := c.client().List(ctx, c.Kind)
	if err != nil {
		return err
	}
	return writeTable(out, "NAME\tREVISION\tSPEC", func(w io.Writer) error {
		for _, r := range list {
			if _, err := fmt.Fprintf(w, "%s\t%d\t%s\n", r.Name, r.Revision, r.Spec); err != nil {
				return err
			}
		}
		return nil
	})
}

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func writeTable(out io.Writer, header string, rows func(io.Writer) error) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, header); err != nil {
		return err
	}
	if err := rows(w); err != nil {
		return err
	}
	return w.Flush()
}

type deleteCmd struct {
	OperatorFlags
	Kind string `arg:"positional,required"`
	Name string `arg:"positional,required"`
}

func (c *deleteCmd) run(ctx context.Context, out io.Writer) error {
	accepted, err := c.client().Delete(ctx, c.Kind, c.Name)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "deleted: revision %d, operation %s\n", accepted.Revision, accepted.Operation)
	return err
}

type watchCmd struct {
	OperatorFlags
	Kind string `arg:"positional,required"`
}

func (c *watchCmd) run(ctx context.Context, out io.Writer) error {
	ctx, stop := notifyStop(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-stop
		cancel()
	}()
	return c.client().Watch(ctx, c.Kind, func(r query.Resource) {
		content := string(r.Spec)
		if r.Deleted {
			content = "deleted"
		}
		_, _ = fmt.Fprintf(out, "%d %s/%s %s\n", r.Revision, r.Kind, r.Name, content) // writing to a closed pipe ends the process by SIGPIPE
	})
}

type historyCmd struct {
	OperatorFlags
	Kind string `arg:"positional,required"`
	Name string `arg:"positional,required"`
}

func (c *historyCmd) run(ctx context.Context, out io.Writer) error {
	versions, err := c.client().History(ctx, c.Kind, c.Name)
	if err != nil {
		return err
	}
	return writeTable(out, "REVISION\tTIME\tACTOR\tOPERATION\tSPEC", func(w io.Writer) error {
		for _, v := range versions {
			spec := string(v.Spec)
			if spec == "" {
				spec = "(deleted)"
			}
			if _, err := fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", v.Revision, v.Time, v.Actor, v.Operation, spec); err != nil {
				return err
			}
		}
		return nil
	})
}

type withdrawCmd struct {
	OperatorFlags
	Kind string `arg:"positional,required"`
	Name string `arg:"positional,required"`
	To   string `arg:"--to" help:"revision to restore (default the one before the last)"`
}

func (c *withdrawCmd) run(ctx context.Context, out io.Writer) error {
	accepted, err := c.client().Withdraw(ctx, c.Kind, c.Name, c.To)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "withdrawn: revision %d, operation %s\n", accepted.Revision, accepted.Operation)
	return err
}

type operationCmd struct {
	OperatorFlags
	ID string `arg:"positional,required"`
}

func (c *operationCmd) run(ctx context.Context, out io.Writer) error {
	result, err := c.client().Operation(ctx, c.ID)
	if err != nil {
		return err
	}
	return printJSON(out, result)
}

type statusCmd struct {
	OperatorFlags
	MoreRouters []string `arg:"--also,separate" help:"IP address and port of another router's operators' API; repeat for several"`
}

func (c *statusCmd) run(ctx context.Context, out io.Writer) error {
	return writeTable(out, "FROM\tPROCESS\tROLE\tUP\tLEAVING\tREVISION\tRUNNING\tQUEUED", func(w io.Writer) error {
		for _, address := range append([]string{c.Operators}, c.MoreRouters...) {
			status, err := operator.New(address, c.Key).Status(ctx)
			if err != nil {
				return err
			}
			for _, p := range status.Processes {
				if _, err := fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%d\t%d\t%d\n", address, p.Name, p.Role, p.Up, p.Draining,
					p.Revision, p.Running, p.Queued); err != nil {
					return err
				}
			}
		}
		return nil
	})
}
