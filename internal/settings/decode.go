// Package settings reads and validates the TOML settings files of the two binaries
// and of the load tool. Unknown keys, values of the wrong type and values out of range
// are errors that name the file, the key and, if known, the line.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// NewValidator returns a validator that reports fields by their name in the
// given struct tag ("toml" or "json"). It adds the rule "ipport", which accepts an IP
// address with a port but no host name.
func NewValidator(tag string) *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get(tag), ",")
		return name
	})
	// Registration fails only for an empty name or function.
	_ = v.RegisterValidation("ipport", func(fl validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(fl.Field().String())
		return err == nil
	})
	return v
}

// FieldError converts a validator error to a fault with the given code that names
// the first invalid field. It returns nil if err is nil.
func FieldError(code fault.Code, err error) *fault.Error {
	if err == nil {
		return nil
	}
	var list validator.ValidationErrors
	if !errors.As(err, &list) || len(list) == 0 {
		return fault.New(code, "%w", err)
	}
	first := list[0]
	_, path, found := strings.Cut(first.Namespace(), ".")
	if !found {
		path = first.Namespace()
	}
	rule := first.Tag()
	if first.Param() != "" {
		rule += "=" + first.Param()
	}
	return fault.New(code, "value %v breaks the rule %q", first.Value(), rule).WithField(path)
}

// ReadFile decodes the TOML file at path into target and validates the result. Keys
// that the file does not set keep their value in target. Errors have code
// BadSettings.
func ReadFile(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fault.New(fault.BadSettings, "read settings: %w", err)
	}
	return Decode(path, data, target)
}

// Decode is like ReadFile for data in memory. Errors contain name as the file name.
func Decode(name string, data []byte, target any) error {
	dec := toml.NewDecoder(strings.NewReader(string(data))).DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return decodeError(name, err)
	}
	if e := FieldError(fault.BadSettings, NewValidator("toml").Struct(target)); e != nil {
		e.Message = name + ": " + e.Message
		return e
	}
	return nil
}

func decodeError(name string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		row, _ := first.Position()
		return fault.New(fault.BadSettings, "%s:%d: unknown key", name, row).WithField(strings.Join(first.Key(), "."))
	}
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		row, col := bad.Position()
		return fault.New(fault.BadSettings, "%s:%d:%d: %w", name, row, col, err).WithField(strings.Join(bad.Key(), "."))
	}
	return fault.New(fault.BadSettings, "%s: %w", name, fmt.Errorf("decode: %w", err))
}
