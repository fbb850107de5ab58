package gooseserve

import (
	// Each of these packages registers its plug-ins by name.
	_ "github.com/gooseberryhold/gooseberryhold/internal/gooseengine"
	_ "github.com/gooseberryhold/gooseberryhold/pkg/goosequeue"
	_ "github.com/gooseberryhold/gooseberryhold/pkg/gooseroute"
	_ "github.com/gooseberryhold/gooseberryhold/pkg/goosestore"
)
