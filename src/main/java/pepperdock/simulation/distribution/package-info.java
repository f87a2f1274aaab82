/**
 * Distribution of configuration in simulated time: control machines with the consensus of {@code store.raft}, hollow
 * gatherers that only subscribe, the links between them, faults by name, and the checks of what must hold. One seed, one
 * course. Not in service.
 */
package pepperdock.simulation.distribution;
