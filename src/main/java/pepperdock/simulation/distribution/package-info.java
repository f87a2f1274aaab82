/**
 * Simulates the distribution of configurations in simulated time: control machines with the consensus of
 * {@code store.raft}, gatherers that only subscribe, the links between them, and named fault schedules. Invariants are
 * checked on the recorded history. A run is reproducible from its seed. Not used by the daemon itself.
 */
package pepperdock.simulation.distribution;
