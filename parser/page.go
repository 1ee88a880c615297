package parser

import (
	"fmt"
	"reflect"
	"strings"
	"time"
)

// SettingsPage returns the text of docs/SETTINGS.md, generated from the
// settings types.
func SettingsPage() string {
	var w strings.Builder
	w.WriteString("# Settings\n\n")
	w.WriteString("One YAML file for each VM, checked by `figtrack check FILE`. ")
	w.WriteString("Unknown and repeated keys are errors. This page is made from the settings types.\n\n")
	w.WriteString("| key | default | allowed | meaning |\n|---|---|---|---|\n")
	writeRows(&w, "", reflect.ValueOf(Default()))
	return w.String()
}

func writeRows(w *strings.Builder, prefix string, v reflect.Value) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := prefix + f.Tag.Get("yaml")
		writeRow(w, name, f, v.Field(i))
		switch {
		case f.Type.Kind() == reflect.Struct:
			writeRows(w, name+".", v.Field(i))
		case f.Type.Kind() == reflect.Pointer && f.Type.Elem().Kind() == reflect.Struct:
			writeRows(w, name+".", reflect.Zero(f.Type.Elem()))
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			writeRows(w, name+"[].", reflect.Zero(f.Type.Elem()))
		}
	}
}

func writeRow(w *strings.Builder, name string, f reflect.StructField, v reflect.Value) {
	fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", name, formatDefault(v), describeRules(f.Tag.Get("validate")), f.Tag.Get("doc"))
}

func formatDefault(v reflect.Value) string {
	if v.IsZero() || v.Kind() == reflect.Struct {
		return ""
	}
	if d, ok := v.Interface().(time.Duration); ok {
		return "`" + d.String() + "`"
	}
	return fmt.Sprintf("`%v`", v.Interface())
}

func describeRules(tags string) string {
	var words []string
	for tag := range strings.SplitSeq(tags, ",") {
		name, param, _ := strings.Cut(tag, "=")
		switch name {
		case "", "omitempty":
		case "dive":
			words = append(words, "each:")
		case "required":
			words = append(words, "must be given")
		case "required_without":
			words = append(words, "must be given without "+param)
		default:
			words = append(words, describeTag(name, param))
		}
	}
	return strings.ReplaceAll(strings.Join(words, "; "), "each:; ", "each: ")
}
