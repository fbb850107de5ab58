package goose

// hopByHopHeaders are the headers, in canonical form, that concern one connection (RFC 9110,
// section 7.6.1, and the older ones of RFC 2616).
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Expect": true,
}

// IsHopByHopHeader reports whether a header, in canonical form, concerns one connection and is
// not passed on to the next one.
func IsHopByHopHeader(name string) bool { return hopByHopHeaders[name] }
