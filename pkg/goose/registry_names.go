package goose

// PolicyNames returns the registered routing policies in order.
func PolicyNames() []string { return policies.names() }

// DisciplineNames returns the registered queue disciplines in order.
func DisciplineNames() []string { return disciplines.names() }

// StoreNames returns the registered store adapters in order.
func StoreNames() []string { return stores.names() }
