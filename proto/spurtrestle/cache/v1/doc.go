// Package cachev1 is the generated code of the cache service's protocol, cache.proto: what clients ask a router by gRPC.
package cachev1
