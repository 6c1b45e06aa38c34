package config

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// definitions are all declared keys, in the order of declaration.
var definitions []*definition

// declare registers a key, whose values parse converts from the text of the file.
func declare[T any](def definition, parse func(text string) (T, error)) Key[T] {
	def.parse = func(text string) (any, error) {
		val, err := parse(text)
		if err != nil {
			return nil, err
		}
		return val, nil
	}
	definitions = append(definitions, &def)
	return Key[T]{def: &def}
}

func textKey(def definition) Key[string] {
	return declare(def, func(text string) (string, error) {
		if text == "" && def.required {
			return "", trace.BadParameter("must not be empty")
		}
		return text, nil
	})
}

func choiceKey(def definition, choices ...string) Key[string] {
	def.allowed = strings.Join(choices, ", ")
	return declare(def, func(text string) (string, error) {
		if !slices.Contains(choices, text) {
			return "", trace.BadParameter("%q is not one of %s", text, def.allowed)
		}
		return text, nil
	})
}

func addressKey(def definition) Key[string] {
	def.allowed = "IP:port"
	return declare(def, func(text string) (string, error) {
		if text == "" && !def.required {
			return "", nil
		}
		return text, checkAddress(text)
	})
}

func addressesKey(def definition) Key[[]string] {
	def.allowed = "IP:port, separated by commas"
	return declare(def, func(text string) ([]string, error) {
		var list []string
		for _, part := range strings.Split(text, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				continue
			}
			if err := checkAddress(part); err != nil {
				return nil, err
			}
			list = append(list, part)
		}
		return list, nil
	})
}

// pairsKey registers a key whose values are pairs of different names, such as "a:x,b:y".
func pairsKey(def definition) Key[map[string]string] {
	return declare(def, func(text string) (map[string]string, error) {
		pairs := make(map[string]string)
		if text == "" {
			return pairs, nil
		}
		for _, part := range strings.Split(text, ",") {
			name, val, found := strings.Cut(part, ":")
			name, val = strings.TrimSpace(name), strings.TrimSpace(val)
			if !found || name == "" || val == "" || strings.Contains(val, ":") {
				return nil, trace.BadParameter("%q is not %s", part, def.allowed)
			}
			if _, ok := pairs[name]; ok {
				return nil, trace.BadParameter("%q is given twice", name)
			}
			pairs[name] = val
		}
		return pairs, nil
	})
}

func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return trace.BadParameter("%q is not IP:port", text)
	}
	if net.ParseIP(host) == nil {
		return trace.BadParameter("%q is not an IP address", host)
	}
	if num, err := strconv.Atoi(port); err != nil || num < 0 || num > 65535 {
		return trace.BadParameter("%q is not a port", port)
	}
	return nil
}

func intKey(def definition, low, high int) Key[int] {
	def.allowed = fmt.Sprintf("%d to %d", low, high)
	return declare(def, func(text string) (int, error) {
		num, err := strconv.Atoi(text)
		if err != nil || num < low || num > high {
			return 0, trace.BadParameter("%q is not a whole number from %s", text, def.allowed)
		}
		return num, nil
	})
}

func floatKey(def definition, low, high float64) Key[float64] {
	def.allowed = fmt.Sprintf("%g to %g", low, high)
	return declare(def, func(text string) (float64, error) {
		num, err := strconv.ParseFloat(text, 64)
		if err != nil || !(num >= low && num <= high) {
			return 0, trace.BadParameter("%q is not a number from %s", text, def.allowed)
		}
		return num, nil
	})
}

func durationKey(def definition, low, high time.Duration) Key[time.Duration] {
	def.unit = "duration"
	def.allowed = fmt.Sprintf("%s to %s", low, high)
	return declare(def, func(text string) (time.Duration, error) {
		dur, err := time.ParseDuration(text)
		if err != nil || dur < low || dur > high {
			return 0, trace.BadParameter("%q is not a duration from %s", text, def.allowed)
		}
		return dur, nil
	})
}

func boolKey(def definition) Key[bool] {
	def.allowed = "true, false"
	return declare(def, func(text string) (bool, error) {
		val, err := strconv.ParseBool(text)
		if err != nil {
			return false, trace.BadParameter("%q is neither true nor false", text)
		}
		return val, nil
	})
}
