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

// textWants says what the types that read their own text accept.
var textWants = map[reflect.Type]string{
	reflect.TypeFor[core.Duration]():   `must be a duration such as "800ms" or "1m30s"`,
	reflect.TypeFor[core.Hash]():       "must be 64 hexadecimal digits",
	reflect.TypeFor[ChangedResource](): `must be a resource and its version such as "route/lookupNets 42"`,
}

// checkShape compares the keys and value types of a decoded tree with the toml tags of
// target and demands the required keys at the top level.
func checkShape(tree map[string]any, target any, required []string) *Fault {
	for _, key := range required {
		if _, ok := tree[key]; !ok {
			return fieldFault(key, "", "is required")
		}
	}
	return checkValue("", tree, reflect.TypeOf(target).Elem())
}

// checkValue returns the first fault of value in the order of keys.
func checkValue(path string, value any, want reflect.Type) *Fault {
	if reflect.PointerTo(want).Implements(textUnmarshaler) {
		return checkText(path, value, want)
	}
	switch want.Kind() {
	case reflect.Struct:
		return checkTable(path, value, want)
	case reflect.Slice:
		return checkList(path, value, want)
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
		return checkInteger(path, value, want)
	}
}

func checkTable(path string, value any, want reflect.Type) *Fault {
	table, ok := value.(map[string]any)
	if !ok {
		return typeFault(path, value, "a table")
	}
	fields := make(map[string]reflect.Type, want.NumField())
	for i := range want.NumField() {
		field := want.Field(i)
		if name := tagName(field); name != notCarried {
			fields[name] = field.Type
		}
	}
	for _, key := range slices.Sorted(maps.Keys(table)) {
		field, known := fields[key]
		if !known {
			return fieldFault(joinPath(path, key), "", "is not a known field")
		}
		if fault := checkValue(joinPath(path, key), table[key], field); fault != nil {
			return fault
		}
	}
	return nil
}

func checkList(path string, value any, want reflect.Type) *Fault {
	list, ok := value.([]any)
	if !ok {
		return typeFault(path, value, "a list")
	}
	for i, item := range list {
		if fault := checkValue(fmt.Sprintf("%s[%d]", path, i), item, want.Elem()); fault != nil {
			return fault
		}
	}
	return nil
}

func checkScalar[T any](path string, value any, accepted string) *Fault {
	if _, ok := value.(T); !ok {
		return typeFault(path, value, accepted)
	}
	return nil
}

func checkInteger(path string, value any, want reflect.Type) *Fault {
	number, ok := value.(int64)
	if !ok {
		return typeFault(path, value, "an integer")
	}
	if want.Kind() == reflect.Uint64 && number < 0 {
		return fieldFault(path, strconv.FormatInt(number, 10), "must not be negative")
	}
	return nil
}

// checkText checks a string that its type reads by UnmarshalText.
func checkText(path string, value any, want reflect.Type) *Fault {
	text, ok := value.(string)
	if !ok {
		return typeFault(path, value, "a string")
	}
	target := reflect.New(want).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(text)); err != nil {
		return fieldFault(path, strconv.Quote(text), textWants[want])
	}
	return nil
}

// notCarried is the tag of fields that notes do not carry.
const notCarried = "-"

func tagName(field reflect.StructField) string {
	name := field.Tag.Get("toml")
	for i := range len(name) {
		if name[i] == ',' {
			return name[:i]
		}
	}
	return name
}

// joinPath appends a key, quoted unless it is a bare key of TOML.
func joinPath(path, key string) string {
	if !bareKey.MatchString(key) {
		key = strconv.Quote(key)
	}
	if path == "" {
		return key
	}
	return path + "." + key
}

func typeFault(path string, value any, accepted string) *Fault {
	return fieldFault(path, show(value), "must be "+accepted)
}

func fieldFault(path, value, want string) *Fault {
	return &Fault{
		Kind:  core.NoteField,
		Path:  path,
		Value: value,
		Want:  want,
	}
}

// show returns a scalar as written and only the type of anything larger.
func show(value any) string {
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
