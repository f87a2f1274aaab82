/**
 * Upgrades of one gatherer between real processes on loopback, with faults drawn by a seed: {@link
 * pepperdock.faultinjection.upgrade.UpgradeRun} plays one, {@link pepperdock.faultinjection.upgrade.UpgradeChecker}
 * holds what happened against the rules of the protocol, requests by {@link
 * pepperdock.faultinjection.upgrade.RequestChecker}. Discovery, workers and clients are stand-ins on blocking
 * sockets, with a thread for each connection.
 */
package pepperdock.faultinjection.upgrade;
