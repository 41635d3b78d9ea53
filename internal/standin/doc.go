// Package standin imitates, for tests and the demo, the services that the system depends
// on: the platform's store and instance list, and upstream endpoints. Each of them has
// faults that are set over HTTP on the control address:
//
//	PUT /faults/store            sets StoreFaults
//	PUT /faults/leases           lets every lease lapse now
//	PUT /faults/list             sets ListFaults
//	PUT /faults/endpoint?address=IP:port   sets EndpointFaults
//	PUT /instances               adds or replaces one Instance by its identifier
//	GET /calls                   returns the number of store calls by caller and operation
//	GET /runs                    returns the EndpointCounters of all endpoints
//
// It keeps everything in memory and is not built for speed.
package standin
