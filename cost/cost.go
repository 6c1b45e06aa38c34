// Package cost predicts the tokens of requests and the time that they take at an upstream.
package cost

import "time"

// BytesPerToken is the average length of a token in the prompts of both deployments, in bytes.
const BytesPerToken = 4

// Tokens estimates the number of tokens in a prompt of the given length in bytes.
func Tokens(promptBytes int) int {
	return (promptBytes + BytesPerToken - 1) / BytesPerToken
}

// lengthClasses are the length classes of prompts, by their upper bound in tokens.
var lengthClasses = []struct {
	name  string
	upper int
}{
	{"2k", 2_000},
	{"10k", 10_000},
	{"100k", 100_000},
	{"400k", 400_000},
}

// longestClass is the class of prompts above the last bound.
const longestClass = "1m"

// Class returns the length class of a prompt, for metrics and reports.
func Class(promptTokens int) string {
	for _, cls := range lengthClasses {
		if promptTokens <= cls.upper {
			return cls.name
		}
	}
	return longestClass
}

// Classes returns the names of all length classes, shortest first.
func Classes() []string {
	names := make([]string, 0, len(lengthClasses)+1)
	for _, cls := range lengthClasses {
		names = append(names, cls.name)
	}
	return append(names, longestClass)
}

// PrefillTime returns the time that the prefill of the given number of tokens takes at a rate in tokens per second. It
// is 0 if the rate is unknown.
func PrefillTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}
