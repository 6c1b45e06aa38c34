package check

import (
	"fmt"
	"reflect"
	"strings"
	"unicode"

	"github.com/tarragonwheel/tarragonwheel/rules"
)

// Change is a difference between two configurations.
type Change struct {
	Place  string // such as "route chat"
	Action string // "added", "removed" or "changed"
	Text   string // what has changed, with the values before and after; empty for other actions
}

// String returns the change as one line.
func (chg Change) String() string {
	if chg.Text == "" {
		return fmt.Sprintf("%s: %s", chg.Place, chg.Action)
	}
	return fmt.Sprintf("%s: %s: %s", chg.Place, chg.Action, chg.Text)
}

// Changes returns what a configuration changes in the one in force: routes, services, accounts and limits, each in the
// order of the new configuration, then those that it removes. Keys of accounts are counted, not shown.
func Changes(inForce, next *rules.Spec) []Change {
	list := changesOf(inForce.Routes, next.Routes, func(rte rules.Route) string { return routePlace(rte.Name) })
	list = append(list, changesOf(inForce.Services, next.Services,
		func(srv rules.Service) string { return servicePlace(srv.Name) })...)
	list = append(list, changesOf(inForce.Accounts, next.Accounts,
		func(acc rules.Account) string { return accountPlace(acc.Name) })...)
	if text := difference(inForce.Limits, next.Limits); text != "" {
		list = append(list, Change{Place: "limits", Action: "changed", Text: text})
	}
	return list
}

// changesOf returns the changes of one kind of entry. Entries of the same place are told apart by their order.
func changesOf[T any](before, after []T, place func(entry T) string) []Change {
	old, _ := byPlace(before, place)
	var list []Change
	kept := make(map[string]bool)
	entries, order := byPlace(after, place)
	for _, key := range order {
		kept[key] = true
		was, ok := old[key]
		if !ok {
			list = append(list, Change{Place: key, Action: "added"})
		} else if text := difference(was, entries[key]); text != "" {
			list = append(list, Change{Place: key, Action: "changed", Text: text})
		}
	}
	_, order = byPlace(before, place)
	for _, key := range order {
		if !kept[key] {
			list = append(list, Change{Place: key, Action: "removed"})
		}
	}
	return list
}

// byPlace returns the entries by place, and the places in order. Another entry of a place gets a number.
func byPlace[T any](list []T, place func(entry T) string) (entries map[string]T, order []string) {
	entries = make(map[string]T)
	for _, entry := range list {
		key := place(entry)
		for num := 2; ; num++ {
			if _, taken := entries[key]; !taken {
				break
			}
			key = fmt.Sprintf("%s (%d)", place(entry), num)
		}
		entries[key] = entry
		order = append(order, key)
	}
	return entries, order
}

// difference returns the fields in which two structs of the same type differ, with their values. It is empty if they
// are equal. All fields are compared, so that one that is added to a type is not forgotten here.
func difference(before, after any) string {
	var parts []string
	one, two := reflect.ValueOf(before), reflect.ValueOf(after)
	for _, fld := range reflect.VisibleFields(one.Type()) {
		was, is := one.FieldByIndex(fld.Index).Interface(), two.FieldByIndex(fld.Index).Interface()
		if sameValue(was, is) {
			continue
		}
		if fld.Name == "Keys" { // They are secret.
			parts = append(parts, fmt.Sprintf("keys (%d before, %d now)", lengthOf(was), lengthOf(is)))
			continue
		}
		if text := pointedDifference(was, is); text != "" {
			parts = append(parts, words(fld.Name)+" ("+text+")")
			continue
		}
		parts = append(parts, fmt.Sprintf("%s %s -> %s", words(fld.Name), shown(was), shown(is)))
	}
	return strings.Join(parts, ", ")
}

// sameValue reports whether two values are equal. A missing list equals an empty one.
func sameValue(one, two any) bool {
	if reflect.ValueOf(one).Kind() == reflect.Slice && lengthOf(one) == 0 && lengthOf(two) == 0 {
		return true
	}
	return reflect.DeepEqual(one, two)
}

func lengthOf(list any) int { return reflect.ValueOf(list).Len() }

// pointedDifference returns the difference of what two pointers point to, and an empty string if they are none.
func pointedDifference(was, is any) string {
	one, two := reflect.ValueOf(was), reflect.ValueOf(is)
	if one.Kind() != reflect.Pointer || one.IsNil() || two.IsNil() {
		return ""
	}
	return difference(one.Elem().Interface(), two.Elem().Interface())
}

// shown returns a value as text.
func shown(val any) string {
	ref := reflect.ValueOf(val)
	switch {
	case ref.Kind() == reflect.Pointer && ref.IsNil(), ref.Kind() == reflect.Slice && ref.Len() == 0:
		return "none"
	case ref.Kind() == reflect.Pointer:
		return fmt.Sprintf("%+v", ref.Elem().Interface())
	case ref.Kind() == reflect.String:
		return fmt.Sprintf("%q", val)
	}
	return fmt.Sprint(val)
}

// words returns the name of a field as words: "LatencyTarget" as "latency target".
func words(name string) string {
	var out strings.Builder
	for idx, char := range name {
		if unicode.IsUpper(char) && idx > 0 {
			out.WriteByte(' ')
		}
		out.WriteRune(unicode.ToLower(char))
	}
	return out.String()
}
