package goose

import "testing"

// Guards against a prompt landing in the wrong length class at a boundary.
func TestClassify(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		prompt, memory int
		want           LengthClass
	}{
		"short at its upper bound":  {ShortTokens, 200_000, ClassShort},
		"medium above that bound":   {ShortTokens + 1, 200_000, ClassMedium},
		"long":                      {MediumTokens + 1, 200_000, ClassLong},
		"long fills an engine":      {200_000, 200_000, ClassLong},
		"giant":                     {200_001, 200_000, ClassGiant},
		"giant on a small engine":   {20_000, 16_000, ClassGiant},
		"giant beyond 4,000 tokens": {7_000, 4_000, ClassGiant},
		"empty prompt stays short":  {0, 1, ClassShort},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := Classify(tt.prompt, tt.memory); got != tt.want {
				t.Errorf("got %s, want %s", got, tt.want)
			}
		})
	}
}

// Guards against a plug-in that silently replaces another of the same name.
func TestRegistryRejectsSecondRegistration(t *testing.T) {
	t.Parallel()
	r := newRegistry[int]("number")
	r.add("one", 1)
	if got, err := r.get("one"); err != nil || got != 1 {
		t.Errorf("got %d, %v, want 1", got, err)
	}
	if _, err := r.get("two"); err == nil {
		t.Error("got no error for an unknown name")
	}
	defer func() {
		if recover() == nil {
			t.Error("got no panic for a second registration")
		}
	}()
	r.add("one", 2)
}

// Guards against equal fingerprints for requests of two workspaces.
func TestFingerprintSeparatesFields(t *testing.T) {
	t.Parallel()
	if NewFingerprint("a", "bc", nil) == NewFingerprint("ab", "c", nil) {
		t.Error("got equal fingerprints for different workspaces and services")
	}
}
