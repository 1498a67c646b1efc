package lint

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"verbenaway/core"
)

// Action says what became of an entry.
type Action string

// The actions.
const (
	ActionAdded     Action = "added"
	ActionChanged   Action = "changed"
	ActionWithdrawn Action = "withdrawn"
)

// Change is an entry that differs between two configurations.
type Change struct {
	Action Action `json:"action"`
	// Subject is "kind/name" of the entry.
	Subject string `json:"subject"`
	// Fields lists the fields that differ, for ActionChanged only.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one field of an entry that differs. Values of API keys are counts.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Compare returns what differs in next from the configuration in force, by subject.
func Compare(inForce, next *core.Snapshot) []Change {
	var changes []Change
	changes = appendChanges(changes, "region", inForce.Regions, next.Regions)
	changes = appendChanges(changes, "service", inForce.Services, next.Services)
	changes = appendChanges(changes, "route", inForce.Routes, next.Routes)
	changes = appendChanges(changes, "tenant", inForce.Tenants, next.Tenants)
	changes = appendChanges(changes, "limit", inForce.Limits, next.Limits)
	changes = appendChanges(changes, "zoneOut", outZones(inForce), outZones(next))
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Compare(a.Subject, b.Subject)
	})
	return changes
}

// outZones returns the availability zones that are taken out.
func outZones(config *core.Snapshot) map[core.AvailabilityZone]struct{} {
	out := map[core.AvailabilityZone]struct{}{}
	for zone, isOut := range config.Out {
		if isOut {
			out[zone] = struct{}{}
		}
	}
	return out
}

func appendChanges[K ~string, V any](changes []Change, kind string, before, after map[K]V) []Change {
	names := maps.Clone(after)
	if names == nil {
		names = map[K]V{}
	}
	maps.Copy(names, before)
	for name := range names {
		old, wasThere := before[name]
		current, isThere := after[name]
		change := Change{
			Subject: kind + "/" + string(name),
		}
		switch {
		case !wasThere:
			change.Action = ActionAdded
		case !isThere:
			change.Action = ActionWithdrawn
		default:
			change.Action = ActionChanged
			if change.Fields = compareFields(reflect.ValueOf(old), reflect.ValueOf(current)); len(change.Fields) == 0 {
				continue
			}
		}
		changes = append(changes, change)
	}
	return changes
}

// compareFields compares two structs of one type field by field.
func compareFields(before, after reflect.Value) []FieldChange {
	var fields []FieldChange
	for i := range before.NumField() {
		a, b := before.Field(i).Interface(), after.Field(i).Interface()
		if isEqual(a, b) {
			continue
		}
		fields = append(fields, FieldChange{
			Field:  fieldName(before.Type().Field(i)),
			Before: fieldText(a),
			After:  fieldText(b),
		})
	}
	return fields
}

// isEqual compares two values; an empty list equals a missing one.
func isEqual(a, b any) bool {
	first, second := reflect.ValueOf(a), reflect.ValueOf(b)
	if first.Kind() == reflect.Slice && first.Len() == 0 && second.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a, b)
}

// fieldName returns the name of a field in notes, or for fields that notes lack the like.
func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
	if name != "" && name != "-" {
		return name
	}
	return string(unicode.ToLower(rune(field.Name[0]))) + field.Name[1:]
}

func fieldText(value any) string {
	switch v := value.(type) {
	case []core.KeyDigest:
		return strconv.Itoa(len(v))
	case core.Duration:
		return time.Duration(v).String()
	}
	return fmt.Sprintf("%v", value)
}
