package parser

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/pkg/errors"
)

// Load reads and validates a settings file. An error names the line, the
// column, the value and what is allowed.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Errorf("settings: %v; give the path of a settings file, examples are in examples/", err)
	}
	s, err := Parse(text)
	return s, errors.WithMessage(err, path)
}

// Parse decodes and validates the text of a settings file.
func Parse(text []byte) (Settings, error) {
	s := Default()
	if err := Decode(text, &s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Decode decodes one YAML document into v and validates it by the validate tags
// of its fields. Unknown and repeated keys are errors.
func Decode(text []byte, v any) error {
	if len(bytes.TrimSpace(text)) == 0 {
		return errors.New("the file is empty; see docs/SETTINGS.md for what it must hold")
	}
	d := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.Validator(structValidator{newValidator()}))
	if err := d.Decode(v); err != nil {
		return locateError(text, err)
	}
	return nil
}

// durationError matches the value in an error of time.ParseDuration, which
// lacks the position in the file.
var durationError = regexp.MustCompile(`^time: .*duration "?([^"]*)"?$`)

func locateError(text []byte, err error) error {
	message := strings.TrimSpace(yaml.FormatError(err, false, true))
	found := durationError.FindStringSubmatch(message)
	if found == nil {
		return errors.New(message)
	}
	for _, t := range lexer.Tokenize(string(text)) {
		if t.Value == found[1] {
			return errors.Errorf("[%d:%d] %q is not allowed; allowed: a duration, as in 500ms or 2m",
				t.Position.Line, t.Position.Column, t.Value)
		}
	}
	return errors.New(message)
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	if err := v.RegisterValidation("ip_port", isIPPort); err != nil {
		panic(err)
	}
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("yaml"), ",")[0]
	})
	return v
}

func isIPPort(f validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(f.Field().String())
	return err == nil
}

// structValidator validates decoded structs and words the errors for the
// authors of settings files.
type structValidator struct{ v *validator.Validate }

// Struct implements the decoder's StructValidator.
func (c structValidator) Struct(v any) error {
	err := c.v.Struct(v)
	var found validator.ValidationErrors
	if !errors.As(err, &found) {
		return err
	}
	return fieldErrors(found)
}

// fieldErrors lists the fields with invalid values.
type fieldErrors []validator.FieldError

// Error describes the first field, as the decoder shows the position of that
// one.
func (f fieldErrors) Error() string {
	first := f[0]
	name := first.Namespace()
	if _, rest, ok := strings.Cut(name, "."); ok {
		name = rest
	}
	if first.Tag() == "required" || first.Tag() == "required_without" {
		return fmt.Sprintf("%s is missing", name)
	}
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", name, formatValue(first.Value()), describeTag(first.Tag(), first.Param()))
}

func formatValue(v any) string {
	if reflect.TypeOf(v).Kind() == reflect.String {
		return fmt.Sprintf("%q", v)
	}
	return fmt.Sprint(v)
}

// describeTag returns a description of the values that a validate tag allows.
func describeTag(tag, param string) string {
	switch tag {
	case "oneof":
		return strings.Join(strings.Fields(param), ", ")
	case "min":
		return "at least " + param
	case "max":
		return "at most " + param
	case "ip_port":
		return "an IP and a port, as in 10.0.0.1:8080"
	case "hostname_rfc1123":
		return "letters, digits and hyphens"
	case "http_url":
		return "an address that starts with http:// or https://"
	case "startswith":
		return "text that starts with " + param
	case "unique":
		return "each " + param + " once"
	case "required":
		return "any text"
	default:
		return strings.TrimSpace(tag + " " + param)
	}
}

// ReadSecret reads the secret that a value of Keys refers to: PEM text,
// env:NAME or file:PATH.
func ReadSecret(source string) ([]byte, error) {
	if name, ok := strings.CutPrefix(source, "env:"); ok {
		text, found := os.LookupEnv(name)
		if !found {
			return nil, errors.Errorf("the environment has no variable %s; set it to PEM text", name)
		}
		return []byte(text), nil
	}
	if path, ok := strings.CutPrefix(source, "file:"); ok {
		text, err := os.ReadFile(path)
		return text, errors.Wrap(err, "read a key")
	}
	return []byte(source), nil
}
