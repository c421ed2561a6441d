package workerproto

import "bytes"

// ReadLoadReport reads the values of a load report, name:value;name:value, into values in the order of names. It returns the
// number of values: len(names), or 0 unless each name occurs once with a value that parseNumber accepts. Other names are
// ignored.
func ReadLoadReport(report []byte, names []string, values []float64, parseNumber func([]byte) (float64, bool)) int {
	if len(names) == 0 || len(names) > len(values) {
		return 0
	}
	seen := 0 // bit i is set when the value of names[i] has been read
	for len(report) > 0 {
		var entry []byte
		entry, report = cutEntry(report, ';')
		name, value, ok := cutPair(entry, ':')
		if !ok {
			continue
		}
		for i := range names {
			if string(name) != names[i] {
				continue
			}
			number, ok := parseNumber(value)
			if !ok || seen&(1<<i) != 0 {
				return 0
			}
			values[i] = number
			seen |= 1 << i
		}
	}
	allSeen := 1<<len(names) - 1
	if seen != allSeen {
		return 0
	}
	return len(names)
}

// cutEntry cuts the first entry off a list. rest is empty after the last entry.
func cutEntry(list []byte, separator byte) (entry, rest []byte) {
	i := bytes.IndexByte(list, separator)
	if i < 0 {
		return list, nil
	}
	return list[:i], list[i+1:]
}

// cutPair splits an entry at its first delimiter. ok is false if there is none or the name is empty.
func cutPair(entry []byte, delimiter byte) (name, value []byte, ok bool) {
	i := bytes.IndexByte(entry, delimiter)
	if i <= 0 {
		return nil, nil, false
	}
	return entry[:i], entry[i+1:], true
}
