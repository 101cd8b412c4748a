package resource

import (
	"encoding/json"
	"errors"

	"github.com/pelletier/go-toml/v2"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Document is a TOML file of desired resources, the input of "merlinpost apply".
type Document struct {
	Resources []DocumentResource `toml:"resource"`
}

// DocumentResource is one [[resource]] table.
type DocumentResource struct {
	Kind string         `toml:"kind"`
	Name string         `toml:"name"`
	Spec map[string]any `toml:"spec"`
}

// Desired is a validated resource of a Document.
type Desired struct {
	Ref
	Spec json.RawMessage
}

// ParseDocument decodes and validates a TOML document. name is the document's file
// name; errors contain it.
func ParseDocument(name string, data []byte) ([]Desired, error) {
	var doc Document
	if err := toml.Unmarshal(data, &doc); err != nil {
		var bad *toml.DecodeError
		if errors.As(err, &bad) {
			row, _ := bad.Position()
			return nil, fault.New(fault.InvalidConfig, "%s:%d: %w", name, row, err)
		}
		return nil, fault.New(fault.InvalidConfig, "%s: %w", name, err)
	}
	out := make([]Desired, 0, len(doc.Resources))
	for _, r := range doc.Resources {
		d, err := r.parse()
		if err != nil {
			e := fault.From(err)
			e.Field = name + ": " + r.Kind + "/" + r.Name + "." + e.Field
			return nil, e
		}
		out = append(out, d)
	}
	return out, nil
}

func (r DocumentResource) parse() (Desired, error) {
	kind, err := ParseKind(r.Kind)
	if err != nil {
		return Desired{}, err
	}
	spec, err := json.Marshal(r.Spec)
	if err != nil {
		return Desired{}, fault.New(fault.InvalidConfig, "%w", err).WithField("spec")
	}
	if _, err := ParseSpec(kind, r.Name, spec); err != nil {
		return Desired{}, err
	}
	return Desired{Ref: Ref{kind, r.Name}, Spec: spec}, nil
}
