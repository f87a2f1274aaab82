/**
 * Simulates a deployment in simulated time: emulated worker nodes, and several real gatherers that share nothing, each
 * with its scheduler. A run is reproducible from its seed. It measures routing, admission and limits, but not sockets.
 * Each concern draws from its own random stream, so that a change in one does not shift another.
 */
package pepperdock.simulation;
