package note

import (
	"encoding"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"time"

	"verbenaway/core"
)

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// textRequirements states what the types with an UnmarshalText method accept.
var textRequirements = map[reflect.Type]string{
	reflect.TypeFor[core.Duration]():   `must be a duration such as "800ms" or "1m30s"`,
	reflect.TypeFor[core.Hash]():       "must be 64 hexadecimal digits",
	reflect.TypeFor[ChangedResource](): `must be a resource and its version such as "route/lookupNets 42"`,
}

// checkSchema compares the keys and value types of a decoded tree with the struct fields of
// target and checks that the required top-level keys are present.
func checkSchema(tree map[string]any, target any, required []string) *Error {
	for _, key := range required {
		if _, ok := tree[key]; !ok {
			return fieldError(key, "", "is required")
		}
	}
	return checkValue("", tree, reflect.TypeOf(target).Elem())
}

// checkValue returns the first error in value, visiting tables in the order of their keys.
func checkValue(path string, value any, expected reflect.Type) *Error {
	if reflect.PointerTo(expected).Implements(textUnmarshaler) {
		return checkText(path, value, expected)
	}
	switch expected.Kind() {
	case reflect.Struct:
		return checkTable(path, value, expected)
	case reflect.Slice:
		return checkList(path, value, expected)
	case reflect.String:
		return checkScalar[string](path, value, "a string")
	case reflect.Bool:
		return checkScalar[bool](path, value, "true or false")
	case reflect.Float64:
		if _, ok := value.(int64); ok {
			return nil
		}
		return checkScalar[float64](path, value, "a number")
	default:
		return checkInteger(path, value, expected)
	}
}

func checkTable(path string, value any, expected reflect.Type) *Error {
	table, ok := value.(map[string]any)
	if !ok {
		return typeError(path, value, "a table")
	}
	fields := make(map[string]reflect.Type, expected.NumField())
	for i := range expected.NumField() {
		field := expected.Field(i)
		if name := tagName(field); name != excludedTag {
			fields[name] = field.Type
		}
	}
	for _, key := range slices.Sorted(maps.Keys(table)) {
		field, known := fields[key]
		if !known {
			return fieldError(joinPath(path, key), "", "is not a known field")
		}
		if err := checkValue(joinPath(path, key), table[key], field); err != nil {
			return err
		}
	}
	return nil
}

func checkList(path string, value any, expected reflect.Type) *Error {
	list, ok := value.([]any)
	if !ok {
		return typeError(path, value, "a list")
	}
	for i, item := range list {
		if err := checkValue(fmt.Sprintf("%s[%d]", path, i), item, expected.Elem()); err != nil {
			return err
		}
	}
	return nil
}

func checkScalar[T any](path string, value any, expected string) *Error {
	if _, ok := value.(T); !ok {
		return typeError(path, value, expected)
	}
	return nil
}

func checkInteger(path string, value any, expected reflect.Type) *Error {
	integer, ok := value.(int64)
	if !ok {
		return typeError(path, value, "an integer")
	}
	if expected.Kind() == reflect.Uint64 && integer < 0 {
		return fieldError(path, strconv.FormatInt(integer, 10), "must not be negative")
	}
	return nil
}

// checkText checks a string that the expected type parses with UnmarshalText.
func checkText(path string, value any, expected reflect.Type) *Error {
	text, ok := value.(string)
	if !ok {
		return typeError(path, value, "a string")
	}
	target := reflect.New(expected).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(text)); err != nil {
		return fieldError(path, strconv.Quote(text), textRequirements[expected])
	}
	return nil
}

// excludedTag marks fields that are not part of the TOML format.
const excludedTag = "-"

func tagName(field reflect.StructField) string {
	name := field.Tag.Get("toml")
	for i := range len(name) {
		if name[i] == ',' {
			return name[:i]
		}
	}
	return name
}

// joinPath appends a key, quoted unless it is a TOML bare key.
func joinPath(path, key string) string {
	if !bareKeyPattern.MatchString(key) {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

func typeError(path string, value any, expected string) *Error {
	return fieldError(path, formatValue(value), "must be "+expected)
}

func fieldError(path, value, requirement string) *Error {
	return &Error{
		Kind:        core.NoteField,
		Path:        path,
		Value:       value,
		Requirement: requirement,
	}
}

// formatValue formats a scalar; for a table or list it returns only the type.
func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return strconv.Quote(v)
	case map[string]any:
		return "a table"
	case []any:
		return "a list"
	case time.Time:
		return v.Format(time.RFC3339)
	default:
		return fmt.Sprint(v)
	}
}
