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

// Load reads and checks a settings file. An error names the line, the column,
// the value and what is allowed.
func Load(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Errorf("settings: %v; give the path of a settings file, examples are in examples/", err)
	}
	s, err := Parse(text)
	return s, errors.WithMessage(err, path)
}

// Parse reads and checks the text of a settings file.
func Parse(text []byte) (Settings, error) {
	s := Default()
	if err := Decode(text, &s); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// Decode reads one YAML document into v, whose fields may carry validate
// tags. Unknown and repeated keys are errors.
func Decode(text []byte, v any) error {
	if len(bytes.TrimSpace(text)) == 0 {
		return errors.New("the file is empty; see docs/SETTINGS.md for what it must hold")
	}
	d := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict(), yaml.Validator(checker{newValidate()}))
	if err := d.Decode(v); err != nil {
		return explain(text, err)
	}
	return nil
}

// badDuration finds the value in an error of time.ParseDuration, which comes
// without its place in the file.
var badDuration = regexp.MustCompile(`^time: .*duration "?([^"]*)"?$`)

func explain(text []byte, err error) error {
	message := strings.TrimSpace(yaml.FormatError(err, false, true))
	found := badDuration.FindStringSubmatch(message)
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

func newValidate() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	if err := v.RegisterValidation("ip_port", isAddress); err != nil {
		panic(err)
	}
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("yaml"), ",")[0]
	})
	return v
}

func isAddress(f validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(f.Field().String())
	return err == nil
}

// checker gives the validator's findings the form of this package.
type checker struct{ v *validator.Validate }

// Struct implements the decoder's StructValidator.
func (c checker) Struct(v any) error {
	err := c.v.Struct(v)
	var found validator.ValidationErrors
	if !errors.As(err, &found) {
		return err
	}
	return findings(found)
}

// findings are the fields that are not allowed as they are.
type findings []validator.FieldError

// Error describes the first finding: its place is the one that is shown.
func (f findings) Error() string {
	first := f[0]
	name := first.Namespace()
	if _, rest, ok := strings.Cut(name, "."); ok {
		name = rest
	}
	if first.Tag() == "required" || first.Tag() == "required_without" {
		return fmt.Sprintf("%s is missing", name)
	}
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", name, quote(first.Value()), allowed(first.Tag(), first.Param()))
}

func quote(v any) string {
	if reflect.TypeOf(v).Kind() == reflect.String {
		return fmt.Sprintf("%q", v)
	}
	return fmt.Sprint(v)
}

// allowed puts a validate tag into words.
func allowed(tag, param string) string {
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

// Secret reads a value of Keys: PEM text, env:NAME or file:PATH.
func Secret(source string) ([]byte, error) {
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
