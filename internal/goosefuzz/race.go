//go:build race

package goosefuzz

const raceEnabled = true
