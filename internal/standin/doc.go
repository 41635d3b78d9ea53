// Package standin is a small stand-in, for tests and the demo, of what
// surrounds the system: the platform's store and instance list, and upstream
// endpoints. Each part has faults that are switched over HTTP on the control
// address:
//
//	PUT /faults/store            StoreFaults
//	PUT /faults/leases           every lease lapses now
//	PUT /faults/list             ListFaults
//	PUT /faults/endpoint?address=IP:port   EndpointFaults
//	PUT /instances               one Instance, replaced by its identifier
//	GET /calls                   calls of the store by caller and operation
//	GET /runs                    what each endpoint has run
//
// It keeps everything in memory and makes no promise of speed.
package standin
